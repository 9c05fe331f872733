#pragma once

#include "Core/Membership/Endpoint.h"

#include <cstdint>
#include <unordered_map>

namespace rattancart {

/// The sequences that this router has on each engine, which corrects load reports that lag.
/// Not thread-safe.
class EngineLoadEstimator {
public:
  /// A sequence started on the engine.
  void onSequenceStarted(const Endpoint &Engine);
  /// A sequence ended on the engine. Ignored if none is counted.
  void onSequenceEnded(const EndpointId &Engine);
  /// Sequences of this router on the engine.
  std::uint32_t inFlight(const EndpointId &Engine) const;
  /// Requests on the engine by its last report, with what this router added and took away since
  /// it; never less than this router's own sequences.
  double estimate(const Endpoint &Engine) const;

private:
  struct Counts {
    std::uint32_t InFlight_ = 0;
    /// Sequences in flight when the report LoadSequence_ was first seen.
    std::uint32_t AtReport_ = 0;
    std::uint64_t LoadSequence_ = 0;
    Incarnation Incarnation_{0};
  };

  mutable std::unordered_map<EndpointId, Counts> Engines_;
};

} // namespace rattancart
