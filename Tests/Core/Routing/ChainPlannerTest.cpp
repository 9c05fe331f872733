#include "Core/Routing/ChainPlanner.h"
#include "Core/Common/ErrorCode.h"
#include "Core/Routing/BaselinePolicies.h"
#include "Core/Routing/ShortestPathPolicy.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

constexpr std::uint32_t Layers = 48;

ModelSpec sampleSpec() { return {ModelId("brief"), ModelVersion("3"), Layers, 4096, 64}; }

Endpoint makeEngine(const std::string &Id, LayerRange Range, int StepMillis = 10) {
  Endpoint Engine;
  Engine.Id_ = EndpointId(Id);
  Engine.Kind_ = EndpointKind::Engine;
  Engine.Address_ = NetAddress("127.0.0.1:1");
  Engine.Model_ = ModelId("brief");
  Engine.Version_ = ModelVersion("3");
  Engine.Layers_ = Range;
  Engine.Load_.StepTime_ = std::chrono::milliseconds(StepMillis);
  Engine.Load_.PrefillTime_ = std::chrono::milliseconds(1);
  Engine.Load_.BatchSlots_ = 4;
  Engine.LoadSequence_ = 1;
  return Engine;
}

std::unique_ptr<ChainPolicy> makePolicy(int Kind, const std::string &Router = "router-1") {
  if (Kind == 0)
    return std::make_unique<ShortestPathPolicy>(Router, ShortestPathOptions{});
  if (Kind == 1)
    return std::make_unique<RandomPolicy>();
  if (Kind == 2)
    return std::make_unique<RoundRobinPolicy>();
  return std::make_unique<LeastLoadPolicy>();
}

/// A planner with its own endpoint table.
struct PlannerFixture {
  explicit PlannerFixture(int Policy = 0) : Planner_(Table_, Load_, makePolicy(Policy), Random_) {}

  void add(const Endpoint &Engine) { Table_.apply(Engine, TimePoint{}); }
  Result<Chain> plan(std::vector<EndpointId> Excluded = {}) {
    const ModelSpec Spec = sampleSpec();
    return Planner_.plan({Spec, {100, 64}, "", Excluded});
  }

  EndpointTable Table_;
  EngineLoadEstimator Load_;
  std::mt19937_64 Random_{7};
  ChainPlanner Planner_;
};

/// Whether the chain covers all layers once with engines of the table that may be used.
bool isValid(const PlannerFixture &Fixture, const Chain &Planned,
             const std::vector<EndpointId> &Excluded) {
  std::uint32_t Boundary = 0;
  for (const ChainStage &Stage : Planned.Stages_) {
    const Endpoint *Engine = Fixture.Table_.find(Stage.Endpoint_);
    const bool Allowed =
        std::find(Excluded.begin(), Excluded.end(), Stage.Endpoint_) == Excluded.end();
    if (!Allowed || !Engine || Engine->State_ != EndpointState::Live ||
        Engine->Version_ != ModelVersion("3") || !(Engine->Layers_ == Stage.Layers_) ||
        Stage.Layers_.Begin_ != Boundary)
      return false;
    Boundary = Stage.Layers_.End_;
  }
  return Boundary == Layers;
}

/// Whether any chain from this boundary exists, found without the planner's code.
bool chainExists(const std::vector<const Endpoint *> &Engines, std::uint32_t From) {
  return From == Layers || std::any_of(Engines.begin(), Engines.end(), [&](const Endpoint *E) {
           return E->Layers_.Begin_ == From && E->Layers_.End_ > From &&
                  E->Layers_.End_ <= Layers && chainExists(Engines, E->Layers_.End_);
         });
}

} // namespace

BOOST_DATA_TEST_CASE(ChainsOfRandomEnginesAreCompleteOrRefused, data::xrange(4), Policy) {
  std::mt19937_64 Random(11 + Policy);
  const std::uint32_t Boundaries[] = {0, 8, 16, 24, 32, 48, 50};
  int Planned = 0;
  for (int Round = 0; Round < 500; ++Round) {
    PlannerFixture Fixture(Policy);
    std::vector<EndpointId> Excluded;
    for (int Index = 0; Index < 14; ++Index) {
      Endpoint Engine =
          makeEngine("e" + std::to_string(Index),
                     {Boundaries[Random() % 7], Boundaries[Random() % 7]}, 1 + Random() % 40);
      Engine.State_ = Random() % 8 == 0 ? EndpointState::Leaving : EndpointState::Live;
      Engine.Version_ = ModelVersion(Random() % 8 == 0 ? "2" : "3");
      Fixture.add(Engine);
      if (Random() % 8 == 0)
        Excluded.push_back(Engine.Id_);
    }
    std::vector<const Endpoint *> Usable =
        Fixture.Table_.liveEngines(ModelId("brief"), ModelVersion("3"));
    std::erase_if(Usable, [&](const Endpoint *E) {
      return std::find(Excluded.begin(), Excluded.end(), E->Id_) != Excluded.end();
    });
    const Result<Chain> Found = Fixture.plan(Excluded);
    BOOST_TEST_REQUIRE(static_cast<bool>(Found) == chainExists(Usable, 0));
    if (!Found) {
      BOOST_TEST(Found.error().Code_ == ErrorCode::NoChain);
      continue;
    }
    ++Planned;
    BOOST_TEST_REQUIRE(isValid(Fixture, *Found, Excluded));
  }
  BOOST_TEST(Planned > 50);
}

