#include "SiteModel/SimulatedSite.h"
#include "Tests/Core/Layers/Deployments.h"
#include "Tests/Gateway/Schedules.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

constexpr int Steps = 60;
/// A request that reaches its time limit may end this much earlier.
constexpr Duration LimitTolerance = 50ms;

const std::vector<std::vector<SimulatedSite::DataCenterSetup>> Sites = {
    {{"east", {{"h100", 1}, {"l4", 8}}}, {"west", {{"h100", 1}, {"l4", 8}}}},
    {{"east", {{"huge", 2}}}},
    {{"east", {{"h100", 2}, {"t4", 4}}}, {"west", {{"l4", 11}}}, {"south", {{"t4", 6}}}},
    {{"east", {{"a100s", 6}, {"l4", 4}}}, {"west", {{"huge", 1}}}},
};

/// A request, and the route in force when it was sent.
struct SentRequest {
  std::shared_ptr<CallerView> View_;
  /// Null if no route matched.
  std::optional<ServingRoute> Route_;
  bool HasService_ = true;
  /// An engine stopped while the request was under way.
  bool EngineStopped_ = false;
};

/// A simulated site with a random schedule of new configurations, of engines that leave as planned,
/// with and without notice, of engines that pause, and of answers that come late.
struct PlannedSchedule {
  SimulatedSite Site_;
  std::vector<SentRequest> Requests_;
  std::set<EndpointId> StoppedEngines_;
  std::size_t Configs_ = 0;
  std::size_t Departures_ = 0;

  explicit PlannedSchedule(unsigned Seed)
      : Site_(Seed, makeModel(80), Sites[Seed % Sites.size()]),
        DataCenterCount_(Sites[Seed % Sites.size()].size()), FirstConfig_(Site_.config()) {
    Site_.runUntilLoaded();
  }

  unsigned random(unsigned Below) { return static_cast<unsigned>(Site_.random()() % Below); }

  void step() {
    const auto Ids = Site_.engineIds();
    const EndpointId &Engine = Ids[random(static_cast<unsigned>(Ids.size()))];
    switch (random(12)) {
    case 0:
    case 1:
      newConfig();
      break;
    case 2:
      leave(Engine);
      break;
    case 3:
    case 4:
      Site_.simulateFalseSilence(Engine);
      break;
    case 5:
      pause(Engine);
      break;
    case 6:
      if (random(3) == 0)
        Site_.exhaustRetryBudget();
      break;
    default:
      send();
    }
    Site_.queue().run(std::chrono::milliseconds(random(400)));
  }

  /// Changes the route of all requests or its service, removes it, asks for a key, or sends it to a
  /// service without engines.
  void newConfig() {
    ServingConfig Next = FirstConfig_;
    Next.Revision_ = ConfigRevision(Site_.config().Revision_.value() + 1 + random(3));
    ServingRoute &Route = Next.Routes_.front();
    Route.Timeout_ = random(3) == 0 ? 4s : 20s;
    Route.MaxAttempts_ = 1 + random(3);
    Route.Resumable_ = random(4) != 0;
    Route.Priority_ = random(10);
    switch (random(16)) {
    case 0:
      Next.Routes_.clear();
      break;
    case 1:
      Next.Services_.front().Id_ = ServiceId("other");
      Route.Services_ = {{ServiceId("other"), 1}};
      break;
    case 2:
      Next.Services_.clear();
      break;
    case 3:
      Next.Services_.front().Model_->MeanAnswerTokens_ *= 4;
      break;
    case 4:
      Next.Customers_ = {ServingCustomer()};
      Route.Public_ = false;
      break;
    default:
      break;
    }
    Site_.replaceConfig(std::move(Next));
    ++Configs_;
  }

  /// An engine leaves, with or without notice, serves on for a while, stops, and comes back as a
  /// new run.
  void leave(const EndpointId &Engine) {
    if (!Busy_.insert(Engine).second)
      return;
    ++Departures_;
    if (random(2) == 0)
      Site_.announceLeaving(Engine);
    else
      Site_.setListed(Engine, false);
    const Duration ServesOn = std::chrono::milliseconds(2000 + random(8000));
    Site_.queue().after(ServesOn, [this, Engine] {
      for (SentRequest &Each : Requests_)
        Each.EngineStopped_ = Each.EngineStopped_ || !Each.View_->ended();
      StoppedEngines_.insert(Engine);
      Site_.setListed(Engine, false);
      Site_.engines().setCondition(Engine, EngineCondition::Stopped);
    });
    Site_.queue().after(ServesOn + 1s, [this, Engine] {
      Site_.engines().setLeaving(Engine, false);
      Site_.engines().setCondition(Engine, EngineCondition::Running);
      Site_.setListed(Engine, true);
      Busy_.erase(Engine);
    });
  }

  /// An engine sends nothing for a while, and then goes on.
  void pause(const EndpointId &Engine) {
    if (!Busy_.insert(Engine).second)
      return;
    Site_.engines().setCondition(Engine, EngineCondition::Unresponsive);
    Site_.queue().after(std::chrono::milliseconds(50 + random(1150)), [this, Engine] {
      Site_.engines().setCondition(Engine, EngineCondition::Running);
      Busy_.erase(Engine);
    });
  }

