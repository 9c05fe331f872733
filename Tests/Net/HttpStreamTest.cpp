#include "Core/Common/ErrorCode.h"
#include "Net/Address.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

using namespace rattancart;
using boost::asio::ip::tcp;

namespace {

/// Answers each request on a connection with the next of Answers_, one part at a time.
class ScriptedServer {
public:
  explicit ScriptedServer(boost::asio::io_context &Loop)
      : Acceptor_(Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
    accept();
  }

  NetAddress address() const { return formatAddress(Acceptor_.local_endpoint()); }
  std::deque<std::vector<std::string>> Answers_;
  int Connections_ = 0;
  /// Closes the connection after each answer.
  bool Close_ = false;
  /// Resets the connection after each answer.
  bool Reset_ = false;
  std::shared_ptr<tcp::socket> Last_;

private:
  void accept() {
    Acceptor_.async_accept([this](boost::system::error_code E, tcp::socket Socket) {
      if (E)
        return;
      ++Connections_;
      Last_ = std::make_shared<tcp::socket>(std::move(Socket));
      serve(Last_, std::make_shared<boost::asio::streambuf>());
      accept();
    });
  }

  void serve(std::shared_ptr<tcp::socket> Socket, std::shared_ptr<boost::asio::streambuf> Buffer) {
    boost::asio::async_read_until(
        *Socket, *Buffer, "\r\n\r\n",
        [this, Socket, Buffer](boost::system::error_code E, std::size_t Size) {
          if (E || Answers_.empty())
            return;
          Buffer->consume(Size);
          for (const std::string &Piece : Answers_.front())
            boost::asio::write(*Socket, boost::asio::buffer(Piece), E);
          Answers_.pop_front();
          if (Reset_)
            Socket->set_option(tcp::socket::linger(true, 0), E);
          if (Close_ || Reset_)
            return Socket->close(E), void();
          serve(Socket, Buffer);
        });
  }

  tcp::acceptor Acceptor_;
};

/// Answers a request with Start and then with Repeated over and over, until the client closes the
/// connection or MaxBytes are sent.
class EndlessServer {
public:
  static constexpr std::size_t MaxBytes = 32 << 20;

  EndlessServer(boost::asio::io_context &Loop, std::string Start, const std::string &Repeated)
      : Acceptor_(Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)), Socket_(Loop),
        Start_(std::move(Start)) {
    while (RepeatedPart_.size() < 4096)
      RepeatedPart_ += Repeated;
    Acceptor_.async_accept(Socket_, [this](boost::system::error_code E) {
      if (!E)
        boost::asio::async_read_until(
            Socket_, Request_, "\r\n\r\n", [this](boost::system::error_code, std::size_t) {
              boost::system::error_code Ignored;
              boost::asio::write(Socket_, boost::asio::buffer(Start_), Ignored);
              sendRepeatedly();
            });
    });
  }

  NetAddress address() const { return formatAddress(Acceptor_.local_endpoint()); }
  std::size_t sent() const { return Sent_; }

private:
  void sendRepeatedly() {
    boost::asio::async_write(Socket_, boost::asio::buffer(RepeatedPart_),
                             [this](boost::system::error_code E, std::size_t Size) {
                               Sent_ += Size;
                               boost::system::error_code Ignored;
                               if (E || Sent_ >= MaxBytes)
                                 return Socket_.close(Ignored), void();
                               sendRepeatedly();
                             });
  }

  tcp::acceptor Acceptor_;
  tcp::socket Socket_;
  boost::asio::streambuf Request_;
  std::string Start_;
  std::string RepeatedPart_;
  std::size_t Sent_ = 0;
};

struct EndlessCase {
  const char *Name_;
  const char *Start_;
  const char *Repeated_;
  /// Whether the response is passed to a sink as it arrives.
  bool Sink_;
};

std::ostream &operator<<(std::ostream &Out, const EndlessCase &Case) { return Out << Case.Name_; }

