#include "Tests/Core/Layers/Deployments.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace rattancart;
using namespace rattancart::test;

namespace {

/// Carries out a plan immediately.
void apply(const std::vector<LayerPlacement> &Plan, std::vector<PlannedEngine> &Engines) {
  for (const LayerPlacement &Placement : Plan)
    for (PlannedEngine &Engine : Engines)
      if (Engine.Id_ == Placement.Engine_)
        Engine.Layers_ = Placement.Layers_;
}

/// The number of layers that no engine holds.
int uncovered(const LayeredModel &Model, const std::vector<PlannedEngine> &Engines) {
  int Count = 0;
  for (std::uint32_t Layer = 0; Layer < Model.Layers_; ++Layer)
    Count += std::none_of(Engines.begin(), Engines.end(), [&](const PlannedEngine &Engine) {
      return Layer >= Engine.Layers_.Begin_ && Layer < Engine.Layers_.End_;
    });
  return Count;
}

/// Whether the placement's layers exist and fit into the engine's memory.
bool fits(const LayeredModel &Model, const LayerPlacement &Placement,
          const std::vector<PlannedEngine> &Engines) {
  const auto Engine = std::find_if(Engines.begin(), Engines.end(), [&](const PlannedEngine &Each) {
    return Each.Id_ == Placement.Engine_;
  });
  return Engine != Engines.end() && Placement.Layers_.End_ <= Model.Layers_ &&
         (Placement.Layers_.End_ - Placement.Layers_.Begin_) * Model.LayerMb_ <=
             Engine->Kind_->MemoryMb_;
}

/// Plans until nothing changes, as an owner does whose orders are all carried out; returns the
/// number of orders. Two rounds close gaps and give up surplus layers; then one redundant engine
/// moves each round, and each engine at most once.
std::size_t settle(const LayeredModel &Model, std::vector<PlannedEngine> &Engines) {
  std::size_t Orders = 0;
  for (std::size_t Round = 0; Round < Engines.size() + 3; ++Round) {
    const auto Plan = planLayers(Model, Engines);
    for (const LayerPlacement &Placement : Plan)
      BOOST_TEST(fits(Model, Placement, Engines));
    if (Plan.empty())
      return Orders;
    Orders += Plan.size();
    apply(Plan, Engines);
  }
  BOOST_ERROR("the plan does not settle");
  return Orders;
}

} // namespace

BOOST_DATA_TEST_CASE(EmptyEnginesGetTheWholeModel, deployments(), Case) {
  const LayeredModel Model = makeModel(Case.Layers_);
  auto Engines = makeEngines(Model, Case);
  settle(Model, Engines);
  BOOST_TEST((uncovered(Model, Engines) == 0) == Case.FitsModel_);
}

BOOST_DATA_TEST_CASE(LayersOfALostEngineAreTakenOver, deployments(), Case) {
  const LayeredModel Model = makeModel(Case.Layers_);
  auto BeforeLoss = makeEngines(Model, Case);
  settle(Model, BeforeLoss);
  for (std::size_t Lost = 0; Lost < BeforeLoss.size(); ++Lost) {
    auto Engines = BeforeLoss;
    Engines.erase(Engines.begin() + static_cast<std::ptrdiff_t>(Lost));
    settle(Model, Engines);
    BOOST_TEST_CONTEXT("lost " << BeforeLoss[Lost].Id_.str())
    BOOST_TEST((uncovered(Model, Engines) == 0) == Case.FitsModelAfterOneLoss_);
  }
}

BOOST_AUTO_TEST_CASE(FastEnginesStayWhereTheyAreWhenASmallGapOpens) {
  const LayeredModel Model = makeModel(80);
  auto Engines = makeEngines(Model, deployments().front());
  settle(Model, Engines);
  const auto Fast = Engines.front();
  // The copies hold all layers of the fast engine a second time.
  for (std::uint32_t Begin = 0, I = 0; Begin < Fast.Layers_.End_; Begin += 5, ++I) {
    PlannedEngine Copy;
    Copy.Id_ = EndpointId("copy-" + std::to_string(I));
    Copy.Kind_ = Model.kind("t4");
    Copy.Layers_ = {Begin, Begin + 5};
    Engines.push_back(Copy);
  }
  const auto Lost = std::find_if(Engines.begin(), Engines.end(), [](const PlannedEngine &Each) {
    return Each.Id_.str() == "l4-2";
  });
  Engines.erase(Lost);
  for (const LayerPlacement &Placement : planLayers(Model, Engines))
    BOOST_TEST(Placement.Engine_.str() != Fast.Id_.str());
}

BOOST_AUTO_TEST_CASE(PlanDoesNotDependOnTheOrderOfEngines) {
  const LayeredModel Model = makeModel(80);
  auto Engines = makeEngines(Model, deployments().front());
  const auto Plan = planLayers(Model, Engines);
  std::reverse(Engines.begin(), Engines.end());
  const auto Reversed = planLayers(Model, Engines);
  BOOST_REQUIRE(Plan.size() == Reversed.size());
  for (std::size_t I = 0; I < Plan.size(); ++I) {
    BOOST_TEST(Plan[I].Engine_.str() == Reversed[I].Engine_.str());
    BOOST_TEST((Plan[I].Layers_ == Reversed[I].Layers_));
  }
}

BOOST_AUTO_TEST_CASE(EnginesThatAreNotMovableAreLeftAlone) {
  const LayeredModel Model = makeModel(80);
  auto Engines = makeEngines(Model, deployments().front());
  for (PlannedEngine &Engine : Engines)
    Engine.Movable_ = Engine.Id_.str() != "h100-0";
  for (const LayerPlacement &Placement : planLayers(Model, Engines))
    BOOST_TEST(Placement.Engine_.str() != "h100-0");
}

