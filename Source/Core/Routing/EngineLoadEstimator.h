#pragma once

#include "Core/Membership/Endpoint.h"

#include <cstdint>
#include <unordered_map>

namespace rattancart {

/// Estimates the load of engines: corrects their delayed load reports by the sequences that this
/// router has started and ended since. Not thread-safe.
class EngineLoadEstimator {
public:
  /// Records that a sequence of this router has started on the engine.
  void onSequenceStarted(const Endpoint &Engine);
  /// Records that a sequence of this router has ended on the engine. Ignored if none is counted.
  void onSequenceEnded(const EndpointId &Engine);
  /// The number of this router's sequences on the engine.
  std::uint32_t inFlight(const EndpointId &Engine) const;
  /// The number of requests on the engine by its last report, adjusted by the sequences that this
  /// router has started and ended since. Never less than this router's own sequences.
  double estimate(const Endpoint &Engine) const;

private:
  struct Counts {
    std::uint32_t InFlight_ = 0;
    /// Sequences of this router in flight when the load report LoadSequence_ was first seen.
    std::uint32_t InFlightAtReport_ = 0;
    std::uint64_t LoadSequence_ = 0;
    Incarnation Incarnation_{0};
  };

  mutable std::unordered_map<EndpointId, Counts> Engines_;
};

} // namespace rattancart
