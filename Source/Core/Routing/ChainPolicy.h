#pragma once

#include "Core/Routing/Chain.h"
#include "Core/Routing/ChainGraph.h"
#include "Core/Routing/EngineLoadEstimator.h"

#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace rattancart {

/// The input for the choice of a chain.
struct ChainQuery {
  const ChainGraph &Graph_;
  const EngineLoadEstimator &Load_;
  SequenceSize Size_;
  /// The hash of the prompt's beginning, under which engines cache it; empty if there is none.
  std::string Prefix_;
};

/// Chooses one chain of a graph. Not thread-safe.
class ChainPolicy {
public:
  virtual ~ChainPolicy() = default;
  /// The engines in the order of their layers; together they cover all layers once.
  /// Precondition: the graph is not empty.
  virtual std::vector<const Endpoint *> choose(const ChainQuery &Query,
                                               std::mt19937_64 &Random) = 0;
  /// The number of routers that send to the same engines, this one included. At least 1.
  virtual void setRouterCount(std::size_t Count) { static_cast<void>(Count); }
};

} // namespace rattancart