const EndlessCase EndlessCases[] = {
    {"status line", "HTTP/1.1 200 ", "K", true},
    {"header", "HTTP/1.1 200 OK\r\nX: ", "x", true},
    {"headers", "HTTP/1.1 200 OK\r\n", "X: y\r\n", true},
    {"size of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", true},
    {"extension of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x", true},
    {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n", true},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\nId: old\r\n\r\n", true},
    {"answers to other requests", "", "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 2\r\n\r\nxx",
     true},
    {"body of an answer to another request", "HTTP/1.1 200 OK\r\nId: old\r\n\r\n", "x", true},
    {"body that the sink refuses", "HTTP/1.1 200 OK\r\n\r\n", "x", true},
    {"body of an answer without a sink", "HTTP/1.1 200 OK\r\n\r\n", "x", false},
};

/// Skips responses whose "Id" header is "old", aborts on "bad", and collects the bodies of others.
class CollectingSink final : public HttpResponseSink {
public:
  HeadDecision onHead(const HttpResponse &Head) override {
    Statuses_.push_back(Head.Status_);
    const std::string Id(Head.Headers_.get("Id"));
    return Id == "old"   ? HeadDecision::Skip
           : Id == "bad" ? HeadDecision::Abort
                         : HeadDecision::Accept;
  }
  bool onBody(std::string_view Data) override {
    if (Body_.size() + Data.size() > MaxBytes)
      return false;
    Body_ += Data;
    ++Pieces_;
    return true;
  }
  /// More than the body of any finite answer in these tests.
  static constexpr std::size_t MaxBytes = 1 << 20;
  std::vector<std::uint32_t> Statuses_;
  std::string Body_;
  int Pieces_ = 0;
};

struct SinkCase {
  const char *Name_;
  std::vector<std::string> Answer_;
  const char *Body_;
  /// 0 for success.
  int Error_;
  bool Close_ = false;
  bool CloseDelimited_ = false;
};

std::ostream &operator<<(std::ostream &Out, const SinkCase &Case) { return Out << Case.Name_; }

constexpr int Closed = static_cast<int>(ErrorCode::ConnectionClosed);
constexpr int Malformed = static_cast<int>(ErrorCode::MalformedResponse);

