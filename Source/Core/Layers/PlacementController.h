#pragma once

#include "Core/Layers/LayerPlanner.h"
#include "Core/Layers/LossConfirmation.h"
#include "Core/Layers/ReassignmentTurn.h"
#include "Core/Serving/EndpointRoster.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rattancart {

/// An order to an engine to hold certain layers.
struct PlacementOrder {
  EndpointId Engine_;
  NetAddress Address_;
  LayerRange Layers_;
  FencingNumber Fence_{0};
  /// The number of orders that the engine had accepted when this one was decided. The engine
  /// refuses this order if it has accepted another one since.
  std::uint64_t ExpectedOrders_ = 0;
  /// Whether the order covers layers that no engine of the data centre holds.
  bool FillsGap_ = false;
  /// Whether it is one of the orders that assign all layers of the data centre from scratch.
  bool FromScratch_ = false;
  /// Whether streams that use the layers to be given up are cut off instead of finishing first.
  /// They continue on other engines after a pause.
  bool CutsStreams_ = false;
};

/// The data centre that orders are for, and what is known of the others.
struct PlacementScope {
  DataCenterId DataCenter_;
  /// The number of all data centres.
  std::size_t DataCenters_ = 1;
  /// The number of other data centres that hold the whole model now.
  std::size_t OthersWithWholeModel_ = 0;
};

/// The result of an order.
enum class OrderOutcome : std::uint8_t {
  /// The engine has begun to carry it out, or already holds these layers.
  Accepted,
  /// The engine refused it because it does not match the engine's state.
  Conflict,
  /// The engine has seen a higher fencing number.
  Fenced,
  /// It was not carried out and never will be.
  NotRun,
  /// Another endpoint, which has the engine's address now, refused it.
  WrongEndpoint,
  /// No answer: it may be carried out now, later, or never.
  Unknown,
};

/// Orders the engines of one data centre to hold layers while this process owns the placement.
///
/// Owners may change, freeze or be cut off, and orders may be carried out late. Therefore each
/// order carries the owner's fencing number and the number of orders that the engine had accepted
/// according to its last report, so that of two orders decided on the same state only one is
/// carried out. After an order without an answer, its engine gets no other until a newer report
/// shows whether it was carried out.
///
/// Engines may be replaced one after the other. An engine that takes over layers first finishes its
/// streams, which takes seconds. That costs nothing while other data centres have capacity for the
/// requests; otherwise the streams are cut off.
///
/// An engine that is only doubtful (see LossConfirmation) keeps its layers in the plan and gets no
/// order. Orders that assign all layers from scratch, or that interrupt streams, wait for other
/// data centres that do the same; see ReassignmentTurn. Not thread-safe.
class PlacementController {
public:
  /// Starts the ownership with a fencing number, or ends it.
  void setOwner(std::optional<FencingNumber> Fence);
  std::optional<FencingNumber> fence() const { return Fence_; }

  /// Returns the orders to send now. Call it at least once a second, whenever engines changed, and
  /// several times a second while there are doubtful engines.
  std::vector<PlacementOrder> tick(const LayeredModel &Model, const ServiceId &Service,
                                   const PlacementScope &Scope, const EndpointRoster &Roster,
                                   TimePoint Now);
  /// Reports the outcome of an order that tick returned. After WrongEndpoint, the caller also calls
  /// EndpointRoster::noteAddressTaken, so that the engine gets no further orders.
  void onOrderEnded(const PlacementOrder &Order, OrderOutcome Outcome, TimePoint Now);

  /// Whether an order is pending, so that engines should be polled often.
  bool hasPendingOrders() const { return !Pending_.empty(); }
  /// Silent engines that do not count as lost yet; they should be probed. Empty without ownership.
  std::vector<EndpointId> doubtfulEngines() const;
  /// The observation of a service's engines by this owner; null without ownership or before a tick.
  const LossConfirmation *losses(const ServiceId &Service) const;
  /// The same for the turn of the data centre to reassign its layers.
  const ReassignmentTurn *turn(const ServiceId &Service) const;
  /// Whether the states of other data centres should be up to date, since layers may have to be
  /// reassigned.
  bool needsOtherStates() const;

private:
  struct Pending {
    LayerRange Target_;
    Incarnation Run_{0};
    std::uint64_t ExpectedOrders_ = 0;
    /// When the answer or its absence was noticed; the epoch while the answer is awaited.
    TimePoint AnsweredAt_{};
    TimePoint SentAt_{};
    OrderOutcome Outcome_ = OrderOutcome::Unknown;
  };

  /// Whether an engine that answers may be assigned layers.
  bool isUsable(const EndpointRecord &Record, TimePoint Now) const;
  /// The number of engines of the data centre that may load at the same time without filling a gap;
  /// see loadsAtOnce.
  std::size_t copiesAtOnce(const LayeredModel &Model, const ServiceId &Service,
                           const PlacementScope &Scope, const EndpointRoster &Roster,
                           TimePoint Now) const;
  /// Whether planning should wait, since the engines have just started together and more of them
  /// may be about to appear.
  bool waitsForMoreEngines(const std::vector<PlannedEngine> &Engines, TimePoint Now);
  /// Whether an order has to wait for the data centre's turn. Turn tells whether it has it.
  static bool waitsForTurn(const LayerPlacement &Placement, LayerRange Held, bool Cuts, bool Turn);
  /// Whether a pending order no longer blocks its engine.
  bool isSettled(const Pending &Order, const EndpointRecord &Record, TimePoint Now) const;
  PlannedEngine plannedEngine(const LayeredModel &Model, const EndpointRecord &Record) const;

  std::optional<FencingNumber> Fence_;
  std::map<EndpointId, Pending> Pending_;
  /// Of the services that this owner places; empty without ownership.
  std::map<ServiceId, LossConfirmation> Losses_;
  std::map<ServiceId, ReassignmentTurn> Turns_;
  std::size_t EnginesSeen_ = 0;
  TimePoint EnginesChangedAt_{};
};

} // namespace rattancart
