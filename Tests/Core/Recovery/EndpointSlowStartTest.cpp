#include "Core/Recovery/EndpointSlowStart.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

namespace rattancart {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double Capacity = 32;

/// One gateway's view of one endpoint.
struct Fixture {
  explicit Fixture(std::optional<std::uint32_t> Gateways = 1) { SlowStart_.setGateways(Gateways); }

  void pass(Duration Time) { Now_ += Time; }
  /// Observes the endpoint, which has run for Age.
  void observe(std::optional<Duration> Age, bool Silent = false, bool Declines = false,
               std::uint64_t Run = 1) {
    SlowStart_.observe(
        {Id_, ServiceId("s"), Incarnation(Run), Age, Reports_, Load_, Silent, Declines}, Now_);
  }
  void report(double Use, std::uint32_t Running, std::uint32_t Waiting = 0, double Slowdown = 1) {
    Load_ = EndpointLoad{Now_, Use, Running, Waiting, Slowdown};
    observe(seconds(60));
  }
  bool mayTake(double Draw = 0.5, std::uint32_t Own = 0) {
    return SlowStart_.mayTake(Id_, Capacity, Own, Draw, Now_);
  }
  /// The number of requests, of Asked ones at this moment, that it takes.
  int taken(int Asked, double Draw = 0.5) {
    int Taken = 0;
    for (int Each = 0; Each < Asked; ++Each)
      if (mayTake(Draw, static_cast<std::uint32_t>(Taken))) {
        SlowStart_.onSent(Id_, Now_);
        ++Taken;
      }
    return Taken;
  }
  void answer(EndpointAnswer Answer, Duration After = milliseconds(100)) {
    const TimePoint SentAt = Now_;
    Now_ += After;
    SlowStart_.onAnswer(Id_, Answer, SentAt, Now_);
  }
  double window() { return SlowStart_.window(Id_, Now_); }

  EndpointId Id_{"e1"};
  EndpointSlowStart SlowStart_{{true, 0.125}};
  bool Reports_ = false;
  std::optional<EndpointLoad> Load_;
  TimePoint Now_{std::chrono::hours(1)};
};

} // namespace

BOOST_AUTO_TEST_SUITE(EndpointSlowStartTest)

/// Guards against treating endpoints that others have warmed up as new, such as after a restart of
/// the gateway, and against the reverse.
BOOST_AUTO_TEST_CASE(OnlyNewRunsStartSlowly) {
  struct Case {
    const char *Name_;
    std::optional<Duration> Age_;
    bool Limited_;
  };
  for (const Case &Each : {Case{"new", milliseconds(300), true},
                           {"old", seconds(60), false},
                           {"clock ahead", milliseconds(-300), true},
                           {"age not known", std::nullopt, false}}) {
    BOOST_TEST_CONTEXT(Each.Name_) {
      Fixture F;
      F.observe(Each.Age_);
      BOOST_TEST((F.taken(40) < 40) == Each.Limited_);
      BOOST_TEST(F.SlowStart_.warmingCount() == (Each.Limited_ ? 1U : 0U));
    }
  }
}

BOOST_AUTO_TEST_CASE(ARestartOfAKnownEndpointStartsSlowly) {
  Fixture F;
  F.observe(seconds(60));
  BOOST_TEST(F.taken(40) == 40);
  F.observe(std::nullopt, false, false, 2);
  BOOST_TEST(F.taken(40) <= 4);
}

BOOST_AUTO_TEST_CASE(DisabledItLimitsNothing) {
  Fixture F;
  F.SlowStart_.setOptions({false, 0.125});
  F.observe(milliseconds(1));
  BOOST_TEST(F.taken(100) == 100);
  BOOST_TEST(!F.SlowStart_.anyWarming());
}

/// Guards against a new endpoint that is flooded by requests that all gateways send at once.
BOOST_AUTO_TEST_CASE(AllGatewaysTogetherKeepToTheWindow) {
  for (const std::uint32_t Gateways : {1U, 9U, 76U, 132U}) {
    BOOST_TEST_CONTEXT(Gateways << " gateways") {
      double Taken = 0;
      // Equidistant draws stand for the gateways.
      for (std::uint32_t Each = 0; Each < Gateways; ++Each) {
        Fixture F(Gateways);
        F.observe(milliseconds(1));
        Taken += F.taken(20, (Each + 0.5) / Gateways);
      }
      BOOST_TEST(Taken >= 1);
      BOOST_TEST(Taken <= Capacity * 0.125 * 1.5);
    }
  }
}

