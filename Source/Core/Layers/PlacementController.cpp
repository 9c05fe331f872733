#include "Core/Layers/PlacementController.h"

#include "Core/Layers/LoadShare.h"

#include <algorithm>

namespace rattancart {

namespace {

/// An accepted order that the engine's reports do not confirm is given up after this time. The
/// slowest load of all layers, with all loads at once, takes less.
constexpr Duration LoadTimeout = std::chrono::seconds(30);
/// An unanswered order counts as not carried out if reports show no sign of it for this time. The
/// next order then names the same count of accepted orders, so at most one of the two is carried
/// out.
constexpr Duration UnansweredTimeout = std::chrono::milliseconds(1200);
/// Reports lag behind the engine's state by a few hundred milliseconds.
constexpr Duration ReportLag = std::chrono::milliseconds(300);
/// Engines that start together appear in the list within one heartbeat of each other. A plan for
/// only the first few of them would give each too many layers.
constexpr Duration StartupWindow = std::chrono::milliseconds(1500);
/// Streams may finish first if at least this many other data centres hold the whole model. One
/// alone has no memory for the requests of another in addition to its own.
constexpr std::size_t MinOtherDataCenters = 2;

/// The layers that some engine of a data centre holds.
class HeldLayers {
public:
  explicit HeldLayers(std::uint32_t Layers) : Held_(Layers, false) {}
  /// Precondition: the model has these layers.
  void add(LayerRange Layers) {
    for (std::uint32_t Layer = Layers.Begin_; Layer < Layers.End_; ++Layer)
      Held_[Layer] = true;
  }
  bool all() const { return std::find(Held_.begin(), Held_.end(), false) == Held_.end(); }

private:
  std::vector<bool> Held_;
};

} // namespace

void PlacementController::setOwner(std::optional<FencingNumber> Fence) {
  if (Fence && !Fence_)
    Pending_.clear();
  // The next owner, which may be this process again, observes the engines anew.
  if (!Fence || !Fence_) {
    Losses_.clear();
    Turns_.clear();
  }
  Fence_ = Fence;
}

bool PlacementController::isSettled(const Pending &Order, const EndpointRecord &Record,
                                    TimePoint Now) const {
  if (Record.Listing_.Run_ != Order.Run_ || Record.addressInDoubt())
    return true;
  if (Order.AnsweredAt_ == TimePoint{})
    return false;
  const bool Newer = Record.ReportedAt_ > Order.AnsweredAt_ + ReportLag;
  switch (Order.Outcome_) {
  case OrderOutcome::Accepted:
    if (Newer && !Record.Report_.Busy_ && Record.Report_.Layers_ == Order.Target_)
      return true;
    // An order of another owner followed, so the engine won't show the target of this one.
    if (Newer && Record.Report_.Orders_ > Order.ExpectedOrders_ + 1)
      return true;
    return Now - Order.AnsweredAt_ > LoadTimeout;
  case OrderOutcome::Unknown:
    if (!Newer)
      return false;
    return Record.Report_.Orders_ > Order.ExpectedOrders_ ||
           Now - Order.SentAt_ > UnansweredTimeout;
  default:
    return Newer;
  }
}

bool PlacementController::isUsable(const EndpointRecord &Record, TimePoint Now) const {
  if (Record.Listing_.State_ != EndpointState::Live || Record.gone(Now) || Record.addressInDoubt())
    return false;
  // While it carries out an order, an engine refuses requests that it can't run at the time.
  const bool Ordered = Pending_.contains(Record.Listing_.Id_) || Record.Report_.Busy_;
  return Ordered || !Record.declinesForLong(Now);
}

bool PlacementController::waitsForMoreEngines(const std::vector<PlannedEngine> &Engines,
                                              TimePoint Now) {
  if (Engines.size() != EnginesSeen_) {
    EnginesSeen_ = Engines.size();
    EnginesChangedAt_ = Now;
  }
  const bool AllEmpty = std::all_of(Engines.begin(), Engines.end(), [](const PlannedEngine &Each) {
    return Each.Layers_.Begin_ >= Each.Layers_.End_;
  });
  return AllEmpty && Now - EnginesChangedAt_ < StartupWindow;
}

PlannedEngine PlacementController::plannedEngine(const LayeredModel &Model,
                                                 const EndpointRecord &Record) const {
  PlannedEngine Engine;
  Engine.Id_ = Record.Listing_.Id_;
  Engine.Kind_ = Model.kind(Record.Listing_.Kind_);
  Engine.Layers_ = Record.layersOf(Model);
  Engine.Movable_ = Record.reported() && !Record.Report_.Busy_;
  if (const auto Order = Pending_.find(Engine.Id_); Order != Pending_.end()) {
    Engine.Layers_ = Order->second.Target_;
    Engine.Movable_ = false;
  }
  return Engine;
}

std::size_t PlacementController::copiesAtOnce(const LayeredModel &Model, const ServiceId &Service,
                                              const PlacementScope &Scope,
                                              const EndpointRoster &Roster, TimePoint Now) const {
  std::map<DataCenterId, std::size_t> Demand;
  for (const auto &[Id, Record] : Roster.all()) {
    const EngineKind *Kind = Model.kind(Record.Listing_.Kind_);
    if (Record.Listing_.Service_ != Service || Record.silent(Now) || !isUsable(Record, Now) ||
        !Kind || Kind->MemoryMb_ < Model.LayerMb_)
      continue;
    const LayerRange Layers = Record.layersOf(Model);
    const bool Loading = Pending_.contains(Id) || (Record.reported() && Record.Report_.Busy_);
    Demand[Record.Listing_.DataCenter_] += Loading || Layers.Begin_ >= Layers.End_ ? 1 : 0;
  }
  return loadsAtOnce(Model.ConcurrentLoads_, Scope.DataCenters_, Scope.DataCenter_, Demand);
}

std::vector<PlacementOrder> PlacementController::tick(const LayeredModel &Model,
                                                      const ServiceId &Service,
                                                      const PlacementScope &Scope,
                                                      const EndpointRoster &Roster, TimePoint Now) {
  std::vector<PlacementOrder> Orders;
  if (!Fence_)
    return Orders;
  std::erase_if(Pending_, [&](const auto &Entry) {
    const EndpointRecord *Record = Roster.find(Entry.first);
    return !Record || isSettled(Entry.second, *Record, Now);
  });

  LossConfirmation &Losses = Losses_[Service];
  Losses.update(Service, Scope.DataCenter_, Roster, Now);

  std::vector<PlannedEngine> Engines;
  std::size_t Loading = 0;
  HeldLayers Held(Model.Layers_);
  HeldLayers Answering(Model.Layers_);
  for (const auto &[Id, Record] : Roster.all()) {
    if (Record.Listing_.Service_ != Service || Record.Listing_.DataCenter_ != Scope.DataCenter_ ||
        !isUsable(Record, Now))
      continue;
    const EngineStanding Standing = Losses.standing(Record, Now);
    if (Standing == EngineStanding::Lost)
      continue;
    PlannedEngine Engine = plannedEngine(Model, Record);
    if (!Engine.Kind_)
      continue;
    Engine.Movable_ = Engine.Movable_ && Standing == EngineStanding::Present;
    Held.add(Record.layersOf(Model));
    if (Standing == EngineStanding::Present)
      Answering.add(Record.layersOf(Model));
    Loading += Pending_.contains(Id) || (Record.reported() && Record.Report_.Busy_) ? 1 : 0;
    Engines.push_back(std::move(Engine));
  }

  ReassignmentTurn &Turn = Turns_[Service];
  Turn.update(Model, Service, Scope.DataCenter_, {!Held.all(), !Answering.all()}, Roster, Now);
  if (Losses.suspended() || waitsForMoreEngines(Engines, Now))
    return Orders;
  // Without any layers, there is nothing to interrupt.
  const bool HasTurn = Turn.mayAssignFromScratch() ||
                       std::all_of(Engines.begin(), Engines.end(), [](const PlannedEngine &Each) {
                         return Each.Layers_.Begin_ >= Each.Layers_.End_;
                       });
  bool Waits = false;
  // Orders that fill no gap wait while many loads run, since each further load slows all of them.
  const std::size_t CopiesAtOnce = copiesAtOnce(Model, Service, Scope, Roster, Now);
  for (const LayerPlacement &Placement : planLayers(Model, Engines)) {
    if (!Placement.FillsGap_ && Loading >= CopiesAtOnce)
      continue;
    const EndpointRecord *Record = Roster.find(Placement.Engine_);
    const bool Cuts = Placement.FillsGap_ && Scope.OthersWithWholeModel_ < MinOtherDataCenters;
    if (waitsForTurn(Placement, Record->layersOf(Model), Cuts, HasTurn)) {
      Waits = true;
      continue;
    }
    ++Loading;
    Pending_[Placement.Engine_] = {
        Placement.Layers_,    Record->Listing_.Run_, Record->Report_.Orders_, TimePoint{}, Now,
        OrderOutcome::Unknown};
    Orders.push_back({Placement.Engine_, Record->Listing_.Address_, Placement.Layers_, *Fence_,
                      Record->Report_.Orders_, Placement.FillsGap_, Placement.FromScratch_, Cuts});
  }
  Turn.noteWaiting(Waits, Now);
  return Orders;
}

bool PlacementController::waitsForTurn(const LayerPlacement &Placement, LayerRange Held, bool Cuts,
                                       bool Turn) {
  if (Turn)
    return false;
  const bool GivesUpLayers = Held.Begin_ < Held.End_ && (Placement.Layers_.Begin_ > Held.Begin_ ||
                                                         Placement.Layers_.End_ < Held.End_);
  return Placement.FromScratch_ || (Cuts && GivesUpLayers);
}

std::vector<EndpointId> PlacementController::doubtfulEngines() const {
  std::vector<EndpointId> Doubtful;
  for (const auto &[Service, Losses] : Losses_)
    Doubtful.insert(Doubtful.end(), Losses.doubtfulEngines().begin(),
                    Losses.doubtfulEngines().end());
  return Doubtful;
}

const LossConfirmation *PlacementController::losses(const ServiceId &Service) const {
  const auto Found = Losses_.find(Service);
  return Found == Losses_.end() ? nullptr : &Found->second;
}

const ReassignmentTurn *PlacementController::turn(const ServiceId &Service) const {
  const auto Found = Turns_.find(Service);
  return Found == Turns_.end() ? nullptr : &Found->second;
}

bool PlacementController::needsOtherStates() const {
  return !doubtfulEngines().empty() ||
         std::any_of(Turns_.begin(), Turns_.end(),
                     [](const auto &Entry) { return Entry.second.lacksLayers(); });
}

void PlacementController::onOrderEnded(const PlacementOrder &Order, OrderOutcome Outcome,
                                       TimePoint Now) {
  const auto Found = Pending_.find(Order.Engine_);
  if (Found == Pending_.end())
    return;
  if (Outcome == OrderOutcome::WrongEndpoint) {
    Pending_.erase(Found);
    return;
  }
  Found->second.AnsweredAt_ = Now;
  Found->second.Outcome_ = Outcome;
  if (Outcome == OrderOutcome::Fenced)
    setOwner(std::nullopt);
}

} // namespace rattancart
