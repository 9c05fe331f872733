#include "Net/HttpClient.h"

#include "Core/Common/ErrorCode.h"
#include "Net/Address.h"
#include "Net/SocketOptions.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <charconv>
#include <deque>
#include <optional>
#include <stdexcept>
#include <unordered_map>
#include <utility>

namespace rattancart {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// Maximum number of bytes that are read ahead on a connection. It limits the parts of a response
/// that have no limit of their own: size, extensions and trailers of chunks, which take a few bytes
/// in ordinary responses.
constexpr std::size_t MaxBufferedBytes = 128 * 1024;
/// Maximum number of responses to other requests, or interim ones, before the awaited response. A
/// server that repeats its responses leaves one or two.
constexpr std::size_t MaxSkippedResponses = 16;
/// Maximum total size of the bodies of the skipped responses, in bytes.
constexpr std::size_t MaxSkippedBytes = 4 * 1024 * 1024;

/// The status of a response by which the server leaves HTTP/1.1. No request asks for that.
constexpr unsigned SwitchingProtocols = 101;
/// A connect that was given up sooner than this does not count as not accepted.
constexpr std::chrono::milliseconds MinFailedConnect{40};

/// Reads a body into a string that grows as bytes arrive. The library's own reader reserves memory
/// for the length that the head states, which a faulty server can set to more than there is.
class UnreservedReader : public http::string_body::reader {
public:
  using http::string_body::reader::reader;
  void init(const boost::optional<std::uint64_t> & /*Length*/, boost::system::error_code &E) {
    E = {};
  }
};
struct UnreservedBody {
  using value_type = std::string;
  using reader = UnreservedReader;
};
using ResponseMessage = http::response<UnreservedBody>;

/// Looks for lines of a response's head that begin with a blank. The parser joins such a line with
/// the field before it, so that a field with a blank before its name would change another one.
class FoldDetector {
public:
  /// A new response begins.
  void reset() { *this = {}; }
  void scan(std::string_view Bytes) {
    for (const char Byte : Bytes) {
      if (Ended_)
        return;
      if (Byte == '\n') {
        // An empty line ends the head.
        Ended_ = LineBytes_ == 0;
        LineBytes_ = 0;
        FirstLine_ = false;
        continue;
      }
      Folded_ = Folded_ || (LineBytes_ == 0 && !FirstLine_ && (Byte == ' ' || Byte == '\t'));
      LineBytes_ += Byte == '\r' ? 0 : 1;
    }
  }
  bool folded() const { return Folded_; }

private:
  bool FirstLine_ = true;
  bool Ended_ = false;
  bool Folded_ = false;
  std::size_t LineBytes_ = 0;
};

/// Reads from a socket and shows the bytes to a detector.
class DetectingStream {
public:
  using executor_type = tcp::socket::executor_type;

  explicit DetectingStream(boost::asio::io_context &Loop) : Socket_(Loop) {}
  executor_type get_executor() { return Socket_.get_executor(); } // NOLINT: named by the library
  template <typename Buffers, typename Handler>
  // NOLINTNEXTLINE: named by the library
  auto async_read_some(const Buffers &Into, Handler &&Done) {
    return boost::asio::async_initiate<Handler, void(boost::system::error_code, std::size_t)>(
        [this, Into](auto Completion) {
          Socket_.async_read_some(Into, [this, Into, Completion = std::move(Completion)](
                                            boost::system::error_code E, std::size_t Size) mutable {
            scan(Into, Size);
            std::move(Completion)(E, Size);
          });
        },
        Done);
  }

