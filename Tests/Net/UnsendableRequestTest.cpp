#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Tests/Net/RawHttpFixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <optional>
#include <ostream>
#include <random>
#include <stdexcept>
#include <string>
#include <utility>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

/// The number of the error for a request that can't be sent.
constexpr int NotSendable = 713;
/// Maximum length of a header's name or value in the HTTP library.
constexpr std::size_t MaxFieldLength = 65'533;
constexpr unsigned FuzzSeed = 20261207;
constexpr int FuzzRequests = 3'000;

struct UnsendableCase {
  const char *Name_;
  std::string Method_;
  std::string Target_;
  HttpHeader Field_;
  std::string Body_;
};
std::ostream &operator<<(std::ostream &Out, const UnsendableCase &Case) {
  return Out << Case.Name_;
}

const UnsendableCase UnsendableCases[] = {
    {"TRACE with a body", "TRACE", "/", {"a", "b"}, "abc"},
    {"no method", "", "/", {"a", "b"}, ""},
    {"a space in the method", "GET /b", "/", {"a", "b"}, ""},
    {"no target", "GET", "", {"a", "b"}, ""},
    {"a space in the target", "GET", "/a b", {"a", "b"}, ""},
    {"a line feed in the target", "GET", "/a\nb", {"a", "b"}, ""},
    {"a header without name", "GET", "/", {"", "b"}, ""},
    {"a colon in a header's name", "GET", "/", {"a:b", "b"}, ""},
    {"a line feed in a header's name", "GET", "/", {"a\nb", "b"}, ""},
    {"a line feed in a header's value", "GET", "/", {"a", "b\r\nc: d"}, ""},
    {"a null byte in a header's value", "GET", "/", {"a", std::string(1, '\0')}, ""},
    {"a header's name that is too long",
     "GET",
     "/",
     {std::string(MaxFieldLength + 1, 'a'), "b"},
     ""},
    {"a header's value that is too long",
     "GET",
     "/",
     {"a", std::string(MaxFieldLength + 1, 'b')},
     ""},
};

/// Keeps the last request and answers it.
class RecordingHandler final : public HttpHandler {
public:
  void handle(HttpRequest Request, HttpResponderPtr Responder) override {
    Last_ = std::move(Request);
    Responder->send({});
  }
  std::optional<HttpRequest> Last_;
};

/// Throws before its response, or after the start of one to /begun, unless asked for /sound.
class ThrowingHandler final : public HttpHandler {
public:
  void handle(HttpRequest Request, HttpResponderPtr Responder) override {
    if (Request.path() == "/begun")
      Responder->startChunked({});
    if (Request.path() != "/sound")
      throw std::runtime_error("a failure of the handler");
    Responder->send({});
  }
};

struct ClientAndServer {
  ClientAndServer() {
    HttpServerOptions Options;
    Options.MaxHeaderBytes_ = 1024 * 1024;
    Server_.emplace(Loop_, Options, Handler_, Log_);
    BOOST_REQUIRE(!Server_->listen(NetAddress("127.0.0.1:0")));
  }
  HttpResult send(HttpRequest Request) {
    std::optional<HttpResult> Got;
    Client_.send(Server_->address(), std::move(Request), {},
                 [&](HttpResult Result) { Got = std::move(Result); });
    BOOST_TEST(!Got.has_value(), "Done was called from within send");
    while (!Got)
      BOOST_REQUIRE(Loop_.run_one_for(std::chrono::seconds(10)) > 0U);
    return *Got;
  }

  boost::asio::io_context Loop_;
  NullLogger Log_;
  RecordingHandler Handler_;
  std::optional<HttpServer> Server_;
  HttpClient Client_{Loop_};
};

/// Random requests, some of which can't be sent.
class RequestSource {
public:
  explicit RequestSource(unsigned Seed) : Random_(Seed) {}
  HttpRequest next() {
    HttpRequest Request;
    Request.Method_ = method();
    Request.Target_ = "/" + text(0x21, 0x7e, below(40));
    const std::size_t Count = below(4);
    for (std::size_t I = 0; I < Count; ++I)
      Request.Headers_.add("f" + std::to_string(I) + name(), text(0x21, 0x7e, length()));
    if (oneIn(20))
      Request.Headers_.add("broken", text(0x00, 0x20, 1 + below(5)));
    if (oneIn(2))
      Request.Body_ = text(0x00, 0xff, below(300));
    if (oneIn(5))
      Request.Headers_.add("Content-Length", std::to_string(below(300)));
    if (oneIn(10))
      Request.Headers_.add("Transfer-Encoding", "chunked");
    return Request;
  }

private:
  std::size_t below(std::size_t Bound) { return Random_() % Bound; }
  bool oneIn(std::size_t Odds) { return below(Odds) == 0; }
  std::string text(unsigned Least, unsigned Most, std::size_t Length) {
    std::string Text(Length, ' ');
    std::generate(Text.begin(), Text.end(),
                  [&] { return static_cast<char>(Least + below(Most - Least + 1)); });
    return Text;
  }
  std::string method() {
    static constexpr const char *Known[] = {"GET",   "HEAD",    "POST", "PUT",      "DELETE",
                                            "PATCH", "OPTIONS", "LINK", "PROPFIND", "TRACE",
                                            "TRACE", "trace",   "PING", "M-SEARCH"};
    return oneIn(8) ? text(0x20, 0x7f, below(6)) : Known[below(std::size(Known))];
  }
  std::string name() {
    return oneIn(15) ? text(0x20, 0x7f, below(6))
                     : std::string(oneIn(30) ? length() : below(10), 'n');
  }
  std::size_t length() { return oneIn(15) ? MaxFieldLength - 8 + below(16) : 1 + below(200); }