/// Without a count, a gateway has one request there at a time; a count that was known stays.
BOOST_AUTO_TEST_CASE(TheNumberOfGatewaysMayBeUnknown) {
  Fixture F(std::nullopt);
  F.observe(milliseconds(1));
  BOOST_TEST(F.mayTake(0.999, 0));
  BOOST_TEST(!F.mayTake(0, 1));
  F.SlowStart_.setGateways(8);
  F.SlowStart_.setGateways(std::nullopt);
  BOOST_TEST(F.taken(20, 0.9) == 0);
}

BOOST_AUTO_TEST_CASE(EachRoundOfGoodAnswersDoublesTheWindow) {
  Fixture F;
  F.observe(milliseconds(1));
  for (const double Expected : {0.25, 0.5, 1.0}) {
    const double Before = F.window();
    if (Before < Expected * 0.99) {
      const auto Round = static_cast<int>(Before * Capacity + 0.999);
      const TimePoint SentAt = F.Now_;
      F.pass(milliseconds(10));
      for (int Answer = 0; Answer < Round; ++Answer)
        F.SlowStart_.onAnswer(F.Id_, EndpointAnswer::Good, SentAt, F.Now_);
      BOOST_TEST(F.window() > 1.9 * Before);
      BOOST_TEST(F.window() < 2.1 * Before);
    }
  }
  const auto Changes = F.SlowStart_.takeChanges();
  BOOST_REQUIRE(Changes.size() == 2U);
  BOOST_TEST(Changes.front().Began_);
  BOOST_TEST(Changes.front().Cause_ == "started");
  BOOST_TEST(!Changes.back().Began_);
  BOOST_TEST(Changes.back().Cause_ == "warm");
}

/// A burst of bad answers to requests of one round counts once: the later ones don't show the
/// smaller window.
BOOST_AUTO_TEST_CASE(BadAnswersHalveTheWindowOnceARoundDownToAFloor) {
  for (const EndpointAnswer Bad :
       {EndpointAnswer::Late, EndpointAnswer::Rejected, EndpointAnswer::Failed}) {
    Fixture F;
    F.observe(milliseconds(1));
    const TimePoint SentAt = F.Now_;
    F.pass(milliseconds(10));
    for (int Answer = 0; Answer < 5; ++Answer)
      F.SlowStart_.onAnswer(F.Id_, Bad, SentAt, F.Now_);
    BOOST_TEST(F.window() > 0.06);
    BOOST_TEST(F.window() < 0.065);
    for (int Round = 0; Round < 20; ++Round)
      F.answer(Bad, milliseconds(10));
    BOOST_TEST(F.window() >= 0.125 / 4);
    BOOST_TEST(F.window() < 0.05);
  }
}

/// Guards against an endpoint that stays idle because this gateway sends nothing there.
BOOST_AUTO_TEST_CASE(TimeAloneOpensItSlowly) {
  Fixture F(76);
  F.observe(milliseconds(1));
  F.pass(seconds(2));
  BOOST_TEST(F.window() < 0.25);
  F.pass(seconds(8));
  BOOST_TEST(F.window() == 1);
  BOOST_TEST(!F.SlowStart_.anyWarming());
}

BOOST_AUTO_TEST_CASE(AnEngineStartsWithItsFirstWork) {
  Fixture F;
  F.Reports_ = true;
  F.observe(milliseconds(1));
  F.pass(seconds(30));
  F.report(0, 0);
  BOOST_TEST(F.SlowStart_.warmingCount() == 0U);
  BOOST_TEST(F.taken(40) <= 4);
  BOOST_TEST(F.SlowStart_.warmingCount() == 1U);
}

/// Guards against an endpoint that others have warmed up and that stays closed here.
BOOST_AUTO_TEST_CASE(ReportsOfWellCarriedLoadOpenIt) {
  Fixture F(76);
  F.Reports_ = true;
  F.observe(milliseconds(1));
  for (int Report = 0; Report < 5; ++Report) {
    F.report(0.6, 20);
    F.pass(milliseconds(450));
  }
  BOOST_TEST(F.window() == 1);
}

