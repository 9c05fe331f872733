#pragma once

#include "Core/Layers/LayerPlanner.h"
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
  /// Orders that the engine had accepted when the order was decided; it refuses the order if it
  /// has accepted another since.
  std::uint64_t ExpectedOrders_ = 0;
  bool FillsGap_ = false;
  /// Streams that pass through layers given up are cut off, instead of finishing first. They go on
  /// elsewhere after a pause.
  bool CutsStreams_ = false;
};

/// The data centre that orders are for, among all.
struct PlacementScope {
  DataCenterId Place_;
  std::size_t DataCenters_ = 1;
  /// Other data centres that hold the whole model now.
  std::size_t OthersWithWholeModel_ = 0;
};

/// What became of an order.
enum class OrderOutcome : std::uint8_t {
  /// Begun, or the state already holds.
  Accepted,
  /// It does not fit the engine's state.
  Conflict,
  /// The engine has seen a higher fencing number.
  Fenced,
  /// Not carried out and never will be.
  NotRun,
  /// No answer: it may be carried out now, later, or never.
  Unknown,
};

/// Orders the engines of one data centre to hold layers, as long as this process owns that.
///
/// Answers owners that change, freeze or are cut off, and orders that are carried out late: each
/// order names the owner's fencing number and the count of orders that the engine was last seen
/// with, so that of two orders decided on the same state only one is carried out. An order without
/// an answer blocks its engine until a newer report shows what became of it.
///
/// Answers engines that are replaced one after the other: an engine that takes layers over first
/// finishes its streams, which takes seconds. While other data centres have room for the requests,
/// that costs nothing; while they don't, the streams are cut off. Not thread-safe.
class PlacementController {
public:
  /// Takes the ownership up under a fencing number, or gives it up.
  void setOwner(std::optional<FencingNumber> Fence);
  std::optional<FencingNumber> fence() const { return Fence_; }

  /// Orders to send now. Call it at least each second, and whenever engines changed.
  std::vector<PlacementOrder> tick(const LayeredModel &Model, const ServiceId &Service,
                                   const PlacementScope &Scope, const EndpointRoster &Roster,
                                   TimePoint Now);
  /// Reports the outcome of an order of tick.
  void onOrderEnded(const PlacementOrder &Order, OrderOutcome Outcome, TimePoint Now);

  /// Whether engines should be asked often: an order is under way.
  bool hasPendingOrders() const { return !Pending_.empty(); }

private:
  struct Pending {
    LayerRange Target_;
    Incarnation Run_{0};
    std::uint64_t ExpectedOrders_ = 0;
    /// When the outcome, or the lack of it, was noticed; the epoch while the order is on its way.
    TimePoint AnsweredAt_{};
    TimePoint SentAt_{};
    OrderOutcome Outcome_ = OrderOutcome::Unknown;
  };

  /// Whether an engine can be planned with.
  bool isUsable(const EndpointRecord &Record, TimePoint Now) const;
  /// Whether the engines have just started together and more of them may be about to appear.
  bool gathering(const std::vector<PlannedEngine> &Engines, TimePoint Now);
  bool settled(const Pending &Order, const EndpointRecord &Record, TimePoint Now) const;
  PlannedEngine plannedEngine(const LayeredModel &Model, const EndpointRecord &Record) const;

  std::optional<FencingNumber> Fence_;
  std::map<EndpointId, Pending> Pending_;
  std::size_t EnginesSeen_ = 0;
  TimePoint EnginesChangedAt_{};
};

} // namespace rattancart