  std::mt19937 Random_;
};

void checkDelivered(const HttpRequest &Sent, const HttpRequest &Got) {
  BOOST_TEST(Got.Method_ == Sent.Method_);
  BOOST_TEST(Got.Target_ == Sent.Target_);
  BOOST_TEST((Got.Body_ == Sent.Body_));
  for (const HttpHeader &Field : Sent.Headers_.all())
    if (Field.Name_.starts_with('f'))
      BOOST_TEST((Got.Headers_.get(Field.Name_) == Field.Value_), "field " << Field.Name_);
}

} // namespace

/// A caller's request that the HTTP library refuses ended the process with an exception.
BOOST_DATA_TEST_CASE(RequestThatCannotBeSentIsAnError, data::make(UnsendableCases), Case) {
  boost::asio::io_context Loop;
  HttpClient Client(Loop);
  HttpRequest Request;
  Request.Method_ = Case.Method_;
  Request.Target_ = Case.Target_;
  Request.Headers_.add(Case.Field_.Name_, Case.Field_.Value_);
  Request.Body_ = Case.Body_;
  std::optional<HttpResult> Got;
  Client.send(NetAddress("127.0.0.1:1"), Request, {},
              [&](HttpResult Result) { Got = std::move(Result); });
  BOOST_TEST(!Got.has_value());
  Loop.run_one();
  BOOST_REQUIRE(Got.has_value());
  BOOST_TEST(Got->Error_.value() == NotSendable);
  BOOST_TEST(!Got->BytesHandedOver_);
  BOOST_TEST(Client.stats().Connects_ == 0U);
  BOOST_TEST(Client.stats().InFlight_ == 0U);
}

BOOST_FIXTURE_TEST_CASE(TraceWithoutABodyIsSent, ClientAndServer) {
  HttpRequest Request;
  Request.Method_ = "TRACE";
  BOOST_TEST(!send(Request).Error_);
  BOOST_REQUIRE(Handler_.Last_.has_value());
  BOOST_TEST(Handler_.Last_->Method_ == "TRACE");
}

/// Guards against exceptions of the library, and against requests that arrive as others.
BOOST_FIXTURE_TEST_CASE(RandomRequestsArriveUnchangedOrAreErrors, ClientAndServer) {
  RequestSource Source(FuzzSeed);
  int Delivered = 0;
  int Refused = 0;
  for (int I = 0; I < FuzzRequests; ++I) {
    BOOST_TEST_CONTEXT("request " << I) {
      const HttpRequest Request = Source.next();
      Handler_.Last_.reset();
      const HttpResult Result = send(Request);
      BOOST_TEST(Result.BytesHandedOver_ == Handler_.Last_.has_value());
      if (Result.Error_) {
        BOOST_TEST(Result.Error_.value() == NotSendable);
        ++Refused;
        continue;
      }
      BOOST_REQUIRE(Handler_.Last_.has_value());
      checkDelivered(Request, *Handler_.Last_);
      ++Delivered;
    }
  }
  BOOST_TEST(Delivered > FuzzRequests / 4);
  BOOST_TEST(Refused > FuzzRequests / 20);
}

/// An exception of the handler ended the process, and with it the requests of all callers.
BOOST_AUTO_TEST_CASE(ExceptionOfAHandlerEndsOnlyItsOwnRequest) {
  boost::asio::io_context Loop;
  NullLogger Log;
  ThrowingHandler Handler;
  HttpServer Server(Loop, smallOptions(), Handler, Log);
  BOOST_REQUIRE(!Server.listen(NetAddress("127.0.0.1:0")));
  HttpClient Client(Loop);
  const auto Send = [&](const char *Target) {
    HttpRequest Request;
    Request.Target_ = Target;
    std::optional<HttpResult> Got;
    Client.send(Server.address(), Request, {}, [&](HttpResult Result) { Got = std::move(Result); });
    while (!Got)
      BOOST_REQUIRE(Loop.run_one_for(std::chrono::seconds(10)) > 0U);
    return *Got;
  };
  const HttpResult Failed = Send("/failing");
  BOOST_TEST(!Failed.Error_);
  BOOST_TEST(Failed.Response_.Status_ == 500U);
  BOOST_TEST(Failed.Response_.Body_.find("\"error\":315") != std::string::npos);
  BOOST_TEST(!!Send("/begun").Error_);
  const HttpResult Sound = Send("/sound");
  BOOST_TEST(!Sound.Error_);
  BOOST_TEST(Sound.Response_.Status_ == 200U);
  BOOST_TEST(Server.stats().InFlight_ == 0U);
}
