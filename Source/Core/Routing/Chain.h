#pragma once

#include "Core/Membership/Endpoint.h"

#include <cstdint>
#include <vector>

namespace rattancart {

/// One engine of a chain.
struct ChainStage {
  EndpointId Endpoint_;
  Incarnation Incarnation_{0};
  NetAddress Address_;
  LayerRange Layers_;
};

/// Engines of one model version whose layer ranges join to [0, layer count) with no gap or overlap.
struct Chain {
  std::vector<ChainStage> Stages_;
};

/// The size of the sequence for which a chain is planned.
struct SequenceSize {
  std::uint32_t PromptTokens_ = 1;
  /// Tokens still to be generated, as far as can be foreseen. Positive.
  std::uint32_t NewTokens_ = 64;
};

} // namespace rattancart