const SinkCase SinkCases[] = {
    {"with a length", {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab", "cd"}, "abcd", 0},
    {"in chunks",
     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n", "2\r\ncd\r\n",
      "0\r\n\r\n"},
     "abcd",
     0},
    {"without a length", {"HTTP/1.1 200 OK\r\n\r\nab", "cd"}, "abcd", 0, true, true},
    {"cut in a chunk",
     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nab"},
     "ab",
     Closed,
     true},
    {"cut in its length", {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nab"}, "ab", Closed, true},
    {"cut in a length beyond any memory",
     {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\nab"},
     "ab",
     Closed,
     true},
    {"cut in its head", {"HTTP/1.1 200 OK\r\nCont"}, "", Closed, true},
    {"no HTTP", {"what is this\r\n\r\n"}, "", Malformed},
    {"after a late answer to another request",
     {"HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 2\r\n\r\nxx",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"},
     "ab",
     0},
    {"refused by the sink",
     {"HTTP/1.1 200 OK\r\nId: bad\r\nContent-Length: 2\r\n\r\nxx"},
     "",
     Malformed},
};

/// An answer whose connection is reset behind its last byte.
struct ResetCase {
  const char *Name_;
  std::vector<std::string> Answer_;
};

std::ostream &operator<<(std::ostream &Out, const ResetCase &Case) { return Out << Case.Name_; }

const ResetCase ResetCases[] = {
    {"without a length", {"HTTP/1.1 200 OK\r\n\r\nabcd"}},
    {"without a length and body", {"HTTP/1.1 200 OK\r\n\r\n"}},
    {"without a length, to be closed", {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabcd"}},
    {"without a length, in an old version", {"HTTP/1.0 200 OK\r\n\r\nabcd"}},
    {"in chunks without the last",
     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n"}},
    {"in its head", {"HTTP/1.1 200 OK\r\n"}},
};

const std::string CutHeads[] = {
    "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 40\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: a\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nId: a\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n",
    "HTTP/1.0 200 OK\r\nId: a\r\n\r\n",
};

struct Fixture {
  Fixture() : Server_(Loop_), Client_(Loop_) {}

  HttpResult call(HttpResponseSink *Sink) {
    std::optional<HttpResult> Got;
    HttpSendOptions Options;
    Options.Sink_ = Sink;
    Client_.send(Server_.address(), {}, Options, [&](HttpResult R) { Got = std::move(R); });
    while (!Got && Loop_.run_one())
      ;
    return *Got;
  }

  boost::asio::io_context Loop_;
  ScriptedServer Server_;
  HttpClient Client_;
};

} // namespace

BOOST_DATA_TEST_CASE_F(Fixture, ResponsesArePassedToTheSinkAsTheyArrive, SinkCases, Case) {
  Server_.Answers_.push_back(Case.Answer_);
  Server_.Close_ = Case.Close_;
  CollectingSink Sink;
  const HttpResult Result = call(&Sink);
  BOOST_TEST(Result.Error_.value() == Case.Error_);
  BOOST_TEST(Sink.Body_ == Case.Body_);
  BOOST_TEST(Result.CloseDelimited_ == Case.CloseDelimited_);
  BOOST_TEST(Result.Response_.Body_.empty());
}

BOOST_DATA_TEST_CASE_F(Fixture, ResetResponseIsNotComplete,
                       boost::unit_test::data::make({false, true}) *
                           boost::unit_test::data::make(ResetCases),
                       WithSink, Case) {
  Server_.Answers_.push_back(Case.Answer_);
  Server_.Reset_ = true;
  CollectingSink Sink;
  const HttpResult Result = call(WithSink ? &Sink : nullptr);
  BOOST_TEST(Result.Error_.value() == Closed);
  BOOST_TEST(!Result.CloseDelimited_);
}

// An engine stops in the middle of the head of its answer and closes the connection.
BOOST_DATA_TEST_CASE_F(Fixture, AHeadThatBreaksOffIsTakenForAnAnswer,
                       boost::unit_test::data::make({false, true}) *
                           boost::unit_test::data::make(CutHeads),
                       Reset, Head) {
  Server_.Close_ = !Reset;
  Server_.Reset_ = Reset;
  for (std::size_t Size = 0; Size < Head.size(); ++Size)
    for (const bool WithSink : {false, true}) {
      Server_.Answers_ = {{Head.substr(0, Size)}};
      CollectingSink Sink;
      const HttpResult Result = call(WithSink ? &Sink : nullptr);
      BOOST_TEST(Result.Error_.value() == Closed, "head of " << Size << " bytes");
      BOOST_TEST(Sink.Statuses_.empty(), "head of " << Size << " bytes");
      BOOST_TEST(Result.BytesHandedOver_);
    }
}

BOOST_DATA_TEST_CASE_F(Fixture, EndlessResponsesAreAborted, EndlessCases, Case) {
  EndlessServer Server(Loop_, Case.Start_, Case.Repeated_);
  CollectingSink Sink;
  HttpSendOptions Options;
  Options.Sink_ = Case.Sink_ ? &Sink : nullptr;
  std::optional<HttpResult> Got;
  Client_.send(Server.address(), {}, Options, [&](HttpResult R) { Got = std::move(R); });
  while (!Got && Loop_.run_one())
    ;
  BOOST_TEST(!!Got->Error_);
  BOOST_TEST(Server.sent() < EndlessServer::MaxBytes);
  BOOST_TEST(Sink.Body_.size() <= CollectingSink::MaxBytes);
}

BOOST_FIXTURE_TEST_CASE(ConnectionWithBytesAfterAResponseIsNotReused, Fixture) {
  Server_.Answers_ = {{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n"},
                      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ncd"}};
  BOOST_TEST(!call(nullptr).Error_);
  const HttpResult Second = call(nullptr);
  BOOST_TEST(Second.Response_.Body_ == "cd");
  BOOST_TEST(!Second.Reused_);
  BOOST_TEST(Server_.Connections_ == 2);
}

BOOST_DATA_TEST_CASE_F(Fixture, LateSecondAnswerOnAnIdleConnectionIsNotTakenForTheNext,
                       boost::unit_test::data::make({false, true}) *
                           boost::unit_test::data::make({false, true}),
                       Watched, Noticed) {
  Server_.Answers_ = {{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"},
                      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ncd"}};
  if (Watched)
    Client_.onIdleClosed([](const NetAddress &) {});
  BOOST_TEST(!call(nullptr).Error_);
  boost::asio::write(*Server_.Last_, boost::asio::buffer(std::string(
                                         "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab")));
  // Whether the event loop handles the arrival before the next request.
  if (Noticed)
    Loop_.poll();
  const HttpResult Second = call(nullptr);
  BOOST_TEST(Second.Response_.Body_ == "cd");
  BOOST_TEST(!Second.Reused_);
}

BOOST_FIXTURE_TEST_CASE(ConnectionsNearTheirKeepAliveTimeoutAreNotReused, Fixture) {
  Server_.Answers_ = {{"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n"},
                      {"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=60\r\nContent-Length: 0\r\n\r\n"},
                      {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}};
  BOOST_TEST(!call(nullptr).Reused_);
  BOOST_TEST(!call(nullptr).Reused_);
  BOOST_TEST(call(nullptr).Reused_);
}

BOOST_FIXTURE_TEST_CASE(ClosingOfAnIdleConnectionIsReported, Fixture) {
  Server_.Answers_ = {{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}};
  std::optional<NetAddress> Ended;
  Client_.onIdleClosed([&](const NetAddress &Address) { Ended = Address; });
  BOOST_TEST(!call(nullptr).Error_);
  Server_.Last_->close();
  while (!Ended && Loop_.run_one())
    ;
  BOOST_TEST(Ended->str() == Server_.address().str());
  BOOST_TEST(Client_.stats().Idle_ == 0U);
}

BOOST_AUTO_TEST_CASE(IdleConnectionsDoNotKeepTheEventLoopBusy) {
  boost::asio::io_context Loop;
  boost::asio::io_context ServerLoop;
  ScriptedServer Server(ServerLoop);
  Server.Answers_ = {{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}};
  HttpClient Client(Loop);
  std::optional<HttpResult> Got;
  Client.send(Server.address(), {}, {}, [&](HttpResult R) { Got = std::move(R); });
  while (!Got) {
    Loop.poll();
    ServerLoop.poll();
  }
  BOOST_TEST(!Got->Error_);
  BOOST_TEST(Client.stats().Idle_ == 1U);
  Loop.poll();
  // A loop without pending work stops.
  BOOST_TEST(Loop.stopped());
}

BOOST_AUTO_TEST_CASE(CallersAreAskedToConnectElsewhereBeforeTheServerStops) {
  class Answer final : public HttpHandler {
  public:
    void handle(HttpRequest, HttpResponderPtr Responder) override { Responder->send({}); }
  };
  boost::asio::io_context Loop;
  NullLogger Log;
  Answer Handler;
  HttpServer Server(Loop, {}, Handler, Log);
  BOOST_REQUIRE(!Server.listen(NetAddress("127.0.0.1:0")));
  HttpClient Client(Loop);
  const auto Call = [&] {
    std::optional<HttpResult> Got;
    Client.send(Server.address(), {}, {}, [&](HttpResult R) { Got = std::move(R); });
    while (!Got && Loop.run_one())
      ;
    return *Got;
  };
  BOOST_TEST(!Call().Response_.Headers_.has("Connection"));
  Server.announceClose();
  for (int I = 0; I < 2; ++I) {
    const HttpResult Result = Call();
    BOOST_TEST(!Result.Error_);
    BOOST_TEST(Result.Response_.Headers_.get("Connection") == "close");
  }
}
