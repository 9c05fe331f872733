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

/// An engine that checks fences and expectations as real ones do.
struct ModelEngine {
  EndpointListing Listing_;
  double SizeMb_ = 0;
  LayerRange Held_;
  std::uint64_t Orders_ = 0;
  FencingNumber HighestFence_{0};
  TimePoint BusyUntil_{};

  OrderOutcome take(const PlacementOrder &Order, double LayerMb, TimePoint Now) {
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

/// One data centre with owners that order and engines that may answer late or not at all.
class World {
public:
  explicit World(unsigned Seed, const Deployment &Case)
      : Random_(Seed), Model_(makeModel(Case.Layers_)) {
    for (const PlannedEngine &Each : makeEngines(Model_, Case)) {
      ModelEngine Engine;
      Engine.Listing_.Id_ = Each.Id_;
      Engine.Listing_.Service_ = Service;
      Engine.Listing_.Address_ = NetAddress(Each.Id_.str());
      Engine.Listing_.DataCenter_ = Home;
      Engine.Listing_.Run_ = Incarnation(1);
      Engine.Listing_.Kind_ = Each.Kind_->Name_;
      Engine.SizeMb_ = Each.Kind_->SizeMb_;
      Roster_.list(Engine.Listing_, Now_);
      Engines_.push_back(Engine);
    }
  }

  /// Lets the owner work for a step of 200 ms.
  void step(PlacementController &Owner, double LateShare) {
    Now_ += 200ms;
    for (ModelEngine &Engine : Engines_)
      report(Engine);
    Roster_.noteRefusal(Declining_, Now_);
    for (const PlacementOrder &Order :
         Owner.tick(Model_, Service, {Home, 3, OthersWithWholeModel_}, Roster_, Now_)) {
      ++(Order.CutsStreams_ ? Cutting_ : Waiting_);
      deliver(Owner, Order, LateShare);
    }
    while (!Late_.empty() && Late_.front().first <= Now_) {
      find(Late_.front().second.Engine_).take(Late_.front().second, Model_.LayerMb_, Now_);
      Late_.pop_front();
    }
  }

  /// The engine turns work away from now on, and the list does not say why.
  void decline(std::size_t Index) { Declining_ = Engines_[Index].Listing_.Id_; }

  void lose(std::size_t Index) {
    Roster_.unlist(Engines_[Index].Listing_.Id_, false, Now_);
    Engines_.erase(Engines_.begin() + static_cast<std::ptrdiff_t>(Index));
  }

  void restart(std::size_t Index) {
    ModelEngine &Engine = Engines_[Index];
    Engine.Listing_.Run_ = Incarnation(Engine.Listing_.Run_.value() + 1);
    Engine.Held_ = {};
    Engine.Orders_ = 0;
    Engine.HighestFence_ = FencingNumber(0);
    Engine.BusyUntil_ = {};
    Roster_.list(Engine.Listing_, Now_);
  }

  bool whole() const {
    std::vector<bool> Covered(Model_.Layers_, false);
    for (const ModelEngine &Engine : Engines_)
      if (Engine.Listing_.Id_ != Declining_)
        for (std::uint32_t Layer = Engine.Held_.Begin_; Layer < Engine.Held_.End_; ++Layer)
          Covered[Layer] = true;
    return std::find(Covered.begin(), Covered.end(), false) == Covered.end();
  }

  /// Whether the engines' memory bears the whole model, with the least room that is planned for.
  bool couldBeWhole() const {
    const double LeastRoomTokens = 20'000;
    std::uint32_t Total = 0;
    for (const ModelEngine &Engine : Engines_)
      Total += layerCapacity(Model_, *Model_.kind(Engine.Listing_.Kind_), LeastRoomTokens);
    return Total >= Model_.Layers_;
  }

  std::size_t size() const { return Engines_.size(); }
  /// Other data centres that hold the whole model.
  std::size_t OthersWithWholeModel_ = 2;
  /// Orders given by the last steps that cut streams off, and those that don't.
  std::size_t Cutting_ = 0;
  std::size_t Waiting_ = 0;
  std::mt19937 Random_;

private:
  void report(const ModelEngine &Engine) {
    EngineReport Report;
    Report.Run_ = Engine.Listing_.Run_;
    Report.Layers_ = Now_ < Engine.BusyUntil_ ? LayerRange{} : Engine.Held_;
    Report.Busy_ = Now_ < Engine.BusyUntil_;
    Report.Orders_ = Engine.Orders_;
    Report.TotalTokenLayers_ = 100;
    Roster_.report(Engine.Listing_.Id_, Report, Now_);
  }

  ModelEngine &find(const EndpointId &Id) {
    for (ModelEngine &Engine : Engines_)
      if (Engine.Listing_.Id_ == Id)
        return Engine;
    static ModelEngine Gone;
    Gone.SizeMb_ = 1e9;
    return Gone;
  }

  void deliver(PlacementController &Owner, const PlacementOrder &Order, double LateShare) {
    if (std::uniform_real_distribution<double>(0, 1)(Random_) >= LateShare)
      return Owner.onOrderEnded(Order, find(Order.Engine_).take(Order, Model_.LayerMb_, Now_),
                                Now_);
    // Not answered; carried out seconds later, after newer orders.
    Late_.emplace_back(Now_ + std::chrono::seconds(2 + Random_() % 8), Order);
    std::sort(Late_.begin(), Late_.end(),
              [](const auto &A, const auto &B) { return A.first < B.first; });
    Owner.onOrderEnded(Order, OrderOutcome::Unknown, Now_);
  }

  LayeredModel Model_;
  EndpointRoster Roster_;
  EndpointId Declining_;
  std::vector<ModelEngine> Engines_;
  std::deque<std::pair<TimePoint, PlacementOrder>> Late_;
  TimePoint Now_{1h};
};

} // namespace

BOOST_AUTO_TEST_CASE(NothingIsOrderedWithoutTheDuty) {
  World Place(1, deployments().front());
  PlacementController Idle;
  for (int I = 0; I < 40; ++I)
    Place.step(Idle, 0);
  BOOST_TEST(!Place.whole());
}

BOOST_AUTO_TEST_CASE(OwnersThatChangeAndOrdersThatAreLateLeaveTheModelWhole) {
  const unsigned Seeds = 400;
  unsigned Bearable = 0;
  for (unsigned Seed = 1; Seed <= Seeds; ++Seed) {
    World Place(Seed, deployments()[Seed % 3]);
    PlacementController First;
    PlacementController Second;
    std::int64_t Fence = 1;
    int Lost = 0;
    First.setOwner(FencingNumber(Fence));
    for (int Step = 0; Step < 120; ++Step) {
      const unsigned Draw = Place.Random_() % 100;
      if (Draw < 3)
        Place.restart(Place.Random_() % Place.size());
      if (Draw == 3 && Lost++ < 3)
        Place.lose(Place.Random_() % Place.size());
      if (Draw == 4) {
        // The other one takes over; the old one does not know, and goes on until it is refused.
        (Fence % 2 == 1 ? Second : First).setOwner(FencingNumber(Fence + 1));
        ++Fence;
      }
      Place.step(First, 0.3);
      Place.step(Second, 0.3);
    }
    // The last owner alone, with orders that arrive.
    PlacementController &Owner = Fence % 2 == 1 ? First : Second;
    (Fence % 2 == 1 ? Second : First).setOwner(std::nullopt);
    for (int Step = 0; Step < 120; ++Step)
      Place.step(Owner, 0);
    if (!Place.couldBeWhole())
      continue;
    ++Bearable;
    BOOST_TEST_CONTEXT("seed " << Seed)
    BOOST_TEST(Place.whole());
  }
  BOOST_TEST(Bearable > Seeds * 9 / 10);
}

BOOST_DATA_TEST_CASE(LayersOfAnEngineThatTurnsWorkAwayAreTakenOver,
                     boost::unit_test::data::xrange(0, 3), Index) {
  World Place(1, deployments()[static_cast<std::size_t>(Index)]);
  PlacementController Owner;
  Owner.setOwner(FencingNumber(1));
  for (int Step = 0; Step < 40; ++Step)
    Place.step(Owner, 0);
  BOOST_TEST(Place.whole());
  Place.decline(0);
  for (int Step = 0; Step < 40; ++Step)
    Place.step(Owner, 0);
  BOOST_TEST(Place.whole());
}

BOOST_AUTO_TEST_CASE(StreamsAreCutOffOnlyWhereOthersHaveNoRoomForTheRequests) {
  for (const std::size_t Others : {0U, 1U, 2U}) {
    World Place(1, deployments().front());
    PlacementController Owner;
    Owner.setOwner(FencingNumber(1));
    for (int Step = 0; Step < 40; ++Step)
      Place.step(Owner, 0);
    Place.Cutting_ = Place.Waiting_ = 0;
    Place.OthersWithWholeModel_ = Others;
    Place.lose(0);
    for (int Step = 0; Step < 40; ++Step)
      Place.step(Owner, 0);
    BOOST_TEST_CONTEXT(Others << " others are whole") {
      BOOST_TEST((Place.Cutting_ > 0) == (Others < 2));
      BOOST_TEST(Place.whole());
    }
  }
}

BOOST_AUTO_TEST_CASE(ARefusedOwnerOrdersNothingMore) {
  World Place(7, deployments().front());
  PlacementController Old;
  PlacementController New;
  Old.setOwner(FencingNumber(1));
  New.setOwner(FencingNumber(2));
  for (int Step = 0; Step < 20; ++Step)
    Place.step(New, 0);
  Place.restart(0);
  for (int Step = 0; Step < 3; ++Step)
    Place.step(New, 0);
  Place.restart(1);
  for (int Step = 0; Step < 60 && Old.fence(); ++Step) {
    Place.step(Old, 0);
    Place.restart(2);
    Place.step(New, 0);
  }
  BOOST_TEST(Place.whole());
}
