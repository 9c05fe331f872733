#include "Core/Layers/PlacementController.h"
#include "Tests/Core/Layers/Deployments.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <random>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

const ServiceId Service("llm");
const DataCenterId Home("home");

/// An engine that checks fencing numbers and expected counts of orders as real ones do.
struct SimulatedEngine {
  EndpointListing Listing_;
  double SizeMb_ = 0;
  LayerRange Held_;
  std::uint64_t Orders_ = 0;
  FencingNumber HighestFence_{0};
  TimePoint BusyUntil_{};

  /// Another engine, which started later and is not listed yet, has the address now.
  bool Replaced_ = false;

  OrderOutcome take(const PlacementOrder &Order, double LayerMb, TimePoint Now) {
    if (Replaced_)
      return OrderOutcome::WrongEndpoint;
    if (Order.Fence_ < HighestFence_)
      return OrderOutcome::Fenced;
    HighestFence_ = Order.Fence_;
    if (Order.ExpectedOrders_ != Orders_ || Now < BusyUntil_)
      return OrderOutcome::Conflict;
    BOOST_TEST((Order.Layers_.End_ - Order.Layers_.Begin_) * LayerMb <= SizeMb_);
    ++Orders_;
    Held_ = Order.Layers_;
    BusyUntil_ = Now + 1s;
    return OrderOutcome::Accepted;
  }
};

/// One data centre with owners that send orders, and engines that may carry them out late and
/// without an answer.
class PlacementSimulation {
public:
  explicit PlacementSimulation(unsigned Seed, const Deployment &Case)
      : Random_(Seed), Model_(makeModel(Case.Layers_)) {
    for (const PlannedEngine &Each : makeEngines(Model_, Case)) {
      SimulatedEngine Engine;
      Engine.Listing_.Id_ = Each.Id_;
      Engine.Listing_.Service_ = Service;
      Engine.Listing_.Address_ = NetAddress(Each.Id_.str());
      Engine.Listing_.DataCenter_ = Home;
      Engine.Listing_.Run_ = Incarnation(1);
      Engine.Listing_.Kind_ = Each.Kind_->Name_;
      Engine.SizeMb_ = Each.Kind_->MemoryMb_;
      Roster_.updateListing(Engine.Listing_, Now_);
      Engines_.push_back(Engine);
    }
  }

  /// Advances the time by 200 ms and lets the owner act. UnansweredShare is the part of the orders
  /// that are not answered and are carried out seconds later.
  void step(PlacementController &Owner, double UnansweredShare) {
    Now_ += 200ms;
    for (SimulatedEngine &Engine : Engines_)
      report(Engine);
    if (FalseListing_)
      Roster_.updateListing(*FalseListing_, Now_ + 1ms);
    Roster_.noteRefusal(Declining_, Now_);
    for (const PlacementOrder &Order :
         Owner.tick(Model_, Service, {Home, 3, OthersWithWholeModel_}, Roster_, Now_)) {
      ++(Order.CutsStreams_ ? CuttingOrders_ : WaitingOrders_);
      deliver(Owner, Order, UnansweredShare);
    }
    while (!LateOrders_.empty() && LateOrders_.front().first <= Now_) {
      find(LateOrders_.front().second.Engine_)
          .take(LateOrders_.front().second, Model_.LayerMb_, Now_);
      LateOrders_.pop_front();
    }
  }

  /// From now on the engine refuses requests, while the list still shows it as live.
  void decline(std::size_t Index) { Declining_ = Engines_[Index].Listing_.Id_; }

  /// From now on, another writer's entry for the engine names these layers.
  void listFalseLayers(std::size_t Index, LayerRange Layers) {
    FalseListing_ = Engines_[Index].Listing_;
    FalseListing_->Layers_ = Layers;
  }

  /// The list names the layers that the engine holds. From now on, another engine answers at its
  /// address, which reports that it is empty.
  void replace(std::size_t Index) {
    SimulatedEngine &Engine = Engines_[Index];
    Engine.Replaced_ = true;
    Engine.Listing_.Layers_ = Engine.Held_;
    Roster_.updateListing(Engine.Listing_, Now_);
  }

