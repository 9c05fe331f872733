#include "Core/Calls/ClaimPositionTracker.h"

#include <boost/test/unit_test.hpp>

using namespace rattancart;

namespace {

constexpr Duration Settle = std::chrono::milliseconds(250);

struct Fixture {
  Fixture() { Position_.detectStall(Time_.now()); }

  /// The position after a time in which the process ran.
  std::int64_t after(Duration Step) {
    for (Duration Passed{}; Passed < Step; Passed += std::chrono::milliseconds(1)) {
      Time_.advance(std::chrono::milliseconds(1));
      Position_.detectStall(Time_.now());
    }
    return Position_.position(Time_.now()).value();
  }
  void learn(std::int64_t Tail) { Position_.observeTail(LogOffset(Tail), Time_.now()); }

  ManualClock Time_;
  ClaimPositionTracker Position_{Settle};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(TailCountsOnceItHasSettled, Fixture) {
  learn(5);
  BOOST_TEST(after(Settle - std::chrono::milliseconds(1)) == 0);
  BOOST_TEST(after(std::chrono::milliseconds(1)) == 5);
}

// A release that is read in the same burst as a copy must not make the copy eligible.
BOOST_FIXTURE_TEST_CASE(RequestThatLayThroughAStallGetsThePositionFromBefore, Fixture) {
  learn(5);
  BOOST_TEST(after(Settle) == 5);
  Time_.advance(std::chrono::seconds(30));
  learn(90);
  BOOST_TEST(after({}) == 5);
  BOOST_TEST(after(Settle) == 90);
}

BOOST_FIXTURE_TEST_CASE(StallRestartsWhatHadNotSettled, Fixture) {
  learn(5);
  Time_.advance(std::chrono::seconds(30));
  BOOST_TEST(after({}) == 0);
  BOOST_TEST(after(Settle) == 5);
}

BOOST_FIXTURE_TEST_CASE(ControlThatIsBehindLowersNothing, Fixture) {
  learn(5);
  learn(3);
  BOOST_TEST(after(Settle) == 5);
  learn(4);
  BOOST_TEST(after(Settle) == 5);
}