  tcp::socket Socket_;
  FoldDetector Folds_;

private:
  template <typename Buffers> void scan(const Buffers &Read, std::size_t Size) {
    for (auto Each = boost::asio::buffer_sequence_begin(Read);
         Size > 0 && Each != boost::asio::buffer_sequence_end(Read); ++Each) {
      const boost::asio::const_buffer Part(*Each);
      const std::size_t Used = std::min(Size, Part.size());
      Folds_.scan({static_cast<const char *>(Part.data()), Used});
      Size -= Used;
    }
  }
};

/// A connection and the bytes read ahead on it.
struct ClientConnection {
  explicit ClientConnection(boost::asio::io_context &Loop)
      : Stream_(Loop), Socket_(Stream_.Socket_), Buffer_(MaxBufferedBytes) {}
  DetectingStream Stream_;
  tcp::socket &Socket_;
  boost::beast::flat_buffer Buffer_;
  /// The time after which an idle connection is not reused, since the server closes it soon after.
  std::chrono::steady_clock::time_point IdleUntil_ = std::chrono::steady_clock::time_point::max();
  bool Idle_ = false;
};
using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

/// Whether the server has closed an idle connection or sent unrequested data.
bool isStale(tcp::socket &Socket) {
  boost::system::error_code E;
  Socket.non_blocking(true, E);
  char Byte = 0;
  Socket.receive(boost::asio::buffer(&Byte, 1), tcp::socket::message_peek, E);
  return E != boost::asio::error::would_block;
}

bool isTokenChar(char C) {
  static constexpr std::string_view Others = "!#$%&'*+-.^_`|~";
  return (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z') || (C >= '0' && C <= '9') ||
         Others.find(C) != std::string_view::npos;
}

bool isToken(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isTokenChar);
}

/// Whether a server would read the field as it is, rather than as several fields or a body.
bool isFieldValue(std::string_view Text) {
  return std::all_of(Text.begin(), Text.end(), [](char C) {
    return C == '\t' || (static_cast<unsigned char>(C) >= 0x20 && C != 0x7f);
  });
}

/// The same for the target of a request.
bool isTarget(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), [](char C) {
    return static_cast<unsigned char>(C) > 0x20 && C != 0x7f;
  });
}

bool isWellFormed(const HttpRequest &Request) {
  const std::vector<HttpHeader> &Fields = Request.Headers_.all();
  return isToken(Request.Method_) && isTarget(Request.Target_) &&
         std::all_of(Fields.begin(), Fields.end(), [](const HttpHeader &Field) {
           return isToken(Field.Name_) && isFieldValue(Field.Value_);
         });
}

http::request<http::string_body> buildMessage(const NetAddress &Address, HttpRequest Request,
                                              bool KeepHost) {
  http::request<http::string_body> Message;
  Message.version(11);
  Message.method_string(Request.Method_);
  Message.target(Request.Target_);
  for (const HttpHeader &Field : Request.Headers_.all())
    Message.insert(Field.Name_, Field.Value_);
  if (!KeepHost || Message.count(http::field::host) == 0)
    Message.set(http::field::host, Address.str());
  Message.body() = std::move(Request.Body_);
  // The framing follows from the body, also where prepare_payload sets none.
  Message.erase(http::field::content_length);
  Message.erase(http::field::transfer_encoding);
  Message.prepare_payload();
  return Message;
}

/// Nothing if the request can't be expressed in HTTP/1.1.
std::optional<http::request<http::string_body>> toBeast(const NetAddress &Address,
                                                        HttpRequest Request, bool KeepHost) {
  if (!isWellFormed(Request))
    return std::nullopt;
  try {
    return buildMessage(Address, std::move(Request), KeepHost);
  } catch (const std::logic_error &) {
    // The library checks further rules, such as the length of fields and the methods that have a
    // body, and states violations only by std::invalid_argument and std::length_error.
    return std::nullopt;
  }
}

enum class HeadKind {
  Final,
  /// An interim response, before the one that is awaited.
  Interim,
  /// No response of HTTP/1.1, or one that was not asked for.
  Malformed,
};

/// What the head of a response is. The parser accepts any status of three digits, and any bytes in
/// values.
HeadKind headKind(const ResponseMessage &Message, const FoldDetector &Folds) {
  const unsigned Status = Message.result_int();
  const bool WellFormed = std::all_of(Message.begin(), Message.end(), [](const auto &Field) {
    const auto Name = Field.name_string();
    const auto Value = Field.value();
    return isToken({Name.data(), Name.size()}) && isFieldValue({Value.data(), Value.size()});
  });
  if (!WellFormed || Folds.folded() || Status < 100 || Status > 599 || Status == SwitchingProtocols)
    return HeadKind::Malformed;
  return Status < 200 ? HeadKind::Interim : HeadKind::Final;
}

