#include "SiteModel/SimulatedSite.h"
#include "Tests/Core/Layers/Deployments.h"
#include "Tests/Gateway/Schedules.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <set>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

constexpr unsigned DefaultSchedules = 60;
constexpr int Steps = 80;
constexpr unsigned SoundParts = 4;
constexpr int QuarantineError = 508;
constexpr double DatagramLoss = 0.1;
constexpr Duration CheckInterval = 10ms;
/// Time from the head of a sound response to its first event. An engine that is lost within it
/// ended as it began to answer.
constexpr Duration FirstEventDelay = 30ms;

// Bounds of the platform.
constexpr std::size_t CrashesUntilKnown = 5;
constexpr Duration StableWindow = 3s;
constexpr std::size_t MaxFurtherSends = 3;

const std::vector<std::vector<SimulatedSite::DataCenterSetup>> Sites = {
    {{"east", {{"h100", 2}, {"l4", 10}}, 2}, {"west", {{"h100", 2}, {"l4", 10}}, 2}},
    {{"east", {{"h100", 4}, {"t4", 4}}}, {"west", {{"l4", 14}}}, {"south", {{"h100", 3}}}},
    {{"a", {{"huge", 2}}, 3}, {"b", {{"huge", 2}}, 2}, {"c", {{"l4", 14}}, 1}},
    {{"a", {{"huge", 2}}}, {"b", {{"huge", 1}}}, {"c", {{"l4", 12}}}, {"d", {{"h100", 4}}, 2}},
};

unsigned promptSchedules() {
  return std::getenv("RATTANCART_SCHEDULES") ? schedules() : DefaultSchedules;
}

/// A simulated site with a random schedule of requests, engine losses and pauses.
struct Schedule {
  struct Request {
    std::shared_ptr<CallerView> View_;
    bool Crashing_ = false;
  };

  SimulatedSite Site_;
  std::vector<Request> Sent_;
  std::size_t MaxQuarantined_ = 0;

  explicit Schedule(unsigned Seed) : Site_(Seed, makeModel(80), Sites[Seed % Sites.size()]) {
    Site_.setDatagramLoss(DatagramLoss);
    Site_.engines().setFirstEventDelay(FirstEventDelay);
    Site_.runUntilLoaded();
    Site_.engines().setCrashingPart("poison", std::chrono::milliseconds(300 + random(3000)));
    Site_.queue().every(CheckInterval, [this] {
      MaxQuarantined_ = std::max(MaxQuarantined_, Site_.quarantinedParts());
    });
  }

  unsigned random(unsigned Limit) { return static_cast<unsigned>(Site_.random()() % Limit); }

  void send(bool Crashing) {
    std::string Parts = fmt::format("shared-{}", random(SoundParts));
    if (Crashing)
      Parts += ",poison";
    const std::size_t Gateway = random(static_cast<unsigned>(Site_.gatewayCount()));
    Sent_.push_back(
        {Site_.sendRequest(Gateway, 40 + random(3000), 1 + random(60), Parts), Crashing});
  }
  void send(bool Crashing, unsigned Count) {
    for (; Count > 0; --Count) {
      send(Crashing);
      Site_.queue().run(std::chrono::milliseconds(random(40)));
    }
  }
  EndpointId randomEngine() {
    const auto Ids = Site_.engineIds();
    return Ids[random(static_cast<unsigned>(Ids.size()))];
  }
  /// An engine that has just begun to answer a sound request, or any engine if there is none.
  EndpointId answeringEngine() {
    for (auto Each = Sent_.rbegin(); Each != Sent_.rend(); ++Each) {
      const CallerView &View = *Each->View_;
      const auto Runs = Site_.engines().runs().find(View.Id_);
      if (!Each->Crashing_ && !View.ended() && View.EventIds_.empty() &&
          Runs != Site_.engines().runs().end())
        return Runs->second.back();
    }
    return randomEngine();
  }
  /// A crash of an engine that no request caused. It runs again later.
  void loseEngine(EngineCondition Condition) {
    const EndpointId Id = random(2) == 0 ? answeringEngine() : randomEngine();
    SimulatedEngines &Engines = Site_.engines();
    if (Engines.condition(Id) != EngineCondition::Running)
      return;
    Engines.setCondition(Id, Condition);
    Site_.queue().after(std::chrono::milliseconds(200 + random(4000)), [&Engines, Id, Condition] {
      if (Engines.condition(Id) == Condition)
        Engines.setCondition(Id, EngineCondition::Running);
    });
  }
  void pause(unsigned MaxMs) { Site_.queue().run(std::chrono::milliseconds(random(MaxMs))); }
  void finish() {
    for (const EndpointId &Each : Site_.engineIds())
      Site_.engines().setCondition(Each, EngineCondition::Running);
    Site_.queue().run(40s);
  }
};

void checkView(const Schedule &Done, const CallerView &View) {
  BOOST_TEST(View.ended());
  // Events come once and in order, from the first one.
  for (std::size_t I = 0; I < View.EventIds_.size(); ++I)
    BOOST_TEST(View.EventIds_[I] == I + 1);
  if (View.Status_ == 200 && View.Complete_)
    BOOST_TEST(View.EventIds_.size() == View.ExpectedEvents_);
  // A response of 503 states that the request did not run.
  if (View.Status_ == 503)
    BOOST_TEST(!Done.Site_.engines().runs().contains(View.Id_));
}

/// Sends with the crashing part after the time in which the system must have found it.
std::size_t lateSends(const SimulatedEngines &Engines) {
  const auto &Crashes = Engines.crashingPartCrashes();
  if (Crashes.size() < CrashesUntilKnown)
    return 0;
  const TimePoint KnownAt = Crashes[CrashesUntilKnown - 1] + StableWindow;
  const auto &Sends = Engines.crashingPartSends();
  return static_cast<std::size_t>(std::count_if(
      Sends.begin(), Sends.end(), [KnownAt](TimePoint Each) { return Each >= KnownAt; }));
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
    for (int Step = 0; Step < Steps; ++Step) {
      switch (Case.random(12)) {
      case 0:
        Case.loseEngine(EngineCondition::Stopped);
        break;
      case 1:
        Case.loseEngine(EngineCondition::Unresponsive);
        break;
      case 2:
        Case.pause(3000);
        break;
      case 3:
      case 4:
        Case.send(/*Crashing=*/true, 1);
        break;
      case 5:
        Case.send(/*Crashing=*/true, Case.random(8));
        break;
      default:
        Case.send(/*Crashing=*/false, Case.random(5));
      }
      Case.pause(300);
    }
    Case.finish();
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST(lateSends(Case.Site_.engines()) <= MaxFurtherSends);
      for (const Schedule::Request &Each : Case.Sent_)
        BOOST_TEST_CONTEXT("request " << Each.View_->Id_) {
          checkView(Case, *Each.View_);
          if (!Each.Crashing_)
            BOOST_TEST(Each.View_->Error_ != QuarantineError);
        }
      BOOST_TEST(Case.Site_.inFlight() == 0U);
    }
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
