#pragma once

#include "SiteModel/SimulatedSite.h"
#include "Tests/Core/Layers/Deployments.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace rattancart::test {

using namespace std::chrono_literals;

inline constexpr int Steps = 80;
inline constexpr unsigned SoundParts = 4;
inline constexpr int QuarantineError = 508;
inline constexpr double DatagramLoss = 0.1;
inline constexpr Duration CheckInterval = 10ms;
/// Time from the head of a sound response to its first event. An engine that is lost within it
/// ended as it began to answer.
inline constexpr Duration FirstEventDelay = 30ms;

// Bounds of the platform.
inline constexpr std::size_t CrashesUntilKnown = 5;
inline constexpr Duration StableWindow = 3s;
inline constexpr std::size_t MaxFurtherSends = 3;

inline const std::vector<std::vector<SimulatedSite::DataCenterSetup>> Sites = {
    {{"east", {{"h100", 2}, {"l4", 10}}, 2}, {"west", {{"h100", 2}, {"l4", 10}}, 2}},
    {{"east", {{"h100", 4}, {"t4", 4}}}, {"west", {{"l4", 14}}}, {"south", {{"h100", 3}}}},
    {{"a", {{"huge", 2}}, 3}, {"b", {{"huge", 2}}, 2}, {"c", {{"l4", 14}}, 1}},
    {{"a", {{"huge", 2}}}, {"b", {{"huge", 1}}}, {"c", {{"l4", 12}}}, {"d", {{"h100", 4}}, 2}},
};

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

inline void checkView(const Schedule &Done, const CallerView &View) {
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
inline std::size_t lateSends(const SimulatedEngines &Engines) {
  const auto &Crashes = Engines.crashingPartCrashes();
  if (Crashes.size() < CrashesUntilKnown)
    return 0;
  const TimePoint KnownAt = Crashes[CrashesUntilKnown - 1] + StableWindow;
  const auto &Sends = Engines.crashingPartSends();
  return static_cast<std::size_t>(std::count_if(
      Sends.begin(), Sends.end(), [KnownAt](TimePoint Each) { return Each >= KnownAt; }));
}

/// Sends requests with and without the crashing part while engines are lost, and checks what
/// callers and engines saw.
inline void runWithCrashingPart(Schedule &Case, unsigned Seed) {
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
}

} // namespace rattancart::test
