#include "Net/HttpServer.h"

#include "Core/Common/ErrorCode.h"
#include "Net/Address.h"
#include "Net/SocketOptions.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <deque>
#include <exception>
#include <optional>
#include <unordered_set>
#include <utility>

namespace rattancart {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

class ServerConnection;

/// State that the server shares with its connections.
struct ServerState {
  HttpServerOptions Options_;
  HttpHandler &Handler_;
  Logger &Log_;
  HttpServerStats Stats_;
  bool Draining_ = false;
  bool AnnounceClose_ = false;
  std::unordered_set<ServerConnection *> Connections_;
};

std::string formatHead(const HttpResponse &Head, bool KeepAlive, std::string_view Framing) {
  const auto Reason = http::obsolete_reason(http::int_to_status(Head.Status_));
  std::string Text = fmt::format("HTTP/1.1 {} {}\r\n", Head.Status_,
                                 std::string_view(Reason.data(), Reason.size()));
  for (const HttpHeader &Field : Head.Headers_.all())
    Text += fmt::format("{}: {}\r\n", Field.Name_, Field.Value_);
  Text += Framing;
  Text += KeepAlive ? "\r\n" : "Connection: close\r\n\r\n";
  return Text;
}

std::string errorBody(ErrorCode Reason) {
  return fmt::format("{{\"error\":{},\"message\":\"{}\"}}\n", static_cast<int>(Reason),
                     errorInfo(Reason).Text_);
}

/// Whether the end of the request's body can't be determined. The parser would take a body in an
/// unknown transfer coding for the next request.
bool hasUnknownFraming(const http::request_header<> &Header) {
  const std::size_t Codings = Header.count(http::field::transfer_encoding);
  if (Codings == 0)
    return false;
  return Codings > 1 || Header.version() < 11 ||
         !boost::beast::iequals(Header[http::field::transfer_encoding], "chunked");
}

/// What a connection does when its timer expires.
enum class TimerAction {
  Close,
  /// Refuses a request that has not arrived completely.
  Refuse,
};

/// How long a request is still read after its time limit, for bytes that had arrived by then.
constexpr std::chrono::milliseconds LateReadTime{100};

/// How long a connection on which no request has arrived is kept during a drain. Its caller was
/// told that it is kept, and a request may be on its way.
constexpr std::chrono::milliseconds DrainIdleTimeout{500};

/// One caller's connection. Reads a request and reads the next after the response to it.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(tcp::socket Socket, std::shared_ptr<ServerState> Shared)
      : Socket_(std::move(Socket)), Timer_(Socket_.get_executor()), Shared_(std::move(Shared)) {
    boost::system::error_code Ignored;
    Socket_.set_option(tcp::no_delay(true), Ignored);
    setDeadPeerTimeouts(Socket_);
    Shared_->Connections_.insert(this);
    ++Shared_->Stats_.Accepted_;
  }
  ~ServerConnection() { Shared_->Connections_.erase(this); }
  ServerConnection(const ServerConnection &) = delete;
  ServerConnection &operator=(const ServerConnection &) = delete;

  /// Waits for the first byte of the next request.
  void awaitRequest() {
    if (Buffer_.size() > 0)
      return readRequest();
    Idle_ = true;
    IdleSince_ = std::chrono::steady_clock::now();
    armIdleTimer();
    Socket_.async_wait(tcp::socket::wait_read,
                       [Self = shared_from_this()](boost::system::error_code E) {
                         if (Self->Closed_)
                           return;
                         if (E)
                           return Self->close();
                         Self->readRequest();
                       });
  }

  /// Applies the current limit to a connection that is already idle.
  void limitIdleTime() {
    if (Idle_)
      armIdleTimer();
  }

