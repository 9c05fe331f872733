#include "Core/Calls/ClaimPositionTracker.h"

#include <boost/test/unit_test.hpp>

using namespace rattancart;

namespace {

constexpr Duration SettleTime = std::chrono::milliseconds(250);

struct Fixture {
  Fixture() { Position_.detectStall(Time_.now()); }

  /// Lets the process run for Step; returns the position after that.
  std::int64_t positionAfter(Duration Step) {
    for (Duration Passed{}; Passed < Step; Passed += std::chrono::milliseconds(1)) {
      Time_.advance(std::chrono::milliseconds(1));
      Position_.detectStall(Time_.now());
    }
    return Position_.position(Time_.now()).value();
  }
  void observe(std::int64_t Tail) { Position_.observeTail(LogOffset(Tail), Time_.now()); }

  ManualClock Time_;
  ClaimPositionTracker Position_{SettleTime};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(TailIsUsedOnlyAfterTheSettleTime, Fixture) {
  observe(5);
  BOOST_TEST(positionAfter(SettleTime - std::chrono::milliseconds(1)) == 0);
  BOOST_TEST(positionAfter(std::chrono::milliseconds(1)) == 5);
}

// After a stall, a copy of a call and the tail behind the release of its key are read together.
// With the new tail as its position, the copy would be eligible although it arrived before the
// release.
BOOST_FIXTURE_TEST_CASE(RequestReadAfterAStallGetsThePositionFromBeforeIt, Fixture) {
  observe(5);
  BOOST_TEST(positionAfter(SettleTime) == 5);
  Time_.advance(std::chrono::seconds(30));
  observe(90);
  BOOST_TEST(positionAfter({}) == 5);
  BOOST_TEST(positionAfter(SettleTime) == 90);
}

BOOST_FIXTURE_TEST_CASE(StallRestartsTheSettleTimeOfUnsettledTails, Fixture) {
  observe(5);
  Time_.advance(std::chrono::seconds(30));
  BOOST_TEST(positionAfter({}) == 0);
  BOOST_TEST(positionAfter(SettleTime) == 5);
}

BOOST_FIXTURE_TEST_CASE(LowerTailOfALaggingControlIsIgnored, Fixture) {
  observe(5);
  observe(3);
  BOOST_TEST(positionAfter(SettleTime) == 5);
  observe(4);
  BOOST_TEST(positionAfter(SettleTime) == 5);
}
