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