  void lose(std::size_t Index) {
    Roster_.removeListing(Engines_[Index].Listing_.Id_, std::nullopt, Now_);
    Engines_.erase(Engines_.begin() + static_cast<std::ptrdiff_t>(Index));
  }

  void restart(std::size_t Index) {
    SimulatedEngine &Engine = Engines_[Index];
    Engine.Listing_.Run_ = Incarnation(Engine.Listing_.Run_.value() + 1);
    Engine.Held_ = {};
    Engine.Orders_ = 0;
    Engine.HighestFence_ = FencingNumber(0);
    Engine.BusyUntil_ = {};
    Roster_.updateListing(Engine.Listing_, Now_);
  }

  bool holdsModel() const {
    std::vector<bool> Covered(Model_.Layers_, false);
    for (const SimulatedEngine &Engine : Engines_)
      if (Engine.Listing_.Id_ != Declining_ && !Engine.Replaced_)
        for (std::uint32_t Layer = Engine.Held_.Begin_; Layer < Engine.Held_.End_; ++Layer)
          Covered[Layer] = true;
    return std::find(Covered.begin(), Covered.end(), false) == Covered.end();
  }

  /// Whether the engines have memory for the whole model with the smallest token capacity that the
  /// planner accepts.
  bool couldHoldModel() const {
    const double MinTokenCapacity = 20'000;
    std::uint32_t Total = 0;
    for (const SimulatedEngine &Engine : Engines_)
      Total += layerCapacity(Model_, *Model_.kind(Engine.Listing_.Kind_), MinTokenCapacity);
    return Total >= Model_.Layers_;
  }

  std::size_t size() const { return Engines_.size(); }
  /// Other data centres that hold the whole model.
  std::size_t OthersWithWholeModel_ = 2;
  /// Orders so far that cut off streams, and those that let them finish.
  std::size_t CuttingOrders_ = 0;
  std::size_t WaitingOrders_ = 0;
  /// Orders so far that another engine refused, which has the address of the one that they are for.
  std::size_t MisdirectedOrders_ = 0;
  std::mt19937 Random_;

private:
  void report(const SimulatedEngine &Engine) {
    EngineReport Report;
    Report.Run_ = Engine.Listing_.Run_;
    Report.Layers_ = Now_ < Engine.BusyUntil_ ? LayerRange{} : Engine.Held_;
    Report.Busy_ = Now_ < Engine.BusyUntil_;
    Report.Orders_ = Engine.Orders_;
    Report.TotalTokenLayers_ = 100;
    if (Engine.Replaced_) {
      Report = {};
      Report.Run_ = Incarnation(Engine.Listing_.Run_.value() + 1);
    }
    Roster_.updateReport(Engine.Listing_.Id_, Report, Now_);
  }

  SimulatedEngine &find(const EndpointId &Id) {
    for (SimulatedEngine &Engine : Engines_)
      if (Engine.Listing_.Id_ == Id)
        return Engine;
    static SimulatedEngine Gone;
    Gone.SizeMb_ = 1e9;
    return Gone;
  }

  void deliver(PlacementController &Owner, const PlacementOrder &Order, double UnansweredShare) {
    if (std::uniform_real_distribution<double>(0, 1)(Random_) >= UnansweredShare) {
      const OrderOutcome Outcome = find(Order.Engine_).take(Order, Model_.LayerMb_, Now_);
      Owner.onOrderEnded(Order, Outcome, Now_);
      if (Outcome == OrderOutcome::WrongEndpoint) {
        ++MisdirectedOrders_;
        Roster_.noteAddressTaken(Order.Engine_, Order.Address_, Incarnation(1), Now_);
      }
      return;
    }
    // The order is not answered, and is carried out seconds later, possibly after newer orders.
    LateOrders_.emplace_back(Now_ + std::chrono::seconds(2 + Random_() % 8), Order);
    std::sort(LateOrders_.begin(), LateOrders_.end(),
              [](const auto &A, const auto &B) { return A.first < B.first; });
    Owner.onOrderEnded(Order, OrderOutcome::Unknown, Now_);
  }