HttpResponse copyHead(const ResponseMessage &Message) {
  HttpResponse Response;
  Response.Status_ = Message.result_int();
  for (const auto &Field : Message)
    Response.Headers_.add(std::string(Field.name_string()), std::string(Field.value()));
  return Response;
}

HttpResponse fromBeast(ResponseMessage Message) {
  HttpResponse Response = copyHead(Message);
  Response.Body_ = std::move(Message.body());
  return Response;
}

/// How long the server keeps an idle connection open, if "Keep-Alive: timeout=N" says so.
std::optional<std::chrono::seconds> peerIdleTimeout(const ResponseMessage &Message) {
  const std::string_view Text(Message[http::field::keep_alive].data(),
                              Message[http::field::keep_alive].size());
  static constexpr std::string_view Name = "timeout=";
  const std::size_t NamePosition = Text.find(Name);
  if (NamePosition == std::string_view::npos)
    return std::nullopt;
  std::int64_t Value = 0;
  const char *Begin = Text.data() + NamePosition + Name.size();
  if (std::from_chars(Begin, Text.data() + Text.size(), Value).ec != std::errc())
    return std::nullopt;
  return std::chrono::seconds(Value);
}

} // namespace

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
public:
  Impl(boost::asio::io_context &Loop, std::size_t MaxIdle) : Loop_(Loop), MaxIdle_(MaxIdle) {}

  HttpCallId send(const NetAddress &Address, HttpRequest Request, HttpSendOptions Options,
                  HttpCallback Done);
  void cancel(HttpCallId Id);
  void closeIdle(const NetAddress &Address) { Idle_.erase(Address); }
  void closeAllIdle() { Idle_.clear(); }
  void shutDown();
  HttpClientStats stats() const;
  void onIdleClosed(std::function<void(const NetAddress &)> Handler) {
    IdleClosed_ = std::move(Handler);
  }
  void onConnect(std::function<void(const NetAddress &, bool, Duration)> Handler) {
    ConnectHandler_ = std::move(Handler);
  }

private:
  struct PendingRequest;
  using PendingRequestPtr = std::shared_ptr<PendingRequest>;

  ClientConnectionPtr takeIdle(const NetAddress &Address);
  void watchIdleConnection(const NetAddress &Address, const ClientConnectionPtr &Connection);
  void start(const PendingRequestPtr &Pending);
  void connect(const PendingRequestPtr &Pending);
  void write(const PendingRequestPtr &Pending);
  void read(const PendingRequestPtr &Pending);
  void readSome(const PendingRequestPtr &Pending);
  void onReadSome(const PendingRequestPtr &Pending, boost::system::error_code E);
  /// A response was read that no sink receives.
  void onReadWhole(const PendingRequestPtr &Pending);
  /// Decides about a response whose head has arrived; a sink sees final ones only.
  static HeadDecision decideOnHead(const PendingRequestPtr &Pending);
  void onReadError(const PendingRequestPtr &Pending, boost::system::error_code E);
  void armTimer(const PendingRequestPtr &Pending, Duration Delay, ErrorCode Reason);
  void returnToPool(const PendingRequestPtr &Pending);
  void finish(const PendingRequestPtr &Pending, std::error_code Failure);
  /// Tells the handler how the connect of the request ended, if one is under way.
  void reportConnect(const PendingRequestPtr &Pending, bool Accepted);

  boost::asio::io_context &Loop_;
  std::size_t MaxIdle_;
  std::unordered_map<NetAddress, std::deque<ClientConnectionPtr>> Idle_;
  std::unordered_map<HttpCallId, PendingRequestPtr> PendingRequests_;
  HttpCallId NextId_{1};
  HttpClientStats Stats_;
  std::function<void(const NetAddress &)> IdleClosed_;
  std::function<void(const NetAddress &, bool, Duration)> ConnectHandler_;
};