BOOST_AUTO_TEST_CASE(FastChainIsChosenUntilOwnSequencesFillIt) {
  PlannerFixture Fixture;
  Fixture.add(makeEngine("slow", {0, 48}, 20));
  Fixture.add(makeEngine("fast", {0, 48}, 10));
  BOOST_TEST(Fixture.plan()->Stages_[0].Endpoint_.str() == "fast");
  for (int Count = 0; Count < 12; ++Count)
    Fixture.Load_.onSequenceStarted(*Fixture.Table_.find(EndpointId("fast")));
  BOOST_TEST(Fixture.plan()->Stages_[0].Endpoint_.str() == "slow");
  for (int Count = 0; Count < 12; ++Count)
    Fixture.Load_.onSequenceEnded(EndpointId("fast"));
  BOOST_TEST(Fixture.plan()->Stages_[0].Endpoint_.str() == "fast");
}

BOOST_AUTO_TEST_CASE(SlowLinkOutweighsAFastEngine) {
  PlannerFixture Fixture;
  Endpoint Far = makeEngine("far", {0, 24}, 9);
  Far.Load_.LinkDelay_ = std::chrono::milliseconds(25);
  Fixture.add(Far);
  Fixture.add(makeEngine("near", {0, 24}, 10));
  Fixture.add(makeEngine("last", {24, 48}, 10));
  BOOST_TEST(Fixture.plan()->Stages_[0].Endpoint_.str() == "near");
}

BOOST_AUTO_TEST_CASE(LoadEstimateCorrectsOnlyTheLastReport) {
  EngineLoadEstimator Load;
  Endpoint Engine = makeEngine("e", {0, 48});
  Engine.Load_.Active_ = 3;
  Load.onSequenceStarted(Engine);
  Load.onSequenceStarted(Engine);
  BOOST_TEST(Load.estimate(Engine) == 5);
  // The next report already counts the two sequences.
  Engine.LoadSequence_ = 2;
  Engine.Load_.Active_ = 6;
  BOOST_TEST(Load.estimate(Engine) == 6);
  Load.onSequenceEnded(Engine.Id_);
  BOOST_TEST(Load.estimate(Engine) == 5);
  Engine.LoadSequence_ = 3;
  Engine.Load_.Active_ = 0;
  BOOST_TEST(Load.estimate(Engine) == 1);
}

/// The largest fraction of requests that one engine gets from many routers that all see the same
/// load report, in which one engine is idle and the others have one request each.
double largestEngineShare(int Policy) {
  std::map<std::string, int> Chosen;
  constexpr int Routers = 100;
  for (int Router = 0; Router < Routers; ++Router) {
    PlannerFixture Fixture;
    ChainPlanner Planner(Fixture.Table_, Fixture.Load_,
                         makePolicy(Policy, "router-" + std::to_string(Router)), Fixture.Random_);
    Fixture.Random_.seed(Router);
    for (int Index = 0; Index < 40; ++Index) {
      Endpoint Engine = makeEngine("e" + std::to_string(Index), {0, 48});
      Engine.Load_.Active_ = Index == 17 ? 0 : 1;
      Fixture.add(Engine);
    }
    const ModelSpec Spec = sampleSpec();
    ++Chosen[Planner.plan({Spec, {100, 64}, "", {}})->Stages_[0].Endpoint_.str()];
  }
  int Largest = 0;
  for (const auto &[Engine, Count] : Chosen)
    Largest = std::max(Largest, Count);
  return static_cast<double>(Largest) / Routers;
}

BOOST_AUTO_TEST_CASE(RoutersWithTheSameReportDontCrowdOneEngine) {
  BOOST_TEST(largestEngineShare(0) <= 0.2);
  // The check does detect crowding: the policy of the least reported load sends all requests to one
  // engine.
  BOOST_TEST(largestEngineShare(3) == 1.0);
}