  void close() {
    if (Closed_)
      return;
    Closed_ = true;
    cancelTimer();
    boost::system::error_code Ignored;
    // A shutdown would end the stream properly before the reset.
    if (!Resets_)
      Socket_.shutdown(tcp::socket::shutdown_both, Ignored);
    Socket_.close(Ignored);
    if (!InResponse_)
      return;
    InResponse_ = false;
    --Shared_->Stats_.InFlight_;
    ++Shared_->Stats_.CallersGone_;
    // Posted, so that OnClosed_ is never called from within a function that its owner called.
    boost::asio::post(Socket_.get_executor(), [Handler = std::exchange(OnClosed_, nullptr)] {
      if (Handler)
        Handler();
    });
  }

  bool isOpen() const { return !Closed_; }
  std::size_t queuedBytes() const { return QueuedBytes_; }
  void setOnClosed(std::function<void()> Handler) { OnClosed_ = std::move(Handler); }
  bool isAnswering(std::uint64_t Exchange) const {
    return !Closed_ && InResponse_ && Exchange == ExchangeNumber_;
  }

  void queueText(std::string Text) {
    QueuedBytes_ += Text.size();
    Outgoing_.push_back(std::move(Text));
    if (Outgoing_.size() == 1)
      writeNext();
  }

  /// Marks the response as complete: its last byte is queued.
  void endResponse() {
    ResponseEnded_ = true;
    if (Outgoing_.empty())
      finishExchange();
  }

  /// Decides whether the connection is kept after the response whose head is sent now.
  bool decideKeepAlive() {
    KeptAfterResponse_ = KeepAlive_ && !Shared_->Draining_ && !Shared_->AnnounceClose_;
    return KeptAfterResponse_;
  }
  void forceClose() { KeepAlive_ = false; }
  /// Closes the connection so that the caller's next read fails, also behind bytes that it
  /// received.
  void reset() {
    boost::system::error_code Ignored;
    Socket_.set_option(tcp::socket::linger(true, 0), Ignored);
    Resets_ = true;
    close();
  }
  bool isHeadRequest() const { return IsHeadRequest_; }

private:
  /// How long the connection may stay idle from now on.
  Duration idleTimeLeft() const {
    Duration Limit = Shared_->Options_.IdleTimeout_;
    if (Shared_->Draining_)
      Limit = std::min<Duration>(Limit, DrainIdleTimeout);
    return IdleSince_ + Limit - std::chrono::steady_clock::now();
  }

  void armIdleTimer() { armTimer(idleTimeLeft(), TimerAction::Close); }

  void armTimer(Duration Delay, TimerAction Action) {
    const std::uint64_t Number = ++TimerNumber_;
    Timer_.expires_after(Delay);
    Timer_.async_wait([Weak = weak_from_this(), Number, Action](boost::system::error_code E) {
      const auto Self = Weak.lock();
      // A handler that was already queued when the timer was armed again can't be cancelled.
      if (!E && Self && !Self->Closed_ && Number == Self->TimerNumber_)
        Self->onTimer(Action);
    });
  }

  void cancelTimer() {
    ++TimerNumber_;
    Timer_.cancel();
  }

  void onTimer(TimerAction Action) {
    // After a delay of the event loop, bytes that arrived in time may still be unread.
    if (Action == TimerAction::Close) {
      boost::system::error_code E;
      // The pending wait reads the request.
      if (Idle_ && Socket_.available(E) > 0)
        return;
      // The limit may have been raised since.
      if (Idle_ && idleTimeLeft() > Duration{})
        return armIdleTimer();
      return close();
    }
    if (!std::exchange(ReadsLate_, true))
      return armTimer(LateReadTime, TimerAction::Refuse);
    ++Shared_->Stats_.TimedOut_;
    refuse(408, ErrorCode::SlowRequest);
  }

  void readRequest() {
    Idle_ = false;
    ReadsLate_ = false;
    Parser_.emplace();
    Parser_->header_limit(static_cast<std::uint32_t>(Shared_->Options_.MaxHeaderBytes_));
    Parser_->body_limit(Shared_->Options_.MaxBodyBytes_);
    RequestEnd_ = std::chrono::steady_clock::now() + Shared_->Options_.RequestTimeout_;
    armTimer(std::min(Shared_->Options_.HeaderTimeout_, Shared_->Options_.RequestTimeout_),
             TimerAction::Refuse);
    http::async_read_header(Socket_, Buffer_, *Parser_,
                            [Self = shared_from_this()](boost::system::error_code E, std::size_t) {
                              Self->onHeader(E);
                            });
  }

