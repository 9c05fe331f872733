#include "Core/Layers/LayoutMetrics.h"
#include "Tests/Core/Layers/Deployments.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <stdexcept>
#include <string>

using namespace rattancart;
using namespace rattancart::test;

namespace {

/// A layout of a model with 4 layers of 10 MB each, on engines with 100 MB. A token takes 1 MB in
/// each layer.
struct LayoutCase {
  const char *Name_;
  std::vector<LayerRange> Held_;
  double Tokens_;
  double Bound_;
  std::size_t Spare_;
};

std::ostream &operator<<(std::ostream &Out, const LayoutCase &Case) { return Out << Case.Name_; }

const LayoutCase LayoutCases[] = {
    // 60 MB are free beside 4 layers, and a token takes 4 MB.
    {"one engine holds all", {{0, 4}}, 15, 15, 0},
    // Each engine has 80 MB free beside 2 layers, and a token takes 2 MB of them.
    {"two halves", {{0, 2}, {2, 4}}, 40, 40, 0},
    // Two engines share the first half; the second half has memory for 40 tokens.
    {"second half is short", {{0, 2}, {0, 2}, {2, 4}}, 40, 65, 2},
    // The middle engine's 80 MB serve one layer of each half: 2 N <= 80 + 80 / 2.
    {"overlap helps both sides", {{0, 2}, {1, 3}, {2, 4}}, 60, 65, 1},
    {"a layer that nobody holds", {{0, 2}, {3, 4}}, 0, 40, 0},
    {"every layer twice", {{0, 2}, {0, 2}, {2, 4}, {2, 4}}, 80, 90, 4},
};

const char *baselineName(Baseline Kind) {
  switch (Kind) {
  case Baseline::OnePath:
    return "one path";
  case Baseline::EqualSplit:
    return "equal split";
  case Baseline::GreedyBySpeed:
    break;
  }
  return "greedy by speed";
}

} // namespace

BOOST_DATA_TEST_CASE(TokensInFlightAreLimitedByTheBottleneckLayers, LayoutCases, Case) {
  LayeredModel Model;
  Model.Layers_ = 4;
  Model.LayerMb_ = 10;
  Model.TokenBytes_ = 4e6;
  Model.Kinds_ = {{"k", 100, 1, 1}};
  std::vector<PlannedEngine> Engines;
  for (std::size_t I = 0; I < Case.Held_.size(); ++I)
    Engines.push_back({EndpointId(std::to_string(I)), Model.kind("k"), Case.Held_[I]});
  BOOST_TEST(std::abs(tokensInFlight(Model, Engines) - Case.Tokens_) <= 1);
  BOOST_TEST(std::abs(tokensInFlightBound(Model, Engines) - Case.Bound_) <= 1);
  BOOST_TEST(countRedundantEngines(Model, Engines) == Case.Spare_);
}

BOOST_DATA_TEST_CASE(NoLayoutExceedsTheBoundAndPlansHoldAsManyTokensAsOnePath, deployments(),
                     Case) {
  const LayeredModel Model = makeModel(Case.Layers_);
  const auto Empty = makeEngines(Model, Case);
  const double Bound = tokensInFlightBound(Model, Empty);
  const auto Plan = settledLayout(Model, Empty);
  BOOST_TEST(tokensInFlight(Model, Plan) <= Bound);
  for (const Baseline Kind : {Baseline::OnePath, Baseline::EqualSplit, Baseline::GreedyBySpeed}) {
    const auto Layout = makeBaselineLayout(Kind, Model, Empty);
    BOOST_TEST_CONTEXT(baselineName(Kind)) {
      BOOST_TEST(tokensInFlight(Model, Layout) <= Bound);
      for (const PlannedEngine &Engine : Layout)
        BOOST_TEST((Engine.Layers_.End_ - Engine.Layers_.Begin_) * Model.LayerMb_ <=
                   Engine.Kind_->MemoryMb_);
    }
  }
  if (!Case.FitsModel_)
    return;
  const auto OnePathLayout = makeBaselineLayout(Baseline::OnePath, Model, Empty);
  BOOST_TEST(tokensInFlight(Model, Plan) > 0);
  BOOST_TEST(tokensInFlight(Model, Plan) >= tokensInFlight(Model, OnePathLayout) * 0.95);
}