struct HttpClient::Impl::PendingRequest {
  explicit PendingRequest(boost::asio::io_context &Loop) : Timer_(Loop) {}
  HttpCallId Id_;
  NetAddress Address_;
  http::request<http::string_body> Message_;
  HttpSendOptions Options_;
  HttpCallback Done_;
  ClientConnectionPtr Connection_;
  boost::asio::steady_timer Timer_;
  std::optional<http::response_parser<UnreservedBody>> Parser_;
  std::error_code TimerReason_;
  /// Set while a connect is under way.
  std::optional<std::chrono::steady_clock::time_point> ConnectStartedAt_;
  bool Sendable_ = true;
  bool BytesHandedOver_ = false;
  bool Refused_ = false;
  bool Reused_ = false;
  bool Finished_ = false;
  bool HeadReceived_ = false;
  bool Skipping_ = false;
  std::size_t SkippedResponses_ = 0;
  std::size_t SkippedBytes_ = 0;
};

HttpCallId HttpClient::Impl::send(const NetAddress &Address, HttpRequest Request,
                                  HttpSendOptions Options, HttpCallback Done) {
  auto Pending = std::make_shared<PendingRequest>(Loop_);
  Pending->Id_ = NextId_;
  NextId_ = NextId_.next();
  Pending->Address_ = Address;
  if (auto Message = toBeast(Address, std::move(Request), Options.KeepHost_))
    Pending->Message_ = std::move(*Message);
  else
    Pending->Sendable_ = false;
  Pending->Options_ = std::move(Options);
  Pending->Done_ = std::move(Done);
  PendingRequests_.emplace(Pending->Id_, Pending);
  ++Stats_.Sent_;
  boost::asio::post(Loop_, [Self = shared_from_this(), Pending] { Self->start(Pending); });
  return Pending->Id_;
}

void HttpClient::Impl::start(const PendingRequestPtr &Pending) {
  if (Pending->Finished_)
    return;
  if (!Pending->Sendable_)
    return finish(Pending, ErrorCode::RequestNotSendable);
  if (Pending->Options_.Use_ == ConnectionUse::Pooled)
    Pending->Connection_ = takeIdle(Pending->Address_);
  if (!Pending->Connection_)
    return connect(Pending);
  Pending->Reused_ = true;
  write(Pending);
}

ClientConnectionPtr HttpClient::Impl::takeIdle(const NetAddress &Address) {
  const auto Found = Idle_.find(Address);
  if (Found == Idle_.end())
    return nullptr;
  auto &Queue = Found->second;
  while (!Queue.empty()) {
    ClientConnectionPtr Connection = std::move(Queue.back());
    Queue.pop_back();
    Connection->Idle_ = false;
    boost::system::error_code Ignored;
    Connection->Socket_.cancel(Ignored);
    if (std::chrono::steady_clock::now() < Connection->IdleUntil_ && !isStale(Connection->Socket_))
      return Connection;
  }
  return nullptr;
}

void HttpClient::Impl::connect(const PendingRequestPtr &Pending) {
  const auto Target = parseAddress(Pending->Address_);
  if (!Target)
    return finish(Pending, Target.error().Code_);
  Pending->Connection_ = std::make_shared<ClientConnection>(Loop_);
  ++Stats_.Connects_;
  Pending->ConnectStartedAt_ = std::chrono::steady_clock::now();
  armTimer(Pending, Pending->Options_.ConnectTimeout_, ErrorCode::ConnectFailed);
  Pending->Connection_->Socket_.async_connect(
      *Target, [Self = shared_from_this(), Pending](boost::system::error_code E) {
        if (Pending->Finished_)
          return;
        if (E) {
          Pending->Refused_ = E == boost::asio::error::connection_refused ||
                              E == boost::asio::error::connection_reset;
          return Self->finish(Pending, ErrorCode::ConnectFailed);
        }
        Self->reportConnect(Pending, true);
        boost::system::error_code Ignored;
        Pending->Connection_->Socket_.set_option(tcp::no_delay(true), Ignored);
        setDeadPeerTimeouts(Pending->Connection_->Socket_);
        Self->write(Pending);
      });
}