BOOST_AUTO_TEST_CASE(ReportsOfWaitingRequestsOrSlownessKeepItSmall) {
  struct Case {
    std::uint32_t Waiting_;
    double Slowdown_;
  };
  for (const Case &Each : {Case{20, 1}, Case{0, 3}}) {
    Fixture F(76);
    F.Reports_ = true;
    F.observe(milliseconds(1));
    for (int Report = 0; Report < 20; ++Report) {
      F.report(0.6, 20, Each.Waiting_, Each.Slowdown_);
      F.pass(milliseconds(450));
    }
    BOOST_TEST(F.window() <= 0.125);
  }
}

/// The window that is in use, as far as reports show, is not given out again.
BOOST_AUTO_TEST_CASE(TheUsedWindowIsNotFree) {
  Fixture F;
  F.Reports_ = true;
  F.observe(milliseconds(1));
  F.report(0.125, 4);
  BOOST_TEST(F.taken(10) == 0);
}

/// Guards against all gateways returning at once to an endpoint that answers again, while a single
/// late answer to a poll has no effect.
BOOST_AUTO_TEST_CASE(SilenceStartsItAgain) {
  for (const bool Long : {false, true}) {
    Fixture F;
    F.observe(seconds(60));
    F.observe(seconds(60), true);
    F.pass(Long ? milliseconds(1500) : milliseconds(500));
    F.observe(seconds(60));
    BOOST_TEST((F.taken(40) <= 4) == Long);
  }
}

/// What it carries from before the silence does not count against the new window: its streams go
/// on, and the window would otherwise stay closed until they end.
BOOST_AUTO_TEST_CASE(LoadFromBeforeARecoveryLeavesTheWindowFree) {
  Fixture F;
  F.Reports_ = true;
  F.report(0.7, 22);
  F.observe(seconds(60), true);
  F.pass(seconds(2));
  F.observe(seconds(60));
  BOOST_TEST(F.SlowStart_.warmingCount() == 1U);
  const int Taken = F.taken(40);
  BOOST_TEST(Taken >= 1);
  BOOST_TEST(Taken <= 4);
}

BOOST_AUTO_TEST_CASE(AnEndpointThatDeclinedIsTriedWithFew) {
  Fixture F;
  F.observe(seconds(60));
  F.observe(seconds(60), false, true);
  F.pass(milliseconds(400));
  F.observe(seconds(60));
  const int Taken = F.taken(40);
  BOOST_TEST(Taken >= 1);
  BOOST_TEST(Taken <= 2);
}

/// Guards against the gap between the end of a silence and the next observation, in which all
/// gateways would return at once.
BOOST_AUTO_TEST_CASE(TheSlowStartBeginsBeforeAnyWorkIsSent) {
  Fixture F;
  F.observe(seconds(60));
  F.observe(seconds(60), true);
  F.pass(milliseconds(1100));
  F.observe(seconds(60), true);
  BOOST_TEST(F.taken(40) <= 4);
  F.pass(seconds(20));
  F.observe(seconds(60), true);
  BOOST_TEST(F.window() == 0.125);
}

/// A spell of failures or of slow answers while the health probes are good. Rejections of a warm
/// endpoint only show that it is full.
BOOST_AUTO_TEST_CASE(ASeriesOfBadAnswersStartsItAgain) {
  struct Case {
    EndpointAnswer Answer_;
    bool Starts_;
    const char *Cause_;
  };
  for (const Case &Each : {Case{EndpointAnswer::Failed, true, "failures"},
                           {EndpointAnswer::Late, true, "late"},
                           {EndpointAnswer::Rejected, false, ""},
                           {EndpointAnswer::Good, false, ""}}) {
    Fixture F;
    F.observe(seconds(60));
    for (int Answer = 0; Answer < 3; ++Answer) {
      BOOST_TEST(F.SlowStart_.warmingCount() == 0U);
      F.answer(Each.Answer_);
    }
    BOOST_TEST((F.SlowStart_.warmingCount() == 1U) == Each.Starts_);
    const auto Changes = F.SlowStart_.takeChanges();
    BOOST_TEST(Changes.size() == (Each.Starts_ ? 1U : 0U));
    if (Each.Starts_ && !Changes.empty())
      BOOST_TEST(Changes.front().Cause_ == Each.Cause_);
  }
}

/// Guards against slow starts of all engines of a path because one of them is slow.
BOOST_AUTO_TEST_CASE(LateAnswersOfAnEndpointThatReportsAreNotCounted) {
  Fixture F;
  F.Reports_ = true;
  F.report(0.5, 16);
  for (int Answer = 0; Answer < 10; ++Answer)
    F.answer(EndpointAnswer::Late);
  BOOST_TEST(F.SlowStart_.warmingCount() == 0U);
}

