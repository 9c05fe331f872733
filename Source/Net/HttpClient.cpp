#include "Net/HttpClient.h"

#include "Core/Common/ErrorCode.h"
#include "Net/Address.h"
#include "Net/SocketOptions.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

namespace rattancart {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

/// Bytes that are read ahead on a connection. Only what has no other bound fills it: the size,
/// extension and trailers of a chunk, of which proper answers have a few bytes.
constexpr std::size_t MaxBufferedBytes = 128 * 1024;
/// Answers to other requests, and interim ones, that may stand before the one that is waited for.
/// A server that repeats its answers leaves one or two.
constexpr std::size_t MaxSkippedAnswers = 16;
/// Bytes in the bodies of these.
constexpr std::size_t MaxSkippedBytes = 4 * 1024 * 1024;

/// A connection with the bytes read ahead on it.
struct ClientConnection {
  explicit ClientConnection(boost::asio::io_context &Loop)
      : Socket_(Loop), Buffer_(MaxBufferedBytes) {}
  tcp::socket Socket_;
  boost::beast::flat_buffer Buffer_;
  /// When an idle connection is no longer safe to use; the other side closes it soon after.
  std::chrono::steady_clock::time_point IdleUntil_ = std::chrono::steady_clock::time_point::max();
  bool Idle_ = false;
};
using ClientConnectionPtr = std::shared_ptr<ClientConnection>;

/// Whether the other side closed an idle connection or sent something unasked.
bool isStale(tcp::socket &Socket) {
  boost::system::error_code E;
  Socket.non_blocking(true, E);
  char Byte = 0;
  Socket.receive(boost::asio::buffer(&Byte, 1), tcp::socket::message_peek, E);
  return E != boost::asio::error::would_block;
}

http::request<http::string_body> toBeast(const NetAddress &Address, HttpRequest Request,
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
  Message.prepare_payload();
  return Message;
}

HttpResponse headOf(const http::response<http::string_body> &Message) {
  HttpResponse Response;
  Response.Status_ = Message.result_int();
  for (const auto &Field : Message)
    Response.Headers_.add(std::string(Field.name_string()), std::string(Field.value()));
  return Response;
}

HttpResponse fromBeast(http::response<http::string_body> Message) {
  HttpResponse Response = headOf(Message);
  Response.Body_ = std::move(Message.body());
  return Response;
}

/// How long the other side keeps an idle connection, where "Keep-Alive: timeout=N" says so.
std::optional<std::chrono::seconds> idleLimit(const http::response<http::string_body> &Message) {
  const std::string_view Text(Message[http::field::keep_alive].data(),
                              Message[http::field::keep_alive].size());
  static constexpr std::string_view Name = "timeout=";
  const std::size_t At = Text.find(Name);
  if (At == std::string_view::npos)
    return std::nullopt;
  std::int64_t Value = 0;
  const char *Begin = Text.data() + At + Name.size();
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

private:
  struct Call;
  using CallPtr = std::shared_ptr<Call>;

  ClientConnectionPtr takeIdle(const NetAddress &Address);
  void watchIdle(const NetAddress &Address, const ClientConnectionPtr &Connection);
  void start(const CallPtr &Item);
  void connect(const CallPtr &Item);
  void write(const CallPtr &Item);
  void read(const CallPtr &Item);
  void readPiece(const CallPtr &Item);
  void onPiece(const CallPtr &Item, boost::system::error_code E);
  void onReadError(const CallPtr &Item, boost::system::error_code E);
  void arm(const CallPtr &Item, Duration Delay, ErrorCode Reason);
  void keep(const CallPtr &Item);
  void finish(const CallPtr &Item, std::error_code Failure);

  boost::asio::io_context &Loop_;
  std::size_t MaxIdle_;
  std::unordered_map<NetAddress, std::deque<ClientConnectionPtr>> Idle_;
  std::unordered_map<HttpCallId, CallPtr> Calls_;
  HttpCallId NextId_{1};
  HttpClientStats Stats_;
  std::function<void(const NetAddress &)> IdleClosed_;
};

struct HttpClient::Impl::Call {
  explicit Call(boost::asio::io_context &Loop) : Timer_(Loop) {}
  HttpCallId Id_;
  NetAddress Address_;
  http::request<http::string_body> Message_;
  HttpSendOptions Options_;
  HttpCallback Done_;
  ClientConnectionPtr Connection_;
  boost::asio::steady_timer Timer_;
  std::optional<http::response_parser<http::string_body>> Parser_;
  std::error_code TimerReason_;
  bool BytesHandedOver_ = false;
  bool Reused_ = false;
  bool Finished_ = false;
  bool HeadSeen_ = false;
  bool Skipping_ = false;
  std::size_t SkippedAnswers_ = 0;
  std::size_t SkippedBytes_ = 0;
};

HttpCallId HttpClient::Impl::send(const NetAddress &Address, HttpRequest Request,
                                  HttpSendOptions Options, HttpCallback Done) {
  auto Item = std::make_shared<Call>(Loop_);
  Item->Id_ = NextId_;
  NextId_ = NextId_.next();
  Item->Address_ = Address;
  Item->Message_ = toBeast(Address, std::move(Request), Options.KeepHost_);
  Item->Options_ = std::move(Options);
  Item->Done_ = std::move(Done);
  Calls_.emplace(Item->Id_, Item);
  ++Stats_.Sent_;
  boost::asio::post(Loop_, [Self = shared_from_this(), Item] { Self->start(Item); });
  return Item->Id_;
}

void HttpClient::Impl::start(const CallPtr &Item) {
  if (Item->Finished_)
    return;
  if (Item->Options_.Use_ == ConnectionUse::Pooled)
    Item->Connection_ = takeIdle(Item->Address_);
  if (!Item->Connection_)
    return connect(Item);
  Item->Reused_ = true;
  write(Item);
}

ClientConnectionPtr HttpClient::Impl::takeIdle(const NetAddress &Address) {
  const auto Place = Idle_.find(Address);
  if (Place == Idle_.end())
    return nullptr;
  auto &Queue = Place->second;
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

void HttpClient::Impl::connect(const CallPtr &Item) {
  const auto Target = parseAddress(Item->Address_);
  if (!Target)
    return finish(Item, Target.error().Code_);
  Item->Connection_ = std::make_shared<ClientConnection>(Loop_);
  ++Stats_.Connects_;
  arm(Item, Item->Options_.ConnectTimeout_, ErrorCode::ConnectFailed);
  Item->Connection_->Socket_.async_connect(
      *Target, [Self = shared_from_this(), Item](boost::system::error_code E) {
        if (Item->Finished_)
          return;
        if (E)
          return Self->finish(Item, ErrorCode::ConnectFailed);
        boost::system::error_code Ignored;
        Item->Connection_->Socket_.set_option(tcp::no_delay(true), Ignored);
        setDeadPeerTimeouts(Item->Connection_->Socket_);
        Self->write(Item);
      });
}

void HttpClient::Impl::write(const CallPtr &Item) {
  if (Item->Options_.BeforeSend_ && !Item->Options_.BeforeSend_())
    return finish(Item, ErrorCode::Cancelled);
  arm(Item, Item->Options_.ResponseTimeout_, ErrorCode::ResponseTimeout);
  Item->BytesHandedOver_ = true;
  http::async_write(Item->Connection_->Socket_, Item->Message_,
                    [Self = shared_from_this(), Item](boost::system::error_code E, std::size_t) {
                      if (Item->Finished_)
                        return;
                      if (E)
                        return Self->finish(Item, ErrorCode::ConnectionClosed);
                      Self->read(Item);
                    });
}

void HttpClient::Impl::read(const CallPtr &Item) {
  Item->Parser_.emplace();
  Item->Parser_->skip(Item->Message_.method() == http::verb::head);
  if (Item->Options_.Sink_) {
    Item->Parser_->body_limit(boost::none);
    Item->HeadSeen_ = false;
    Item->Skipping_ = false;
    return readPiece(Item);
  }
  Item->Parser_->body_limit(Item->Options_.MaxBodyBytes_);
  http::async_read(Item->Connection_->Socket_, Item->Connection_->Buffer_, *Item->Parser_,
                   [Self = shared_from_this(), Item](boost::system::error_code E, std::size_t) {
                     if (Item->Finished_)
                       return;
                     if (E)
                       return Self->onReadError(Item, E);
                     Self->finish(Item, {});
                   });
}

void HttpClient::Impl::onReadError(const CallPtr &Item, boost::system::error_code E) {
  if (E == http::error::body_limit || E == http::error::buffer_overflow)
    return finish(Item, ErrorCode::ResponseTooLarge);
  const bool Closed = E == http::error::end_of_stream || E == http::error::partial_message ||
                      E.category() == boost::system::system_category();
  finish(Item, Closed ? ErrorCode::ConnectionClosed : ErrorCode::MalformedResponse);
}

void HttpClient::Impl::readPiece(const CallPtr &Item) {
  http::async_read_some(
      Item->Connection_->Socket_, Item->Connection_->Buffer_, *Item->Parser_,
      [Self = shared_from_this(), Item](boost::system::error_code E, std::size_t) {
        if (!Item->Finished_)
          Self->onPiece(Item, E);
      });
}

void HttpClient::Impl::onPiece(const CallPtr &Item, boost::system::error_code E) {
  HttpResponseSink &Sink = *Item->Options_.Sink_;
  if (Item->Parser_->is_header_done() && !Item->HeadSeen_) {
    Item->HeadSeen_ = true;
    const HeadDecision Verdict = Sink.onHead(headOf(Item->Parser_->get()));
    if (Item->Finished_)
      return;
    if (Verdict == HeadDecision::Abort)
      return finish(Item, ErrorCode::MalformedResponse);
    Item->Skipping_ = Verdict == HeadDecision::Skip;
    if (Item->Skipping_ && ++Item->SkippedAnswers_ > MaxSkippedAnswers)
      return finish(Item, ErrorCode::ResponseTooLarge);
  }
  std::string &Body = Item->Parser_->get().body();
  if (!Body.empty()) {
    const bool GoOn = Item->Skipping_ ? (Item->SkippedBytes_ += Body.size()) <= MaxSkippedBytes
                                      : Sink.onBody(Body);
    if (Item->Finished_)
      return;
    if (!GoOn)
      return finish(Item, ErrorCode::ResponseTooLarge);
    Body.clear();
  }
  if (E)
    return onReadError(Item, E);
  if (!Item->Parser_->is_done())
    return readPiece(Item);
  if (Item->Skipping_)
    return read(Item);
  finish(Item, {});
}

void HttpClient::Impl::arm(const CallPtr &Item, Duration Delay, ErrorCode Reason) {
  Item->TimerReason_ = Reason;
  Item->Timer_.expires_after(Delay);
  Item->Timer_.async_wait([Self = shared_from_this(), Item, Reason](boost::system::error_code E) {
    // A timer that expired just before it was armed again reports the earlier reason.
    if (!E && !Item->Finished_ && Item->TimerReason_ == Reason)
      Self->finish(Item, Reason);
  });
}

void HttpClient::Impl::keep(const CallPtr &Item) {
  auto &Queue = Idle_[Item->Address_];
  if (Queue.size() >= MaxIdle_)
    return;
  Queue.push_back(std::move(Item->Connection_));
  // A watch is work for the event loop, which otherwise ends with the last request.
  if (IdleClosed_)
    watchIdle(Item->Address_, Queue.back());
}

void HttpClient::Impl::watchIdle(const NetAddress &Address, const ClientConnectionPtr &Connection) {
  Connection->Idle_ = true;
  Connection->Socket_.async_wait(
      tcp::socket::wait_read, [Weak = weak_from_this(), Address,
                               Held = std::weak_ptr(Connection)](boost::system::error_code E) {
        const auto Self = Weak.lock();
        const auto Ended = Held.lock();
        if (E || !Self || !Ended || !Ended->Idle_)
          return;
        const auto Place = Self->Idle_.find(Address);
        if (Place == Self->Idle_.end() || std::erase(Place->second, Ended) == 0)
          return;
        if (Self->IdleClosed_)
          Self->IdleClosed_(Address);
      });
}

void HttpClient::Impl::finish(const CallPtr &Item, std::error_code Failure) {
  Item->Finished_ = true;
  Item->Timer_.cancel();
  Calls_.erase(Item->Id_);

  HttpResult Outcome;
  Outcome.Error_ = Failure;
  Outcome.BytesHandedOver_ = Item->BytesHandedOver_;
  Outcome.Reused_ = Item->Reused_;
  if (!Failure) {
    // A connection is closed this long before the other side would, so that no request is sent
    // into its closing.
    static constexpr std::chrono::milliseconds IdleMargin{500};
    const bool KeepAlive = Item->Parser_->get().keep_alive();
    Outcome.CloseDelimited_ = Item->Parser_->get().need_eof();
    if (const auto Limit = idleLimit(Item->Parser_->get()))
      Item->Connection_->IdleUntil_ = std::chrono::steady_clock::now() + *Limit - IdleMargin;
    Outcome.Response_ = fromBeast(Item->Parser_->release());
    if (KeepAlive && Item->Connection_->Buffer_.size() == 0)
      keep(Item);
  } else {
    ++Stats_.Failed_;
  }
  if (Item->Connection_) {
    // The pending operation still refers to the connection, so it is closed here and freed with
    // the call.
    boost::system::error_code Ignored;
    Item->Connection_->Socket_.close(Ignored);
  }
  const HttpCallback Done = std::exchange(Item->Done_, nullptr);
  if (Done)
    Done(std::move(Outcome));
}

void HttpClient::Impl::cancel(HttpCallId Id) {
  const auto Place = Calls_.find(Id);
  if (Place == Calls_.end())
    return;
  const CallPtr Item = Place->second;
  // Posted, so that Done is never called from within cancel.
  boost::asio::post(Loop_, [Self = shared_from_this(), Item] {
    if (!Item->Finished_)
      Self->finish(Item, ErrorCode::Cancelled);
  });
}

void HttpClient::Impl::shutDown() {
  Idle_.clear();
  const auto Calls = std::exchange(Calls_, {});
  for (const auto &[Id, Item] : Calls) {
    Item->Finished_ = true;
    Item->Done_ = nullptr;
    Item->Timer_.cancel();
    boost::system::error_code Ignored;
    if (Item->Connection_)
      Item->Connection_->Socket_.close(Ignored);
  }
}

HttpClientStats HttpClient::Impl::stats() const {
  HttpClientStats Copy = Stats_;
  Copy.InFlight_ = Calls_.size();
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
void HttpClient::closeIdle(const NetAddress &Address) { Impl_->closeIdle(Address); }
void HttpClient::closeAllIdle() { Impl_->closeAllIdle(); }
HttpClientStats HttpClient::stats() const { return Impl_->stats(); }

} // namespace rattancart
