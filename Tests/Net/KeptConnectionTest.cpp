#include "Tests/Net/RawHttpFixture.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <thread>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

constexpr std::chrono::milliseconds ShortTimeout{30};

/// A request of which a part arrives while the event loop is blocked until its time limit is over.
struct DelayCase {
  const char *Name_;
  /// Arrives before the delay.
  std::string Before_;
  /// Arrives during the delay.
  std::string During_;
};

std::ostream &operator<<(std::ostream &Out, const DelayCase &Case) { return Out << Case.Name_; }

const DelayCase DelayCases[] = {
    {"whole request on an idle connection", "", get("/a")},
    {"rest of a header", "GET /a HTT", "P/1.1\r\nHost: a\r\n\r\n"},
    {"rest of a body", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab", "cd"},
    {"body after its header", "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n", "ab"},
    {"body that takes several reads", "",
     "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n" + std::string(60000, 'x')},
};

/// When the bytes of During_ arrive.
struct ArrivalCase {
  const char *Name_;
  bool Kept_;
  /// After the time limit, but before the event loop has noticed that it is over.
  bool Late_;
};

std::ostream &operator<<(std::ostream &Out, const ArrivalCase &Case) { return Out << Case.Name_; }

const ArrivalCase ArrivalCases[] = {
    {"new connection", false, false},
    {"kept connection", true, false},
    {"new connection after the limit", false, true},
    {"kept connection after the limit", true, true},
};

/// How a server stops to accept connections.
struct ShutdownCase {
  const char *Name_;
  void (*Start_)(HttpServer &);
};

std::ostream &operator<<(std::ostream &Out, const ShutdownCase &Case) { return Out << Case.Name_; }

const ShutdownCase ShutdownCases[] = {
    {"announced", [](HttpServer &Server) { Server.announceClose(); }},
    {"drained", [](HttpServer &Server) { Server.drain(); }},
};

/// When a caller sends its next request on a connection that it was not told to give up.
enum class NextRequest { WithTheStream, DuringTheStream, AfterTheStream };

std::ostream &operator<<(std::ostream &Out, NextRequest When) {
  return Out << static_cast<int>(When);
}

const NextRequest NextRequests[] = {NextRequest::WithTheStream, NextRequest::DuringTheStream,
                                    NextRequest::AfterTheStream};

/// A request of which a part is sent before the limits change.
struct LimitCase {
  const char *Name_;
  std::string Before_;
  std::string After_;
};

std::ostream &operator<<(std::ostream &Out, const LimitCase &Case) { return Out << Case.Name_; }

const LimitCase LimitCases[] = {
    {"in a header that is larger than the new limit",
     "GET /a HTTP/1.1\r\nHost: a\r\nX: " + std::string(500, 'x'), "\r\n\r\n"},
    {"in a body that is larger than the new limit",
     "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 90\r\n\r\n" + std::string(50, 'x'),
     std::string(40, 'x')},
    {"in chunks that are larger than the new limit",
     "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n",
     "8\r\n12345678\r\n0\r\n\r\n"},
};

} // namespace

BOOST_DATA_TEST_CASE(RequestThatArrivedDuringADelayOfTheEventLoopIsAnswered,
                     data::make(ArrivalCases) * data::make(DelayCases), Arrival, Case) {
  HttpServerOptions Options = smallOptions();
  Options.IdleTimeout_ = ShortTimeout;
  Options.HeaderTimeout_ = ShortTimeout;
  Options.RequestTimeout_ = ShortTimeout;
  Options.MaxBodyBytes_ = 100'000;
  RawHttpFixture Setup(Options);
  if (Arrival.Kept_) {
    Setup.send(get("/first"));
    Setup.receiveUntil("/first ;");
  }
  Setup.runUntil([&] { return Setup.Server_.stats().Accepted_ == 1; });
  Setup.send(Case.Before_);
  Setup.Loop_.poll();
  if (!Arrival.Late_)
    Setup.send(Case.During_);
  std::this_thread::sleep_for(2 * ShortTimeout);
  if (Arrival.Late_)
    boost::asio::post(Setup.Loop_, [&] { Setup.send(Case.During_); });
  Setup.receiveUntil("/a ");
  BOOST_TEST(Setup.received("/a "));
  BOOST_TEST(!Setup.received("HTTP/1.1 408"));
  Setup.Loop_.poll();
  BOOST_TEST(countOccurrences(Setup.Received_, "HTTP/1.1 ") == (Arrival.Kept_ ? 2U : 1U));
  BOOST_TEST(Setup.Server_.stats().TimedOut_ == 0U);
}

