#pragma once

#include "Core/Serving/EndpointRoster.h"

#include <map>
#include <optional>

namespace rattancart {

/// What is known of a data centre that lacks layers.
struct LackingDataCenter {
  /// Since when it is known to lack a layer.
  TimePoint Since_{};
  /// Since when some of its engines are known to load layers; nothing if none does.
  std::optional<TimePoint> LoadsSince_;
};

/// A data centre that may have to reassign its layers, and what its owner knows of the others.
struct ReassignmentQuestion {
  DataCenterId Home_;
  /// Since when Home lacks a layer, and since when its engines that answer do.
  TimePoint LackingSince_{};
  TimePoint UnservedSince_{};
  /// Whether no other data centre's name sorts before that of Home.
  bool IsFirst_ = true;
  /// The other data centres that lack layers.
  std::map<DataCenterId, LackingDataCenter> Others_;
};

/// Whether a data centre may assign its layers from scratch, or interrupt streams to close a gap.
///
/// It waits while another one that lacks layers loads some, and for those whose name sorts first
/// while they may be about to begin, but for 2 s at most. If several have waited that long, they
/// begin half a second after each other, in the order of their names. A data centre that is not the
/// first by name also waits until the states of the others show whether they lack layers too.
/// Thread-safe.
bool mayAssignFromScratch(const ReassignmentQuestion &Asked, TimePoint Now);

/// A data centre began to wait for its turn, or waits no longer.
struct TurnChange {
  bool Waits_ = false;
  /// How long it waited; zero when it begins to.
  Duration Waited_{};
  /// How many other data centres are known to lack layers.
  std::size_t Others_ = 0;
};

/// Follows, for the owner of a placement, which data centres lack layers of a model. Reassigning
/// all layers interrupts service, so data centres that need it do it one after the other.
///
/// The state is kept in memory only. Other data centres are known from the states that their owners
/// send; one whose states are late counts as whole. Not thread-safe.
class ReassignmentTurn {
public:
  /// Whether the data centre lacks a layer, and whether its engines that answer do.
  struct Gaps {
    bool Lacks_ = false;
    bool Unserved_ = false;
  };

  /// Takes the current state of all engines.
  void update(const LayeredModel &Model, const ServiceId &Service, const DataCenterId &Home,
              Gaps Own, const EndpointRoster &Roster, TimePoint Now);
  /// Whether Home may assign its layers from scratch or interrupt streams at the time of the last
  /// update.
  bool mayAssignFromScratch() const { return May_; }
  /// Whether the engines of Home that answer lack a layer.
  bool lacksLayers() const { return UnservedSince_.has_value(); }
  /// Orders of the last plan wait for the turn, or none does.
  void noteWaiting(bool Waits, TimePoint Now);
  /// The change that the last plan made, if any.
  const std::optional<TurnChange> &change() const { return Change_; }

private:
  std::map<DataCenterId, LackingDataCenter> Others_;
  std::optional<TimePoint> LackingSince_;
  std::optional<TimePoint> UnservedSince_;
  std::optional<TimePoint> WaitsSince_;
  std::optional<TurnChange> Change_;
  bool May_ = true;
};

} // namespace rattancart