void HttpClient::Impl::write(const PendingRequestPtr &Pending) {
  if (Pending->Options_.BeforeSend_ && !Pending->Options_.BeforeSend_())
    return finish(Pending, ErrorCode::Cancelled);
  armTimer(Pending, Pending->Options_.ResponseTimeout_, ErrorCode::ResponseTimeout);
  Pending->BytesHandedOver_ = true;
  http::async_write(Pending->Connection_->Socket_, Pending->Message_,
                    [Self = shared_from_this(), Pending](boost::system::error_code E, std::size_t) {
                      if (Pending->Finished_)
                        return;
                      if (E)
                        return Self->finish(Pending, ErrorCode::ConnectionClosed);
                      Self->read(Pending);
                    });
}

void HttpClient::Impl::read(const PendingRequestPtr &Pending) {
  Pending->Parser_.emplace();
  Pending->Parser_->skip(Pending->Message_.method() == http::verb::head);
  ClientConnection &Connection = *Pending->Connection_;
  const auto ReadAhead = Connection.Buffer_.data();
  Connection.Stream_.Folds_.reset();
  Connection.Stream_.Folds_.scan({static_cast<const char *>(ReadAhead.data()), ReadAhead.size()});
  if (Pending->Options_.Sink_) {
    Pending->Parser_->body_limit(boost::none);
    Pending->HeadReceived_ = false;
    Pending->Skipping_ = false;
    return readSome(Pending);
  }
  Pending->Parser_->body_limit(Pending->Options_.MaxBodyBytes_);
  http::async_read(Pending->Connection_->Stream_, Pending->Connection_->Buffer_, *Pending->Parser_,
                   [Self = shared_from_this(), Pending](boost::system::error_code E, std::size_t) {
                     if (Pending->Finished_)
                       return;
                     if (E)
                       return Self->onReadError(Pending, E);
                     Self->onReadWhole(Pending);
                   });
}

void HttpClient::Impl::onReadWhole(const PendingRequestPtr &Pending) {
  switch (headKind(Pending->Parser_->get(), Pending->Connection_->Stream_.Folds_)) {
  case HeadKind::Malformed:
    return finish(Pending, ErrorCode::MalformedResponse);
  case HeadKind::Interim:
    if (++Pending->SkippedResponses_ > MaxSkippedResponses)
      return finish(Pending, ErrorCode::ResponseTooLarge);
    return read(Pending);
  case HeadKind::Final:
    return finish(Pending, {});
  }
}

HeadDecision HttpClient::Impl::decideOnHead(const PendingRequestPtr &Pending) {
  const ResponseMessage &Message = Pending->Parser_->get();
  switch (headKind(Message, Pending->Connection_->Stream_.Folds_)) {
  case HeadKind::Malformed:
    return HeadDecision::Abort;
  case HeadKind::Interim:
    return HeadDecision::Skip;
  case HeadKind::Final:
    break;
  }
  return Pending->Options_.Sink_->onHead(copyHead(Message));
}

void HttpClient::Impl::onReadError(const PendingRequestPtr &Pending, boost::system::error_code E) {
  if (E == http::error::body_limit || E == http::error::buffer_overflow)
    return finish(Pending, ErrorCode::ResponseTooLarge);
  const bool Closed = E == http::error::end_of_stream || E == http::error::partial_message ||
                      E.category() == boost::system::system_category();
  finish(Pending, Closed ? ErrorCode::ConnectionClosed : ErrorCode::MalformedResponse);
}

void HttpClient::Impl::readSome(const PendingRequestPtr &Pending) {
  http::async_read_some(
      Pending->Connection_->Stream_, Pending->Connection_->Buffer_, *Pending->Parser_,
      [Self = shared_from_this(), Pending](boost::system::error_code E, std::size_t) {
        if (!Pending->Finished_)
          Self->onReadSome(Pending, E);
      });
}