  LayeredModel Model_;
  EndpointRoster Roster_;
  std::optional<EndpointListing> FalseListing_;
  EndpointId Declining_;
  std::vector<SimulatedEngine> Engines_;
  std::deque<std::pair<TimePoint, PlacementOrder>> LateOrders_;
  TimePoint Now_{1h};
};

} // namespace

BOOST_AUTO_TEST_CASE(NothingIsOrderedWithoutOwnership) {
  PlacementSimulation Simulation(1, deployments().front());
  PlacementController Idle;
  for (int I = 0; I < 40; ++I)
    Simulation.step(Idle, 0);
  BOOST_TEST(!Simulation.holdsModel());
}

BOOST_AUTO_TEST_CASE(OwnersThatChangeAndOrdersThatAreLateLeaveTheModelWhole) {
  const unsigned Seeds = 400;
  unsigned Coverable = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    PlacementSimulation Simulation(Seed, deployments()[Seed % 3]);
    PlacementController First;
    PlacementController Second;
    std::int64_t Fence = 1;
    int Losses = 0;
    First.setOwner(FencingNumber(Fence));
    for (int Step = 0; Step < 120; ++Step) {
      const unsigned Draw = Simulation.Random_() % 100;
      if (Draw < 3)
        Simulation.restart(Simulation.Random_() % Simulation.size());
      if (Draw == 3 && Losses++ < 3)
        Simulation.lose(Simulation.Random_() % Simulation.size());
      if (Draw == 4) {
        // The other owner takes over. The old one does not know, and continues until it is refused.
        (Fence % 2 == 1 ? Second : First).setOwner(FencingNumber(Fence + 1));
        ++Fence;
      }
      Simulation.step(First, 0.3);
      Simulation.step(Second, 0.3);
    }
    // Only the last owner continues, and all its orders are answered.
    PlacementController &Owner = Fence % 2 == 1 ? First : Second;
    (Fence % 2 == 1 ? Second : First).setOwner(std::nullopt);
    for (int Step = 0; Step < 120; ++Step)
      Simulation.step(Owner, 0);
    if (!Simulation.couldHoldModel())
      continue;
    ++Coverable;
    BOOST_TEST_CONTEXT("seed " << Seed)
    BOOST_TEST(Simulation.holdsModel());
  }
  BOOST_TEST(Coverable > Seeds * 9 / 10);
}

BOOST_DATA_TEST_CASE(LayersOfAnEngineThatRefusesWorkAreTakenOver,
                     boost::unit_test::data::xrange(0, 3), Index) {
  PlacementSimulation Simulation(1, deployments()[static_cast<std::size_t>(Index)]);
  PlacementController Owner;
  Owner.setOwner(FencingNumber(1));
  for (int Step = 0; Step < 40; ++Step)
    Simulation.step(Owner, 0);
  BOOST_TEST(Simulation.holdsModel());
  Simulation.decline(0);
  for (int Step = 0; Step < 40; ++Step)
    Simulation.step(Owner, 0);
  BOOST_TEST(Simulation.holdsModel());
}

// Guards against an owner that sends one order after the other to an engine whose address another
// one has now, and that loads nothing else meanwhile.
BOOST_DATA_TEST_CASE(AnEngineWhoseAddressIsTakenGetsOneOrder, boost::unit_test::data::xrange(0, 3),
                     Index) {
  PlacementSimulation Simulation(1, deployments()[static_cast<std::size_t>(Index)]);
  PlacementController Owner;
  Owner.setOwner(FencingNumber(1));
  for (int Step = 0; Step < 40; ++Step)
    Simulation.step(Owner, 0);
  Simulation.replace(0);
  // Its layers count as lost also after the 2 s for which it gets no requests.
  for (int Step = 0; Step < 40; ++Step)
    Simulation.step(Owner, 0);
  BOOST_TEST(Simulation.MisdirectedOrders_ == 1U);
  BOOST_TEST(Simulation.holdsModel());
}