  void onHeader(boost::system::error_code E) {
    if (Closed_ || Refused_)
      return;
    if (E)
      return onReadError(E);
    const auto &Message = Parser_->get();
    if (hasUnknownFraming(Message))
      return refuse(400, ErrorCode::MalformedRequest);
    if (boost::beast::iequals(Message[http::field::expect], "100-continue"))
      sendContinue();
    armTimer(RequestEnd_ - std::chrono::steady_clock::now(), TimerAction::Refuse);
    http::async_read(Socket_, Buffer_, *Parser_,
                     [Self = shared_from_this()](boost::system::error_code Failure, std::size_t) {
                       Self->onRequest(Failure);
                     });
  }

  void sendContinue() {
    auto Text = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
    boost::asio::async_write(
        Socket_, boost::asio::buffer(*Text),
        [Text, Self = shared_from_this()](boost::system::error_code, std::size_t) {});
  }

  void onRequest(boost::system::error_code E) {
    if (Closed_ || Refused_)
      return;
    if (E)
      return onReadError(E);
    cancelTimer();

    auto Message = Parser_->release();
    KeepAlive_ = Message.keep_alive();
    IsHeadRequest_ = Message.method() == http::verb::head;
    if (Message.version() == 11 && Message.count(http::field::host) != 1)
      return refuse(400, ErrorCode::MalformedRequest);
    HttpRequest Request;
    Request.Method_ = std::string(Message.method_string());
    Request.Target_ = std::string(Message.target());
    for (const auto &Field : Message)
      Request.Headers_.add(std::string(Field.name_string()), std::string(Field.value()));
    Request.Body_ = std::move(Message.body());
    dispatchRequest(std::move(Request));
  }

  void dispatchRequest(HttpRequest Request);

  void onReadError(boost::system::error_code E) {
    if (E == http::error::end_of_stream || E.category() == boost::system::system_category() ||
        E.category() == boost::asio::error::get_misc_category())
      return close();
    if (E == http::error::header_limit || E == http::error::buffer_overflow)
      return refuse(431, ErrorCode::HeaderTooLarge);
    if (E == http::error::body_limit)
      return refuse(413, ErrorCode::BodyTooLarge);
    refuse(400, ErrorCode::MalformedRequest);
  }

  /// Answers a request that can't be read with an error, then closes the connection.
  void refuse(unsigned Status, ErrorCode Reason) {
    if (Refused_)
      return;
    Refused_ = true;
    ++Shared_->Stats_.Malformed_;
    Shared_->Log_.log(LogEvent::CallerMalformed,
                      {{"status", Status}, {"error", static_cast<int>(Reason)}});
    const std::string Body = errorBody(Reason);
    HttpResponse Head;
    Head.Status_ = Status;
    Head.Headers_.add("Content-Type", "application/json");
    auto Text = std::make_shared<std::string>(
        formatHead(Head, false, fmt::format("Content-Length: {}\r\n", Body.size())) + Body);
    boost::asio::async_write(
        Socket_, boost::asio::buffer(*Text),
        [Text, Self = shared_from_this()](boost::system::error_code E, std::size_t) {
          if (E)
            return Self->close();
          Self->startLingeringClose();
        });
  }

  /// Closes the connection after reading and discarding input for a short time. A close with unread
  /// input would reset the connection, and the caller could lose the response.
  void startLingeringClose() {
    Lingers_ = true;
    boost::system::error_code Ignored;
    Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
    armTimer(std::chrono::milliseconds(500), TimerAction::Close);
    discardInput();
  }

  void discardInput() {
    Socket_.async_read_some(boost::asio::buffer(Discarded_),
                            [Self = shared_from_this()](boost::system::error_code E, std::size_t) {
                              if (Self->Closed_)
                                return;
                              if (E)
                                return Self->close();
                              Self->discardInput();
                            });
  }