void HttpClient::Impl::onReadSome(const PendingRequestPtr &Pending, boost::system::error_code E) {
  HttpResponseSink &Sink = *Pending->Options_.Sink_;
  if (Pending->Parser_->is_header_done() && !Pending->HeadReceived_) {
    Pending->HeadReceived_ = true;
    const HeadDecision Decision = decideOnHead(Pending);
    if (Pending->Finished_)
      return;
    if (Decision == HeadDecision::Abort)
      return finish(Pending, ErrorCode::MalformedResponse);
    Pending->Skipping_ = Decision == HeadDecision::Skip;
    if (Pending->Skipping_ && ++Pending->SkippedResponses_ > MaxSkippedResponses)
      return finish(Pending, ErrorCode::ResponseTooLarge);
  }
  std::string &Body = Pending->Parser_->get().body();
  if (!Body.empty()) {
    const bool WithinLimit = Pending->Skipping_
                                 ? (Pending->SkippedBytes_ += Body.size()) <= MaxSkippedBytes
                                 : Sink.onBody(Body);
    if (Pending->Finished_)
      return;
    if (!WithinLimit)
      return finish(Pending, ErrorCode::ResponseTooLarge);
    Body.clear();
  }
  if (E)
    return onReadError(Pending, E);
  if (!Pending->Parser_->is_done())
    return readSome(Pending);
  if (Pending->Skipping_)
    return read(Pending);
  finish(Pending, {});
}

void HttpClient::Impl::armTimer(const PendingRequestPtr &Pending, Duration Delay,
                                ErrorCode Reason) {
  Pending->TimerReason_ = Reason;
  Pending->Timer_.expires_after(Delay);
  Pending->Timer_.async_wait(
      [Self = shared_from_this(), Pending, Reason](boost::system::error_code E) {
        // A handler that was already queued when the timer was armed again has the earlier reason.
        if (!E && !Pending->Finished_ && Pending->TimerReason_ == Reason)
          Self->finish(Pending, Reason);
      });
}

void HttpClient::Impl::returnToPool(const PendingRequestPtr &Pending) {
  auto &Queue = Idle_[Pending->Address_];
  if (Queue.size() >= MaxIdle_)
    return;
  Queue.push_back(std::move(Pending->Connection_));
  // Connections are watched only if there is a handler: a pending wait would keep the event loop
  // from ending after the last request.
  if (IdleClosed_)
    watchIdleConnection(Pending->Address_, Queue.back());
}

void HttpClient::Impl::watchIdleConnection(const NetAddress &Address,
                                           const ClientConnectionPtr &Connection) {
  Connection->Idle_ = true;
  Connection->Socket_.async_wait(
      tcp::socket::wait_read,
      [Weak = weak_from_this(), Address,
       WeakConnection = std::weak_ptr(Connection)](boost::system::error_code E) {
        const auto Self = Weak.lock();
        const auto Ended = WeakConnection.lock();
        if (E || !Self || !Ended || !Ended->Idle_)
          return;
        const auto Found = Self->Idle_.find(Address);
        if (Found == Self->Idle_.end() || std::erase(Found->second, Ended) == 0)
          return;
        if (Self->IdleClosed_)
          Self->IdleClosed_(Address);
      });
}

void HttpClient::Impl::reportConnect(const PendingRequestPtr &Pending, bool Accepted) {
  const auto StartedAt = std::exchange(Pending->ConnectStartedAt_, std::nullopt);
  if (!StartedAt || !ConnectHandler_)
    return;
  const Duration Took = std::chrono::steady_clock::now() - *StartedAt;
  // One that was cancelled sooner might have been accepted.
  if (Accepted || Pending->Refused_ || Took >= MinFailedConnect)
    ConnectHandler_(Pending->Address_, Accepted, Took);
}

