#include "Tests/Net/RawHttpFixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

using Fixture = RawHttpFixture;

struct MalformedCase {
  std::string Name_;
  std::string Sent_;
  int Status_;
};
std::ostream &operator<<(std::ostream &Out, const MalformedCase &Case) { return Out << Case.Name_; }

const std::string Post = "POST / HTTP/1.1\r\nHost: a\r\n";

const MalformedCase MalformedCases[] = {
    {"no request line", "hello\r\n\r\n", 400},
    {"a handshake of another protocol", std::string("\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03", 10),
     400},
    {"another major version", "GET / HTTP/9.9\r\nHost: a\r\n\r\n", 400},
    {"no target", "GET HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"a space in the target", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"a control character in the target", "GET /a\x01 HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"no Host", "GET / HTTP/1.1\r\n\r\n", 400},
    {"two Hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", 400},
    {"a header without colon", "GET / HTTP/1.1\r\nHost: a\r\nbroken\r\n\r\n", 400},
    {"a header without name", "GET / HTTP/1.1\r\nHost: a\r\n: b\r\n\r\n", 400},
    {"a space before the colon", "GET / HTTP/1.1\r\nHost : a\r\n\r\n", 400},
    {"a null byte in a header",
     "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(1, '\0') + "b\r\n\r\n", 400},
    {"line feeds alone", "GET / HTTP/1.1\nHost: a\n\n", 400},
    {"a length that is no number", Post + "Content-Length: x\r\n\r\n", 400},
    {"a negative length", Post + "Content-Length: -1\r\n\r\n", 400},
    {"a length beyond 64 bits", Post + "Content-Length: 99999999999999999999\r\n\r\n", 400},
    {"two lengths", Post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
    {"a length and chunks",
     Post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
    {"chunks and a length",
     Post + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n", 400},
    {"an unknown transfer encoding", Post + "Transfer-Encoding: gzip\r\n\r\nGET / HTTP/1.1\r\n\r\n",
     400},
    {"two transfer encodings", Post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
    {"a second transfer encoding",
     Post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n0\r\n\r\n", 400},
    {"chunks in an old version", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     400},
    {"a chunk size that is no number", Post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
    {"a chunk without its end", Post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", 400},
    {"a chunk size beyond 64 bits",
     Post + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", 400},
    {"a header that is too large",
     "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", 431},
    {"a request line that is too large", "GET /" + std::string(2000, 'x'), 431},
    {"a body that is too large", Post + "Content-Length: 101\r\n\r\n", 413},
    {"chunks that are too large together",
     Post + "Transfer-Encoding: chunked\r\n\r\n60\r\n" + std::string(96, 'x') +
         "\r\n5\r\nabcde\r\n",
     413},
};

const MalformedCase SlowCases[] = {
    {"a slow header", "GET / HTTP/1.1\r\nHo", 408},
    {"a slow body", Post + "Content-Length: 5\r\n\r\nab", 408},
    {"a slow chunk", Post + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", 408},
};

} // namespace

BOOST_DATA_TEST_CASE_F(Fixture, MalformedRequestIsRefusedAndTheConnectionClosed,
                       data::make(MalformedCases), Case) {
  send(Case.Sent_);
  receiveToEnd();
  BOOST_TEST(status() == Case.Status_);
  BOOST_TEST(countOccurrences(Received_, "HTTP/1.1 ") == 1U);
  BOOST_TEST(Received_.find("Connection: close") != std::string::npos);
  BOOST_TEST(Handler_.Count_ == 0);
  BOOST_TEST(Server_.stats().Malformed_ == 1U);
}

BOOST_DATA_TEST_CASE(SlowRequestIsRefused, data::make(SlowCases), Case) {
  HttpServerOptions Options = smallOptions();
  Options.RequestTimeout_ = std::chrono::milliseconds(30);
  Fixture Setup(Options);
  Setup.send(Case.Sent_);
  Setup.receiveToEnd();
  BOOST_TEST(Setup.status() == Case.Status_);
  BOOST_TEST(Setup.Handler_.Count_ == 0);
  BOOST_TEST(Setup.Server_.stats().TimedOut_ == 1U);
}

BOOST_FIXTURE_TEST_CASE(PipelinedRequestsAreAnsweredInOrder, Fixture) {
  send(get("/hold") + get("/b") + get("/c"));
  runUntil([this] { return Handler_.Held_ != nullptr; });
  Loop_.poll();
  BOOST_TEST(Handler_.Count_ == 1);
  HttpResponse First;
  First.Body_ = "/hold ;";
  Handler_.Held_->send(First);
  runUntil([this] { return countOccurrences(Received_, ";") == 3; });
  BOOST_TEST(Received_.find("/hold ;") < Received_.find("/b ;"));
  BOOST_TEST(Received_.find("/b ;") < Received_.find("/c ;"));
}

BOOST_FIXTURE_TEST_CASE(RequestBeforeAMalformedOneIsAnswered, Fixture) {
  send(get("/a") + "broken\r\n\r\n");
  receiveToEnd();
  BOOST_TEST(Received_.find("/a ;") != std::string::npos);
  BOOST_TEST(Received_.find("HTTP/1.1 400") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(ContinueIsSentBeforeTheBodyArrives, Fixture) {
  send(Post + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  runUntil([this] { return !Received_.empty(); });
  BOOST_TEST(Received_ == "HTTP/1.1 100 Continue\r\n\r\n");
  send("ab");
  runUntil([this] { return countOccurrences(Received_, ";") == 1; });
  BOOST_TEST(Received_.find("/ ab;") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(Http10CallerWithoutHostIsAnsweredAndClosed, Fixture) {
  send("GET /a HTTP/1.0\r\n\r\n");
  BOOST_TEST(receiveToEnd().find("/a ;") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(DisconnectOfACallerIsReportedToTheHandler, Fixture) {
  send(get("/hold"));
  runUntil([this] { return Handler_.Held_ != nullptr; });
  Caller_.close();
  runUntil([this] { return Handler_.CallerDisconnected_; });
  BOOST_TEST(!Handler_.Held_->isOpen());
  Handler_.Held_->send({});
  BOOST_TEST(Server_.stats().InFlight_ == 0U);
}

BOOST_FIXTURE_TEST_CASE(DisconnectWithinARequestFreesTheConnection, Fixture) {
  send(Post + "Content-Length: 50\r\n\r\nabc");
  Loop_.poll();
  Caller_.close();
  runUntil([this] { return Server_.stats().Accepted_ == 1 && Server_.stats().Open_ == 0; });
  BOOST_TEST(Handler_.Count_ == 0);
}

BOOST_FIXTURE_TEST_CASE(MutatedRequestsAreAnsweredOrClosed, Fixture) {
  std::mt19937_64 Random(20261204);
  const std::vector<std::string> Valid = {
      get("/a?b=c") + get("/d"),
      Post + "Content-Length: 3\r\n\r\nabc" + get("/e"),
      Post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
  };
  for (int Round = 0; Round < 2000; ++Round) {
    std::string Text = Valid[Random() % Valid.size()];
    for (std::uint64_t Change = Random() % 3; Change < 3; ++Change) {
      const std::size_t Place = Random() % Text.size();
      if (Random() % 3 == 0)
        Text.erase(Place, 1 + Random() % 4);
      else
        Text[Place] = static_cast<char>(Random());
    }
    connect();
    send(Text);
    endSending();
    receiveToEnd();
    Caller_.close();
  }
  connect();
  send(get("/still"));
  runUntil([this] { return countOccurrences(Received_, ";") == 1; });
  BOOST_TEST(Received_.find("/still ;") != std::string::npos);
  BOOST_TEST(Server_.stats().InFlight_ == 0U);
}