  void writeNext() {
    boost::asio::async_write(Socket_, boost::asio::buffer(Outgoing_.front()),
                             [Self = shared_from_this()](boost::system::error_code E, std::size_t) {
                               if (Self->Closed_)
                                 return;
                               if (E)
                                 return Self->close();
                               Self->QueuedBytes_ -= Self->Outgoing_.front().size();
                               Self->Outgoing_.pop_front();
                               if (!Self->Outgoing_.empty())
                                 return Self->writeNext();
                               if (Self->ResponseEnded_)
                                 Self->finishExchange();
                             });
  }

  void finishExchange() {
    if (!InResponse_)
      return;
    InResponse_ = false;
    ResponseEnded_ = false;
    OnClosed_ = nullptr;
    ++ExchangeNumber_;
    --Shared_->Stats_.InFlight_;
    // What the head of the response said holds, also if a shutdown has begun since.
    if (!KeptAfterResponse_)
      return startLingeringClose();
    if (!WatchPending_)
      return awaitRequest();
    // The wait of watchForCallerClose is still pending; its handler awaits the next request.
    boost::system::error_code Ignored;
    Socket_.cancel(Ignored);
  }

  /// Detects that the caller closes the connection before its response is complete. A pipelined
  /// request ends the wait; a close after it is detected only when the response is written.
  void watchForCallerClose() {
    WatchPending_ = true;
    Socket_.async_wait(tcp::socket::wait_read,
                       [Self = shared_from_this()](boost::system::error_code E) {
                         Self->WatchPending_ = false;
                         if (Self->Closed_ || Self->Lingers_)
                           return;
                         if (!Self->InResponse_)
                           return Self->awaitRequest();
                         if (!E && Self->peerClosed())
                           Self->close();
                       });
  }

  bool peerClosed() {
    boost::system::error_code E;
    char Byte = 0;
    Socket_.non_blocking(true, E);
    const std::size_t Count =
        Socket_.receive(boost::asio::buffer(&Byte, 1), tcp::socket::message_peek, E);
    return Count == 0 && E != boost::asio::error::would_block;
  }

  tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
  std::shared_ptr<ServerState> Shared_;
  boost::beast::flat_buffer Buffer_;
  std::optional<http::request_parser<http::string_body>> Parser_;
  std::deque<std::string> Outgoing_;
  std::size_t QueuedBytes_ = 0;
  std::array<char, 4096> Discarded_{};
  std::function<void()> OnClosed_;
  std::uint64_t ExchangeNumber_ = 0;
  /// The time by which the request that is being read must have arrived.
  std::chrono::steady_clock::time_point RequestEnd_;
  std::chrono::steady_clock::time_point IdleSince_;
  /// Identifies the last use of the timer.
  std::uint64_t TimerNumber_ = 0;
  bool Closed_ = false;
  bool Refused_ = false;
  bool Idle_ = false;
  /// The time limit of the request has expired; what had arrived by then is still read.
  bool ReadsLate_ = false;
  bool InResponse_ = false;
  bool ResponseEnded_ = false;
  /// Whether the caller wants the connection to be kept.
  bool KeepAlive_ = true;
  /// Whether the head of the response said that the connection is kept.
  bool KeptAfterResponse_ = false;
  /// The connection is closed, and only the caller's remaining input is discarded.
  bool Lingers_ = false;
  bool Resets_ = false;
  bool IsHeadRequest_ = false;
  bool WatchPending_ = false;
};

/// Sends the response of one request on a connection.
class ConnectionResponder final : public HttpResponder {
public:
  ConnectionResponder(std::shared_ptr<ServerConnection> Connection, std::uint64_t Exchange)
      : Connection_(std::move(Connection)), ExchangeNumber_(Exchange) {}
  ~ConnectionResponder() override {
    if (!Ended_ && Connection_->isAnswering(ExchangeNumber_))
      closeIncomplete();
  }
  ConnectionResponder(const ConnectionResponder &) = delete;
  ConnectionResponder &operator=(const ConnectionResponder &) = delete;

