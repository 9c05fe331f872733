#pragma once

#include "Core/Serving/EndpointRoster.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rattancart {

/// What the placement of layers may assume of an engine.
enum class EngineStanding : std::uint8_t {
  /// It holds its layers and may get orders.
  Present,
  /// It is silent, but not for long enough to count as lost: it holds its layers and gets no order.
  Doubtful,
  /// Its layers are missing.
  Lost,
};

/// The end of a doubt.
struct DoubtOutcome {
  EndpointId Engine_;
  /// Whether the engine counts as lost now; otherwise it answers.
  bool Lost_ = false;
  /// Time since the engine fell silent.
  Duration Silent_{};
};

/// Planning was suspended or continues.
struct PlanningChange {
  bool Suspended_ = false;
  /// Engines of the data centre that are silent although the list shows them as live, and all that
  /// the list shows as live.
  std::size_t Silent_ = 0;
  std::size_t Engines_ = 0;
  /// How long planning was suspended; zero when the suspension begins.
  Duration Lasted_{};
};

/// Decides for the owner of a placement which engines of its data centre count as lost, and whether
/// it may give orders at all.
///
/// A silent engine counts as lost once it has been silent for a while in which this process
/// provably received something from another endpoint. An engine whose entry is gone or leaving, or
/// that refuses connections, counts as lost at once. If many engines fall silent within a second
/// while the list still shows them, the fault is more probably on this process's side, so planning
/// is suspended until most of them answer again or leave the list, for 2 s at most.
///
/// One object observes the engines of one service in one data centre. A new owner starts a new
/// object, so silence from before its ownership counts from the first update. Not thread-safe.
class LossConfirmation {
public:
  /// Takes the current state of all engines. Call it before standing and suspended, at every change
  /// and, while any engine is doubtful, several times a second: a silence does not count across a
  /// longer pause of the process.
  void update(const ServiceId &Service, const DataCenterId &DataCenter,
              const EndpointRoster &Roster, TimePoint Now);
  /// Precondition: Record is of the roster and time of the last update.
  EngineStanding standing(const EndpointRecord &Record, TimePoint Now) const;
  /// Whether no orders may be given.
  bool suspended() const { return SuspendedSince_.has_value(); }
  /// The suspension that the last update began or ended, if any.
  const std::optional<PlanningChange> &planningChange() const { return Change_; }
  /// Silent engines that do not count as lost yet. A probe shows whether they work.
  const std::vector<EndpointId> &doubtfulEngines() const { return Doubtful_; }
  /// The doubts that the last update ended.
  const std::vector<DoubtOutcome> &endedDoubts() const { return Ended_; }

private:
  struct Silence {
    /// The latest of: the engine's last sign of life, the first unanswered probe, and the start of
    /// this observation.
    TimePoint Since_{};
    /// From when on it counts: later than Since_ if this process received nothing for a while.
    TimePoint CountsFrom_{};
    /// When it counts as a loss whatever was received.
    TimePoint LossAt_{};
    /// Whether something was received from another endpoint after Since_.
    bool HeardOthers_ = false;
  };

  void updateSilences(const ServiceId &Service, const DataCenterId &DataCenter,
                      const EndpointRoster &Roster, TimePoint Now);
  void updateSuspension(const ServiceId &Service, const DataCenterId &DataCenter,
                        const EndpointRoster &Roster, TimePoint Now);

  std::map<EndpointId, Silence> Silences_;
  std::vector<EndpointId> Doubtful_;
  std::vector<DoubtOutcome> Ended_;
  std::optional<TimePoint> StartedAt_;
  TimePoint UpdatedAt_{};
  std::optional<TimePoint> SuspendedSince_;
  /// When the last suspension ended; the epoch if there was none.
  TimePoint SuspensionEndedAt_{};
  std::optional<PlanningChange> Change_;
};

} // namespace rattancart