void HttpClient::Impl::finish(const PendingRequestPtr &Pending, std::error_code Failure) {
  Pending->Finished_ = true;
  reportConnect(Pending, false);
  Pending->Timer_.cancel();
  PendingRequests_.erase(Pending->Id_);

  HttpResult Outcome;
  Outcome.Error_ = Failure;
  Outcome.BytesHandedOver_ = Pending->BytesHandedOver_;
  Outcome.Reused_ = Pending->Reused_;
  Outcome.Refused_ = Pending->Refused_ || Failure == ErrorCode::ConnectionClosed;
  if (!Failure) {
    // Reuse ends this long before the server closes the connection, so that no request is sent
    // while it is being closed.
    static constexpr std::chrono::milliseconds IdleMargin{500};
    const bool KeepAlive = Pending->Parser_->get().keep_alive();
    Outcome.CloseDelimited_ = Pending->Parser_->get().need_eof();
    if (const auto Limit = peerIdleTimeout(Pending->Parser_->get()))
      Pending->Connection_->IdleUntil_ = std::chrono::steady_clock::now() + *Limit - IdleMargin;
    Outcome.Response_ = fromBeast(Pending->Parser_->release());
    if (KeepAlive && Pending->Connection_->Buffer_.size() == 0)
      returnToPool(Pending);
  } else {
    ++Stats_.Failed_;
  }
  if (Pending->Connection_) {
    // A pending operation may still refer to the connection, so it is only closed here and freed
    // with the request.
    boost::system::error_code Ignored;
    Pending->Connection_->Socket_.close(Ignored);
  }
  const HttpCallback Done = std::exchange(Pending->Done_, nullptr);
  if (Done)
    Done(std::move(Outcome));
}

void HttpClient::Impl::cancel(HttpCallId Id) {
  const auto Found = PendingRequests_.find(Id);
  if (Found == PendingRequests_.end())
    return;
  const PendingRequestPtr Pending = Found->second;
  // Posted, so that Done is never called from within cancel.
  boost::asio::post(Loop_, [Self = shared_from_this(), Pending] {
    if (!Pending->Finished_)
      Self->finish(Pending, ErrorCode::Cancelled);
  });
}

void HttpClient::Impl::shutDown() {
  Idle_.clear();
  const auto Requests = std::exchange(PendingRequests_, {});
  ConnectHandler_ = nullptr;
  for (const auto &[Id, Pending] : Requests) {
    Pending->Finished_ = true;
    Pending->Done_ = nullptr;
    Pending->Timer_.cancel();
    boost::system::error_code Ignored;
    if (Pending->Connection_)
      Pending->Connection_->Socket_.close(Ignored);
  }
}

HttpClientStats HttpClient::Impl::stats() const {
  HttpClientStats Copy = Stats_;
  Copy.InFlight_ = PendingRequests_.size();
  for (const auto &[Address, Queue] : Idle_)
    Copy.Idle_ += Queue.size();
  return Copy;
}

HttpClient::HttpClient(boost::asio::io_context &Loop, std::size_t MaxIdle)
    : Impl_(std::make_shared<Impl>(Loop, MaxIdle)) {}
HttpClient::~HttpClient() { Impl_->shutDown(); }
HttpCallId HttpClient::send(const NetAddress &Address, HttpRequest Request, HttpSendOptions Options,
                            HttpCallback Done) {
  return Impl_->send(Address, std::move(Request), std::move(Options), std::move(Done));
}
void HttpClient::cancel(HttpCallId Id) { Impl_->cancel(Id); }
void HttpClient::onIdleClosed(std::function<void(const NetAddress &)> Handler) {
  Impl_->onIdleClosed(std::move(Handler));
}
void HttpClient::onConnect(std::function<void(const NetAddress &, bool, Duration)> Handler) {
  Impl_->onConnect(std::move(Handler));
}
void HttpClient::closeIdle(const NetAddress &Address) { Impl_->closeIdle(Address); }
void HttpClient::closeAllIdle() { Impl_->closeAllIdle(); }
HttpClientStats HttpClient::stats() const { return Impl_->stats(); }

} // namespace rattancart