BOOST_DATA_TEST_CASE(RequestBehindAStreamThatBeganBeforeTheShutdownIsAnswered,
                     data::make(ShutdownCases) * data::make(NextRequests), Shutdown, When) {
  RawHttpFixture Setup;
  Setup.send(get("/stream") + (When == NextRequest::WithTheStream ? get("/next") : ""));
  Setup.receiveUntil("\r\n\r\n");
  BOOST_TEST(!Setup.received("Connection: close"));
  Shutdown.Start_(Setup.Server_);
  if (When == NextRequest::DuringTheStream)
    Setup.send(get("/next"));
  Setup.Handler_.Held_->sendChunk("event");
  Setup.Handler_.Held_->finishChunked();
  Setup.receiveUntil("0\r\n\r\n");
  Setup.Loop_.poll();
  if (When == NextRequest::AfterTheStream)
    Setup.send(get("/next"));
  Setup.receiveToEnd();
  BOOST_TEST(Setup.received("/next ;"));
  BOOST_TEST(countOccurrences(Setup.Received_, "Connection: close") == 1U);
  BOOST_TEST(Setup.Handler_.Count_ == 2);
}

BOOST_DATA_TEST_CASE(RequestBehindAnAnswerThatClosesTheConnectionIsNotRun,
                     data::make(ShutdownCases), Shutdown) {
  RawHttpFixture Setup;
  Setup.send(get("/hold"));
  Setup.runUntil([&] { return Setup.Handler_.Held_ != nullptr; });
  Shutdown.Start_(Setup.Server_);
  Setup.Handler_.Held_->send({});
  Setup.Handler_.Held_.reset();
  Setup.receiveToEnd();
  BOOST_TEST(Setup.received("Connection: close"));
  Setup.send(get("/next"));
  Setup.runUntil([&] { return Setup.Server_.stats().Open_ == 0; });
  BOOST_TEST(Setup.Handler_.Count_ == 1);
}

BOOST_AUTO_TEST_CASE(RequestOnAConnectionOpenedBeforeTheDrainIsAnswered) {
  for (const bool Accepted : {true, false}) {
    BOOST_TEST_CONTEXT("accepted " << Accepted) {
      RawHttpFixture Setup;
      if (Accepted)
        Setup.runUntil([&] { return Setup.Server_.stats().Accepted_ == 1; });
      Setup.Server_.drain();
      Setup.Loop_.poll();
      Setup.send(get("/a"));
      Setup.receiveToEnd();
      BOOST_TEST(Setup.received("/a ;"));
      BOOST_TEST(Setup.received("Connection: close"));
      BOOST_TEST(Setup.Server_.stats().InFlight_ == 0U);
    }
  }
}

BOOST_AUTO_TEST_CASE(RequestOnAConnectionUsedJustBeforeTheDrainIsAnswered) {
  RawHttpFixture Setup;
  Setup.send(get("/a"));
  Setup.receiveUntil("/a ;");
  Setup.Loop_.poll();
  Setup.Server_.drain();
  Setup.Loop_.poll();
  Setup.send(get("/b"));
  Setup.receiveToEnd();
  BOOST_TEST(Setup.received("/b ;"));
  BOOST_TEST(countOccurrences(Setup.Received_, "Connection: close") == 1U);
}

BOOST_AUTO_TEST_CASE(IdleConnectionIsClosedByTheDrain) {
  RawHttpFixture Setup;
  Setup.send(get("/a"));
  Setup.receiveUntil("/a ;");
  Setup.Server_.drain();
  Setup.receiveToEnd();
  Setup.runUntil([&] { return Setup.Server_.stats().Open_ == 0; });
  BOOST_TEST(countOccurrences(Setup.Received_, "HTTP/1.1 ") == 1U);
}

BOOST_DATA_TEST_CASE(RequestThatBeganBeforeAChangeOfTheLimitsIsAnswered, data::make(LimitCases),
                     Case) {
  RawHttpFixture Setup;
  Setup.send(Case.Before_);
  Setup.runUntil([&] { return Setup.Server_.stats().Accepted_ == 1; });
  Setup.Loop_.poll();
  HttpServerOptions Smaller;
  Smaller.MaxHeaderBytes_ = 40;
  Smaller.MaxBodyBytes_ = 4;
  Smaller.MaxConnections_ = 0;
  Smaller.HeaderTimeout_ = {};
  Smaller.RequestTimeout_ = {};
  Smaller.IdleTimeout_ = {};
  Setup.Server_.setLimits(Smaller);
  Setup.Loop_.poll();
  Setup.send(Case.After_);
  Setup.receiveUntil("/a ");
  BOOST_TEST(Setup.received("/a "));
}

BOOST_AUTO_TEST_CASE(ConnectionIdleWithinARaisedLimitIsKept) {
  HttpServerOptions Options = smallOptions();
  Options.IdleTimeout_ = ShortTimeout;
  RawHttpFixture Setup(Options);
  Setup.runUntil([&] { return Setup.Server_.stats().Accepted_ == 1; });
  Options.IdleTimeout_ = std::chrono::hours(1);
  Setup.Server_.setLimits(Options);
  Setup.Loop_.run_for(3 * ShortTimeout);
  Setup.send(get("/a"));
  Setup.receiveUntil("/a ;");
  BOOST_TEST(Setup.received("/a ;"));
}