// Under the highest load all layers hold the same requests, so the layer with the least memory for
// them limits the data centre, however much memory there is elsewhere. On the large sites a data
// centre holds 200 requests of 1,000 tokens at once on a calm day, and half as many again while one
// of three data centres is cut off. No engine may be the only one with a layer.
BOOST_DATA_TEST_CASE(LargeDataCentersHoldTheRequestsOfALostOneToo, largeDeployments(), Case) {
  constexpr double CalmTokens = 200'000;
  const LayeredModel Model = makeModel(Case.Layers_);
  const auto Plan = settledLayout(Model, makeEngines(Model, Case));
  BOOST_TEST_MESSAGE(Case.Name_ << ": " << tokensInFlight(Model, Plan) << " tokens");
  BOOST_TEST(tokensInFlight(Model, Plan) >= 1.5 * CalmTokens);
  BOOST_TEST(countRedundantEngines(Model, Plan) == Plan.size());
}

namespace {

/// What a settled layout must keep: tokens in flight, and after the joint loss of any three engines
/// the layers without an engine, on average and in the worst case, and the mean of the least token
/// capacity of a layer. Slightly worse than measured.
struct JointLossCase {
  const char *Name_;
  double Tokens_;
  double MeanUncovered_;
  std::uint32_t MostUncovered_;
  double MeanLeastTokens_;
};

std::ostream &operator<<(std::ostream &Out, const JointLossCase &Case) { return Out << Case.Name_; }

const JointLossCase JointLossCases[] = {
    {"lockside a", 585'000, 0.018, 10, 284'000},
    {"lockside b", 702'000, 0.001, 0, 425'000},
    {"lockside c", 696'000, 0.001, 0, 425'000},
    {"rhannau a", 517'000, 0.013, 5, 279'000},
    {"rhannau b", 458'000, 0.047, 5, 229'000},
    {"rhannau c", 436'000, 0.169, 18, 226'000},
    {"karratha grown", 407'000, 0.086, 10, 211'000},
    {"port-hedland grown", 456'000, 0.080, 11, 245'000},
    {"newman grown", 356'000, 0.215, 10, 178'000},
    {"suva-a grown", 436'000, 0.169, 18, 226'000},
    {"nadi-b grown", 519'000, 0.013, 6, 280'000},
    {"lautoka-c grown", 424'000, 0.062, 10, 239'000},
    {"port-hedland large", 645'000, 0.002, 7, 372'000},
    {"onslow large", 645'000, 0.002, 7, 372'000},
    {"newman large", 541'000, 0.003, 5, 314'000},
};

const Deployment &findDeployment(const std::string &Name) {
  for (const auto *List : {&contendedDeployments(), &largeDeployments()})
    for (const Deployment &Each : *List)
      if (Name == Each.Name_)
        return Each;
  throw std::out_of_range(Name);
}

} // namespace

// Guards against copies that lie together, so that the joint loss of three engines leaves layers
// without an engine or with little token capacity.
BOOST_DATA_TEST_CASE(LayoutsKeepLayersAfterTheJointLossOfThreeEngines, JointLossCases, Case) {
  const LayeredModel Model = makeModel(80);
  const auto Plan = settledLayout(Model, makeEngines(Model, findDeployment(Case.Name_)));
  const double Tokens = tokensInFlight(Model, Plan);
  const LossEffect Effect = lossOfThreeEngines(Model, Plan);
  BOOST_TEST_MESSAGE(Case.Name_ << ": " << Tokens << " tokens; after the loss of three engines "
                                << Effect.MeanUncovered_ << " layers uncovered, at most "
                                << Effect.MostUncovered_ << ", least token capacity "
                                << Effect.MeanLeastTokens_ << ", at least " << Effect.LeastTokens_);
  BOOST_TEST(Tokens >= Case.Tokens_);
  BOOST_TEST(Effect.MeanUncovered_ <= Case.MeanUncovered_);
  BOOST_TEST(Effect.MostUncovered_ <= Case.MostUncovered_);
  BOOST_TEST(Effect.MeanLeastTokens_ >= Case.MeanLeastTokens_);
  BOOST_TEST(std::abs(meanUncoveredAfterThreeLosses(Model, Plan) - Effect.MeanUncovered_) < 1e-9);
}

BOOST_AUTO_TEST_CASE(TheLossOfThreeEnginesNeedsThree) {
  const LayeredModel Model = makeModel(80);
  std::vector<PlannedEngine> Engines = makeEngines(Model, {"", 80, {{"huge", 2}}, true, true});
  for (PlannedEngine &Each : Engines)
    Each.Layers_ = {0, 80};
  BOOST_TEST(lossOfThreeEngines(Model, Engines).MostUncovered_ == 0U);
  BOOST_TEST(meanUncoveredAfterThreeLosses(Model, Engines) == 0);
  Engines.push_back(Engines.front());
  BOOST_TEST(lossOfThreeEngines(Model, Engines).MostUncovered_ == 80U);
  BOOST_TEST(meanUncoveredAfterThreeLosses(Model, Engines) == 80);
}