BOOST_AUTO_TEST_CASE(StreamsAreCutOffOnlyIfOtherDataCentersLackCapacity) {
  for (const std::size_t Others : {0U, 1U, 2U}) {
    PlacementSimulation Simulation(1, deployments().front());
    PlacementController Owner;
    Owner.setOwner(FencingNumber(1));
    for (int Step = 0; Step < 40; ++Step)
      Simulation.step(Owner, 0);
    Simulation.CuttingOrders_ = Simulation.WaitingOrders_ = 0;
    Simulation.OthersWithWholeModel_ = Others;
    Simulation.lose(0);
    for (int Step = 0; Step < 40; ++Step)
      Simulation.step(Owner, 0);
    BOOST_TEST_CONTEXT(Others << " others hold the whole model") {
      BOOST_TEST((Simulation.CuttingOrders_ > 0) == (Others < 2));
      BOOST_TEST(Simulation.holdsModel());
    }
  }
}

namespace {

const LayerRange FalseLayers[] = {
    {0, 0xffffffff}, {79, 81}, {80, 81}, {0xfffffff0, 0xffffffff}, {0, 80}};

} // namespace

// Guards against an owner that ends, or orders more layers than an engine has memory for, because
// another writer's entry names layers that the engine can't hold.
BOOST_DATA_TEST_CASE(LayersThatAnEngineCannotHoldAreIgnored,
                     boost::unit_test::data::xrange(std::size(FalseLayers)), Index) {
  for (unsigned Seed = 1; Seed <= 5; ++Seed) {
    PlacementSimulation Simulation(Seed, deployments().front());
    PlacementController Owner;
    Owner.setOwner(FencingNumber(1));
    for (int Step = 0; Step < 40; ++Step)
      Simulation.step(Owner, 0);
    Simulation.listFalseLayers(1, FalseLayers[Index]);
    Simulation.lose(0);
    for (int Step = 0; Step < 40; ++Step)
      Simulation.step(Owner, 0);
    BOOST_TEST(Simulation.holdsModel());
  }
}

// Guards against a gap that stays open for half a minute, because the owner waits for an engine to
// show the layers of an order that the order of another owner has replaced.
BOOST_AUTO_TEST_CASE(AnOrderThatAnotherOwnersOrderFollowedBlocksItsEngineNoLonger) {
  const LayeredModel Model = makeModel(80);
  const PlacementScope Scope{Home, 1, 0};
  EndpointRoster Roster;
  EndpointListing Listing;
  Listing.Id_ = EndpointId("e");
  Listing.Service_ = Service;
  Listing.DataCenter_ = Home;
  Listing.Run_ = Incarnation(1);
  Listing.Kind_ = "huge";
  TimePoint Now{1h};
  Roster.updateListing(Listing, Now);
  EngineReport Report;
  Report.Run_ = Incarnation(1);
  Roster.updateReport(Listing.Id_, Report, Now);
  PlacementController Owner;
  Owner.setOwner(FencingNumber(1));
  Owner.tick(Model, Service, Scope, Roster, Now);
  Now += 2s;
  const auto Orders = Owner.tick(Model, Service, Scope, Roster, Now);
  BOOST_REQUIRE(Orders.size() == 1U);
  Owner.onOrderEnded(Orders.front(), OrderOutcome::Accepted, Now);
  Now += 1s;
  Report.Orders_ = 2;
  Report.Layers_ = {0, 40};
  Roster.updateReport(Listing.Id_, Report, Now);
  BOOST_TEST(Owner.tick(Model, Service, Scope, Roster, Now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(AFencedOwnerSendsNoMoreOrders) {
  PlacementSimulation Simulation(7, deployments().front());
  PlacementController Old;
  PlacementController New;
  Old.setOwner(FencingNumber(1));
  New.setOwner(FencingNumber(2));
  for (int Step = 0; Step < 20; ++Step)
    Simulation.step(New, 0);
  Simulation.restart(0);
  for (int Step = 0; Step < 3; ++Step)
    Simulation.step(New, 0);
  Simulation.restart(1);
  for (int Step = 0; Step < 60 && Old.fence(); ++Step) {
    Simulation.step(Old, 0);
    Simulation.restart(2);
    Simulation.step(New, 0);
  }
  BOOST_TEST(Simulation.holdsModel());
}