  void send(HttpResponse Response) override {
    if (!isOpen())
      return;
    Ended_ = true;
    std::string Text = formatHead(Response, Connection_->decideKeepAlive(),
                                  fmt::format("Content-Length: {}\r\n", Response.Body_.size()));
    if (!Connection_->isHeadRequest())
      Text += Response.Body_;
    Connection_->queueText(std::move(Text));
    Connection_->endResponse();
  }
  void startChunked(HttpResponse Head) override {
    if (!isOpen())
      return;
    Begun_ = true;
    Connection_->queueText(
        formatHead(Head, Connection_->decideKeepAlive(), "Transfer-Encoding: chunked\r\n"));
  }
  void startUntilClose(HttpResponse Head) override {
    if (!isOpen())
      return;
    Begun_ = true;
    EndsWithConnection_ = true;
    Connection_->forceClose();
    Connection_->queueText(formatHead(Head, Connection_->decideKeepAlive(), {}));
  }
  void sendChunk(std::string_view Data) override {
    if (!isOpen() || Data.empty())
      return;
    if (EndsWithConnection_)
      Connection_->queueText(std::string(Data));
    else
      Connection_->queueText(fmt::format("{:x}\r\n{}\r\n", Data.size(), Data));
  }
  void finishChunked() override {
    if (!isOpen())
      return;
    Ended_ = true;
    if (!EndsWithConnection_)
      Connection_->queueText("0\r\n\r\n");
    Connection_->endResponse();
  }
  void abort() override {
    if (!isOpen())
      return;
    Ended_ = true;
    closeIncomplete();
  }
  /// Ends the response after an exception of the handler. The request may have run.
  void fail() {
    if (Begun_)
      return abort();
    HttpResponse Response;
    Response.Status_ = 500;
    Response.Headers_.add("Content-Type", "application/json");
    Response.Body_ = errorBody(ErrorCode::HandlerFailed);
    send(std::move(Response));
  }
  bool isOpen() const override { return !Ended_ && Connection_->isAnswering(ExchangeNumber_); }
  std::size_t queuedBytes() const override { return Connection_->queuedBytes(); }
  void onClosed(std::function<void()> Handler) override {
    if (isOpen())
      Connection_->setOnClosed(std::move(Handler));
  }

private:
  void closeIncomplete() {
    if (EndsWithConnection_)
      Connection_->reset();
    else
      Connection_->close();
  }

  std::shared_ptr<ServerConnection> Connection_;
  std::uint64_t ExchangeNumber_;
  bool Ended_ = false;
  /// The head of a response without Content-Length was sent.
  bool Begun_ = false;
  /// The response has no length.
  bool EndsWithConnection_ = false;
};

void ServerConnection::dispatchRequest(HttpRequest Request) {
  InResponse_ = true;
  ResponseEnded_ = false;
  ++Shared_->Stats_.Requests_;
  ++Shared_->Stats_.InFlight_;
  if (Buffer_.size() == 0)
    watchForCallerClose();
  const auto Responder = std::make_shared<ConnectionResponder>(shared_from_this(), ExchangeNumber_);
  // An exception would end the process, and with it the requests of all other callers.
  try {
    Shared_->Handler_.handle(std::move(Request), Responder);
  } catch (const std::exception &Failure) {
    Shared_->Log_.log(LogEvent::HandlerFailed, {{"what", std::string(Failure.what())}});
    Responder->fail();
  }
}

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
  Impl(boost::asio::io_context &Loop, HttpServerOptions Options, HttpHandler &Handler, Logger &Log)
      : Acceptor_(Loop), Retry_(Loop), Shared_(std::make_shared<ServerState>(ServerState{
                                           Options, Handler, Log, {}, false, false, {}})) {}

  std::error_code listen(const NetAddress &Address) {
    const auto Target = parseAddress(Address);
    if (!Target)
      return Target.error().Code_;
    boost::system::error_code E;
    Acceptor_.open(Target->protocol(), E);
    Acceptor_.set_option(tcp::acceptor::reuse_address(true), E);
    if (Acceptor_.bind(*Target, E) || Acceptor_.listen(tcp::acceptor::max_listen_connections, E))
      return ErrorCode::BindFailed;
    Address_ = formatAddress(Acceptor_.local_endpoint(E));
    accept();
    return {};
  }

  const NetAddress &address() const { return Address_; }

  void announceClose() { Shared_->AnnounceClose_ = true; }

  void setLimits(const HttpServerOptions &Options) { Shared_->Options_ = Options; }

  void drain() {
    Shared_->Draining_ = true;
    acceptPending();
    closeAcceptor();
    for (const auto &Connection : lockConnections())
      Connection->limitIdleTime();
  }

  void stop() {
    Shared_->Draining_ = true;
    Stopped_ = true;
    closeAcceptor();
    for (const auto &Connection : lockConnections())
      Connection->close();
  }

  HttpServerStats stats() const {
    HttpServerStats Copy = Shared_->Stats_;
    Copy.Open_ = Shared_->Connections_.size();
    return Copy;
  }

