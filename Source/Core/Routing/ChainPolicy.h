#pragma once

#include "Core/Routing/Chain.h"
#include "Core/Routing/ChainGraph.h"
#include "Core/Routing/OwnLoad.h"

#include <random>
#include <string>
#include <vector>

namespace rattancart {

/// What the choice of a chain may look at.
struct ChainQuery {
  const ChainGraph &Graph_;
  const OwnLoad &Load_;
  SequenceSize Size_;
  /// The hash that prefix caches know the prompt's beginning by; empty if there is none.
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
};

} // namespace rattancart