BOOST_AUTO_TEST_CASE(SurplusLayersAreGivenUpOnlyWhereOthersHoldThem) {
  const LayeredModel Model = makeModel(80);
  auto Engines = makeEngines(Model, deployments().front());
  // The layout is made for half of the engines, so each holds more layers than the capacity that is
  // planned for all of them allows.
  std::vector<PlannedEngine> Half(Engines.begin(), Engines.begin() + 7);
  settle(Model, Half);
  for (std::size_t I = 0; I < Half.size(); ++I)
    Engines[I].Layers_ = Half[I].Layers_;
  settle(Model, Engines);
  const double Capacity = plannedTokenCapacity(Model, Engines);
  BOOST_TEST(uncovered(Model, Engines) == 0);
  int Over = 0;
  for (const PlannedEngine &Engine : Engines)
    Over +=
        Engine.Layers_.End_ - Engine.Layers_.Begin_ > layerCapacity(Model, *Engine.Kind_, Capacity);
  BOOST_TEST(Over <= 2);
}

BOOST_AUTO_TEST_CASE(ALossIsRepairedByFewEnginesAlsoWhereMemoryIsShort) {
  // An engine is lost while requests run. Each engine that moves finishes its streams first, which
  // takes seconds; if all of them move, nothing is served.
  const LayeredModel Model = makeModel(80);
  for (std::size_t DataCenter = 0; DataCenter < 3; ++DataCenter) {
    auto BeforeLoss = makeEngines(Model, deployments()[DataCenter]);
    settle(Model, BeforeLoss);
    for (std::size_t Lost = 0; Lost < BeforeLoss.size(); ++Lost) {
      auto Engines = BeforeLoss;
      Engines.erase(Engines.begin() + static_cast<std::ptrdiff_t>(Lost));
      const auto Plan = planLayers(Model, Engines);
      const auto Moved = static_cast<std::size_t>(
          std::count_if(Plan.begin(), Plan.end(), [](const auto &Each) { return Each.FillsGap_; }));
      BOOST_TEST_CONTEXT("data centre " << DataCenter << " lost " << BeforeLoss[Lost].Id_.str())
      BOOST_TEST(Moved <= Engines.size() / 2);
    }
  }
}

BOOST_AUTO_TEST_CASE(TokenCapacityRecoversAfterManyLosses) {
  // Three engines are lost for some seconds: the remaining ones take all layers with little token
  // capacity, and the lost ones come back empty.
  const LayeredModel Model = makeModel(80);
  for (std::size_t DataCenter = 0; DataCenter < 3; ++DataCenter)
    for (unsigned Seed = 1; Seed <= 40; ++Seed) {
      std::mt19937 Random(Seed);
      const auto All = makeEngines(Model, deployments()[DataCenter]);
      auto Engines = All;
      settle(Model, Engines);
      std::vector<PlannedEngine> Returning;
      for (int Lost = 0; Lost < 3; ++Lost) {
        const auto Index = static_cast<std::ptrdiff_t>(Random() % Engines.size());
        Returning.push_back(Engines[static_cast<std::size_t>(Index)]);
        Returning.back().Layers_ = {};
        Engines.erase(Engines.begin() + Index);
        settle(Model, Engines);
      }
      for (const PlannedEngine &Engine : Returning) {
        Engines.push_back(Engine);
        settle(Model, Engines);
      }
      const double Capacity = plannedTokenCapacity(Model, Engines);
      double LowestCapacity = Capacity;
      for (std::uint32_t Layer = 0; Layer < Model.Layers_; ++Layer) {
        double LayerCapacity = 0;
        for (const PlannedEngine &Engine : Engines)
          if (Layer >= Engine.Layers_.Begin_ && Layer < Engine.Layers_.End_) {
            const auto Count = Engine.Layers_.End_ - Engine.Layers_.Begin_;
            LayerCapacity += (Engine.Kind_->MemoryMb_ - Count * Model.LayerMb_) / Count / 0.007375;
          }
        LowestCapacity = std::min(LowestCapacity, LayerCapacity);
      }
      BOOST_TEST_CONTEXT("data centre " << DataCenter << " seed " << Seed)
      BOOST_TEST(LowestCapacity >= 0.6 * Capacity);
    }
}

BOOST_AUTO_TEST_CASE(AnySequenceOfLossesAndReturnsLeavesTheModelWhole) {
  const LayeredModel Model = makeModel(80);
  for (unsigned Seed = 1; Seed <= 300; ++Seed) {
    std::mt19937 Random(Seed);
    const auto All = makeEngines(Model, deployments()[Seed % 3]);
    auto Engines = All;
    settle(Model, Engines);
    for (int Step = 0; Step < 12; ++Step) {
      if (Engines.size() > All.size() - 2) {
        Engines.erase(Engines.begin() + static_cast<std::ptrdiff_t>(Random() % Engines.size()));
      } else {
        for (const PlannedEngine &Each : All)
          if (std::none_of(Engines.begin(), Engines.end(),
                           [&](const PlannedEngine &Known) { return Known.Id_ == Each.Id_; })) {
            Engines.push_back(Each);
            break;
          }
      }
      settle(Model, Engines);
      BOOST_TEST_CONTEXT("seed " << Seed << " step " << Step)
      BOOST_TEST(uncovered(Model, Engines) == 0);
    }
  }
}
