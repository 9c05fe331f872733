#pragma once

#include "Core/Layers/LayerPlanner.h"
#include "Core/Serving/EndpointRoster.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace rattancart {

/// A step of the recovery of a data centre that lost engines.
struct RecoveryEvent {
  enum class Kind : std::uint8_t {
    /// Engines that held layers were lost, and no recovery was under way.
    Lost,
    /// The data centre holds the whole model again. Reported only if it did not after the loss.
    Whole,
    /// The token capacity of before the loss is restored.
    Restored,
    /// The token capacity was not restored within a minute.
    GivenUp,
  };
  Kind Kind_ = Kind::Lost;
  /// Time since the first loss of this recovery.
  Duration Since_{};
  /// Time from the first loss until the model was whole; zero if it was whole all the time, nothing
  /// if it is not whole yet.
  std::optional<Duration> WholeAfter_;
  /// Engines lost so far.
  std::uint32_t Engines_ = 0;
  /// Token capacity before the loss and now; see tokensInFlight.
  double TokensBefore_ = 0;
  double Tokens_ = 0;
};

/// Measures how long a data centre takes, after it lost engines, until it holds the whole model and
/// until it has its token capacity of before again.
///
/// An engine is lost if it held layers and ends, restarts, leaves, falls silent or has its address
/// taken. Further losses before the end of a recovery extend it. The state is kept in memory only:
/// the next owner of the placement does not know of a recovery under way. Not thread-safe.
class RecoveryTracker {
public:
  /// Forgets everything, since this process does not own the placement any more.
  void reset();
  /// Takes the current state of the data centre's engines. Call it whenever they change and a few
  /// times a second.
  std::vector<RecoveryEvent> update(const LayeredModel &Model, const ServiceId &Service,
                                    const DataCenterId &DataCenter, const EndpointRoster &Roster,
                                    TimePoint Now);

private:
  struct Engine {
    Incarnation Run_{0};
    LayerRange Layers_;
    const EngineKind *Kind_ = nullptr;
    bool operator==(const Engine &) const = default;
  };
  using Layout = std::map<EndpointId, Engine>;
  struct Recovery {
    TimePoint Since_{};
    std::optional<Duration> WholeAfter_;
    std::uint32_t Engines_ = 0;
    double TokensBefore_ = 0;
  };

  static Layout currentLayout(const LayeredModel &Model, const ServiceId &Service,
                              const DataCenterId &DataCenter, const EndpointRoster &Roster,
                              TimePoint Now);
  RecoveryEvent event(RecoveryEvent::Kind Kind, TimePoint Now) const;

  Layout Layout_;
  double Tokens_ = 0;
  std::optional<Recovery> Recovery_;
};

} // namespace rattancart