  void send() {
    for (unsigned Count = random(8); Count > 0; --Count) {
      SentRequest Sent;
      const ServingConfig &Config = Site_.config();
      if (!Config.Routes_.empty())
        Sent.Route_ = Config.Routes_.front();
      Sent.HasService_ = !Config.Services_.empty() &&
                         Config.Services_.front().Id_ == FirstConfig_.Services_.front().Id_;
      Sent.View_ = Site_.sendRequest(random(static_cast<unsigned>(DataCenterCount_)),
                                     40 + random(3000), 1 + random(120));
      Requests_.push_back(std::move(Sent));
    }
  }

  std::size_t DataCenterCount_;
  ServingConfig FirstConfig_;
  /// Engines that leave or pause.
  std::set<EndpointId> Busy_;
};

std::vector<EndpointId> enginesThatRan(const PlannedSchedule &Done, const CallerView &View) {
  const auto Runs = Done.Site_.engines().runs().find(View.Id_);
  return Runs == Done.Site_.engines().runs().end() ? std::vector<EndpointId>() : Runs->second;
}

/// The request ended as its own configuration and its engines allow.
void checkRequest(const PlannedSchedule &Done, const SentRequest &Sent) {
  const CallerView &View = *Sent.View_;
  const std::vector<EndpointId> Ran = enginesThatRan(Done, View);
  BOOST_TEST(View.ended());
  if (!Sent.Route_ || !Sent.Route_->Public_) {
    BOOST_TEST(View.Status_ == (Sent.Route_ ? 401U : 404U));
    BOOST_TEST(Ran.empty());
    return;
  }
  if (!Sent.HasService_) {
    BOOST_TEST(View.Status_ == 503U);
    BOOST_TEST(Ran.empty());
    return;
  }
  for (std::size_t I = 0; I < View.EventIds_.size(); ++I)
    BOOST_TEST(View.EventIds_[I] == I + 1);
  if (View.Status_ == 503)
    BOOST_TEST(Ran.empty());
  if (!Sent.Route_->Resumable_)
    BOOST_TEST(Ran.size() <= 1U);
  std::set<EndpointId> Engines(Ran.begin(), Ran.end());
  std::erase_if(Engines,
                [&](const EndpointId &Each) { return Done.StoppedEngines_.contains(Each); });
  BOOST_TEST(Engines.size() <= Sent.Route_->MaxAttempts_);
  const bool LimitReached = View.EndedAt_ - View.SentAt_ >= Sent.Route_->Timeout_ - LimitTolerance;
  if (View.Status_ == 200 && View.Complete_)
    BOOST_TEST(View.EventIds_.size() == View.ExpectedEvents_);
  else if (!Sent.EngineStopped_ && !LimitReached)
    BOOST_TEST(View.Status_ == 503U);
}

} // namespace

BOOST_AUTO_TEST_CASE(StreamsAreCutAroundPlannedWork) {
  std::size_t All = 0;
  std::size_t Served = 0;
  std::size_t Undisturbed = 0;
  std::size_t Configs = 0;
  std::size_t Departures = 0;
  std::uint64_t Resumes = 0;
  std::map<std::uint32_t, std::size_t> Statuses;
  std::size_t Aborted = 0;
  for (unsigned Seed = 1; Seed <= schedules(); ++Seed) {
    PlannedSchedule Case(Seed);
    for (int Step = 0; Step < Steps; ++Step)
      Case.step();
    Case.Site_.queue().run(40s);
    BOOST_TEST_CONTEXT("seed " << Seed) {
      for (const SentRequest &Each : Case.Requests_)
        BOOST_TEST_CONTEXT(Each.View_->Id_) { checkRequest(Case, Each); }
      BOOST_TEST(Case.Site_.inFlight() == 0U);
      BOOST_TEST(Case.Site_.engines().running() == 0U);
    }
    All += Case.Requests_.size();
    for (const SentRequest &Each : Case.Requests_) {
      const bool Complete = Each.View_->Status_ == 200 && Each.View_->Complete_;
      Served += Complete ? 1 : 0;
      Undisturbed += Complete && !Each.EngineStopped_ ? 1 : 0;
      Aborted += Each.View_->Aborted_ ? 1 : 0;
      ++Statuses[Each.View_->Status_];
    }
    Configs += Case.Configs_;
    Departures += Case.Departures_;
    Resumes += Case.Site_.resumedStreams();
  }
  BOOST_TEST_MESSAGE(All << " requests, " << Served << " served, " << Undisturbed
                         << " while no engine stopped, " << Aborted << " cut, " << Resumes
                         << " resumed, " << Configs << " configurations, " << Departures
                         << " departures");
  for (const auto &[Status, Count] : Statuses)
    BOOST_TEST_MESSAGE("status " << Status << ": " << Count);
  // Guards against schedules that hardly ever reach the cases under test.
  BOOST_TEST(Resumes > schedules());
  BOOST_TEST(Configs > schedules());
  BOOST_TEST(Departures > schedules());
  BOOST_TEST(Undisturbed > All / 10);
}
