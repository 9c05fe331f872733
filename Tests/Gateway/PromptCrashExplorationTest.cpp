#include "Tests/Gateway/PromptCrashSchedule.h"
#include "Tests/Gateway/Schedules.h"

#include <cstdlib>

using namespace rattancart;
using namespace rattancart::test;

namespace {

constexpr unsigned DefaultSchedules = 60;

unsigned promptSchedules() {
  return std::getenv("RATTANCART_SCHEDULES") ? schedules() : DefaultSchedules;
}

/// What the schedules reached, added up.
struct Totals {
  std::size_t Sound_ = 0;
  std::size_t SoundServed_ = 0;
  std::size_t Crashing_ = 0;
  std::size_t CrashingRefused_ = 0;
  std::size_t Crashes_ = 0;
  std::size_t CrashesUntilKnownSeeds_ = 0;
  std::size_t LateCrashing_ = 0;
  std::size_t LateSends_ = 0;
  std::size_t Noticed_ = 0;

  void add(const Schedule &Done) {
    const auto &Crashes = Done.Site_.engines().crashingPartCrashes();
    Crashes_ += Crashes.size();
    Noticed_ += Done.Site_.noticedCrashes();
    const bool Known = Crashes.size() >= CrashesUntilKnown;
    CrashesUntilKnownSeeds_ += Known ? 1 : 0;
    LateSends_ += lateSends(Done.Site_.engines());
    for (const Schedule::Request &Each : Done.Sent_) {
      const CallerView &View = *Each.View_;
      (Each.Crashing_ ? Crashing_ : Sound_) += 1;
      SoundServed_ += !Each.Crashing_ && View.Status_ == 200 && View.Complete_ ? 1 : 0;
      CrashingRefused_ += Each.Crashing_ && View.Error_ == QuarantineError ? 1 : 0;
      LateCrashing_ +=
          Each.Crashing_ && Known && View.SentAt_ >= Crashes[CrashesUntilKnown - 1] + StableWindow
              ? 1
              : 0;
    }
  }
  std::string text() const {
    return fmt::format(
        "{} sound streams, {} served; {} with the crashing part, {} refused for it; "
        "{} crashes by it, {} noticed; {} schedules with {} crashes or more, {} such "
        "streams and {} sends after that",
        Sound_, SoundServed_, Crashing_, CrashingRefused_, Crashes_, Noticed_,
        CrashesUntilKnownSeeds_, CrashesUntilKnown, LateCrashing_, LateSends_);
  }
};

} // namespace

BOOST_AUTO_TEST_CASE(PartThatCrashesEnginesIsSentOnOrSoundRequestsAreRefused) {
  Totals Sum;
  const unsigned Schedules = promptSchedules();
  for (unsigned Seed = 1; Seed <= Schedules; ++Seed) {
    Schedule Case(Seed);
    runWithCrashingPart(Case, Seed);
    Sum.add(Case);
  }
  BOOST_TEST_MESSAGE(Sum.text());
  // Guards against schedules that hardly ever reach the cases under test.
  BOOST_TEST(Sum.Crashes_ > 2 * Schedules);
  BOOST_TEST(Sum.CrashesUntilKnownSeeds_ > Schedules / 10);
  BOOST_TEST(Sum.LateCrashing_ > Schedules);
  BOOST_TEST(Sum.CrashingRefused_ > Schedules);
  BOOST_TEST(Sum.SoundServed_ > Sum.Sound_ / 2);
}

BOOST_AUTO_TEST_CASE(OrdinaryCrashesQuarantineSoundParts) {
  Totals Sum;
  const unsigned Schedules = promptSchedules();
  for (unsigned Seed = 1; Seed <= Schedules; ++Seed) {
    Schedule Case(Seed);
    for (int Step = 0; Step < Steps; ++Step) {
      Case.send(/*Crashing=*/false, Case.random(6));
      switch (Case.random(12)) {
      case 0:
        // One to three engines at once.
        for (unsigned Count = 1 + Case.random(3); Count > 0; --Count)
          Case.loseEngine(EngineCondition::Stopped);
        break;
      case 1:
        Case.loseEngine(EngineCondition::Unresponsive);
        break;
      case 2: {
        // An engine that ends again and again.
        const EndpointId Id = Case.randomEngine();
        for (int Flap = 0; Flap < 3; ++Flap) {
          Case.Site_.engines().setCondition(Id, EngineCondition::Stopped);
          Case.send(/*Crashing=*/false, 2);
          Case.Site_.engines().setCondition(Id, EngineCondition::Running);
          Case.send(/*Crashing=*/false, 2);
        }
        break;
      }
      default:
        Case.pause(600);
      }
    }
    Case.finish();
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST(Case.MaxQuarantined_ == 0U);
      for (const Schedule::Request &Each : Case.Sent_)
        checkView(Case, *Each.View_);
    }
    Sum.add(Case);
  }
  BOOST_TEST_MESSAGE(Sum.text());
  // Guards against schedules in which engines hardly ever end as they begin to answer.
  BOOST_TEST(Sum.Noticed_ > Schedules);
  BOOST_TEST(Sum.SoundServed_ > Sum.Sound_ / 2);
}