/// Guards against all gateways returning at once to an engine whose slow spell ends.
BOOST_AUTO_TEST_CASE(ReportsOfASlowSpellStartItUntilTheyEnd) {
  Fixture F;
  F.Reports_ = true;
  F.report(0.5, 16);
  F.pass(milliseconds(200));
  F.report(0.5, 16, 0, 3);
  BOOST_TEST(F.SlowStart_.warmingCount() == 0U);
  for (int Report = 0; Report < 40; ++Report) {
    F.pass(milliseconds(200));
    F.report(0.5, 16, 0, 3);
  }
  BOOST_TEST(F.window() == 0.125);
  F.pass(milliseconds(200));
  F.report(0.1, 3);
  const int Taken = F.taken(40);
  BOOST_TEST(Taken >= 1);
  BOOST_TEST(Taken <= 4);
  F.pass(seconds(10));
  BOOST_TEST(F.window() == 1);
}

BOOST_AUTO_TEST_CASE(SingleBadAnswersAmongGoodOnesDoNotStartIt) {
  Fixture F;
  F.observe(seconds(60));
  for (int Answer = 0; Answer < 30; ++Answer)
    F.answer(Answer % 3 == 0 ? EndpointAnswer::Good : EndpointAnswer::Failed);
  BOOST_TEST(F.SlowStart_.warmingCount() == 0U);
}

/// An endpoint that keeps failing with good health probes is opened more slowly each time.
BOOST_AUTO_TEST_CASE(RelapsesSlowTheGrowthByTime) {
  Fixture F;
  F.observe(seconds(60));
  Duration Before{};
  for (int Spell = 0; Spell < 3; ++Spell) {
    for (int Answer = 0; Answer < 3; ++Answer)
      F.answer(EndpointAnswer::Failed);
    BOOST_REQUIRE(F.SlowStart_.warmingCount() == 1U);
    const TimePoint Began = F.Now_;
    for (int Passed = 0; Passed < 1000 && F.window() < 1; ++Passed)
      F.pass(milliseconds(100));
    BOOST_REQUIRE(F.window() == 1);
    BOOST_TEST((F.Now_ - Began > Before));
    Before = F.Now_ - Began;
  }
}

/// Guards against a slow start that stays in metrics and logs because no request asks about it.
BOOST_AUTO_TEST_CASE(ASlowStartEndsWithoutRequests) {
  Fixture F;
  F.observe(milliseconds(1));
  for (int Second = 1; Second <= 10; ++Second) {
    F.pass(seconds(1));
    F.observe(seconds(Second));
  }
  BOOST_TEST(F.SlowStart_.warmingCount() == 0U);
  const auto Changes = F.SlowStart_.takeChanges();
  BOOST_REQUIRE(Changes.size() == 2U);
  BOOST_TEST(Changes.back().Cause_ == "warm");
  BOOST_TEST((Changes.back().Took_ > seconds(5)));
}

/// Guards against a server that keeps restarting and is flooded by each of its runs.
BOOST_AUTO_TEST_CASE(EachRunOfAFlappingEndpointStartsSlowly) {
  Fixture F;
  F.observe(seconds(60));
  for (std::uint64_t Run = 2; Run < 8; ++Run) {
    F.observe(milliseconds(50), false, false, Run);
    const int Taken = F.taken(100);
    BOOST_TEST(Taken >= 1);
    BOOST_TEST(Taken <= 4);
    for (int Answer = 0; Answer < Taken; ++Answer)
      F.answer(EndpointAnswer::Good, milliseconds(5));
    F.pass(seconds(2));
  }
}

BOOST_AUTO_TEST_CASE(ARemovedEndpointIsForgotten) {
  Fixture F;
  F.observe(milliseconds(1));
  F.SlowStart_.remove(F.Id_, F.Now_);
  BOOST_TEST(!F.SlowStart_.anyWarming());
  const auto Changes = F.SlowStart_.takeChanges();
  BOOST_REQUIRE(Changes.size() == 2U);
  BOOST_TEST(Changes.back().Cause_ == "gone");
}

BOOST_AUTO_TEST_CASE(OnlyAWarmingEndpointCostsMore) {
  Fixture F;
  F.observe(milliseconds(1));
  BOOST_TEST(F.SlowStart_.costFactor(F.Id_) > 1);
  BOOST_TEST(F.SlowStart_.costFactor(EndpointId("other")) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace rattancart