private:
  std::vector<std::shared_ptr<ServerConnection>> lockConnections() {
    std::vector<std::shared_ptr<ServerConnection>> All;
    for (ServerConnection *Connection : Shared_->Connections_)
      if (auto Strong = Connection->weak_from_this().lock())
        All.push_back(std::move(Strong));
    return All;
  }

  void closeAcceptor() {
    boost::system::error_code Ignored;
    Acceptor_.close(Ignored);
    Retry_.cancel();
  }

  void accept() {
    Acceptor_.async_accept(
        [Self = shared_from_this()](boost::system::error_code E, tcp::socket Socket) {
          // A connection that was accepted before a drain closed the acceptor is served.
          if (!E)
            Self->serve(std::move(Socket));
          if (!Self->Acceptor_.is_open())
            return;
          if (E)
            return Self->acceptLater();
          Self->accept();
        });
  }

  /// Accepts the connections that are already established: closing the acceptor would reset them.
  void acceptPending() {
    boost::system::error_code E;
    Acceptor_.non_blocking(true, E);
    while (!E) {
      tcp::socket Socket(Acceptor_.get_executor());
      Acceptor_.accept(Socket, E);
      if (!E)
        serve(std::move(Socket));
    }
  }

  void serve(tcp::socket Socket) {
    if (!Stopped_ && Shared_->Connections_.size() < Shared_->Options_.MaxConnections_)
      std::make_shared<ServerConnection>(std::move(Socket), Shared_)->awaitRequest();
  }

  void acceptLater() {
    // Typically out of file descriptors; an immediate retry would fail again in a busy loop.
    Retry_.expires_after(std::chrono::milliseconds(50));
    Retry_.async_wait([Self = shared_from_this()](boost::system::error_code E) {
      if (!E && Self->Acceptor_.is_open())
        Self->accept();
    });
  }

  tcp::acceptor Acceptor_;
  boost::asio::steady_timer Retry_;
  std::shared_ptr<ServerState> Shared_;
  NetAddress Address_;
  bool Stopped_ = false;
};

HttpServer::HttpServer(boost::asio::io_context &Loop, HttpServerOptions Options,
                       HttpHandler &Handler, Logger &Log)
    : Impl_(std::make_shared<Impl>(Loop, Options, Handler, Log)) {}
HttpServer::~HttpServer() { Impl_->stop(); }
std::error_code HttpServer::listen(const NetAddress &Address) { return Impl_->listen(Address); }
NetAddress HttpServer::address() const { return Impl_->address(); }
void HttpServer::announceClose() { Impl_->announceClose(); }
void HttpServer::setLimits(const HttpServerOptions &Options) { Impl_->setLimits(Options); }
void HttpServer::drain() { Impl_->drain(); }
void HttpServer::stop() { Impl_->stop(); }
HttpServerStats HttpServer::stats() const { return Impl_->stats(); }

} // namespace rattancart
