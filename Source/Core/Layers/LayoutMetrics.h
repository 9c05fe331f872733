#pragma once

#include "Core/Layers/LayerPlanner.h"

#include <optional>
#include <vector>

namespace rattancart {

/// Tokens that may be in flight at once in a layout: the largest number for which each layer finds
/// room for it at the engines that hold it. The maximum flow from layers to engines; as engines
/// hold ranges, filling at each layer the engine whose range ends first finds it. 0 if some layer
/// is held by no engine. Thread-safe.
///
/// Precondition: Kind_ of each engine is not null.
double tokensInFlight(const LayeredModel &Model, const std::vector<PlannedEngine> &Engines);

/// What no layout of these engines exceeds: all memory beside one copy of the model, evenly used.
/// Thread-safe.
double tokensInFlightBound(const LayeredModel &Model, const std::vector<PlannedEngine> &Engines);

/// Time of one token of one request on the fastest path, on idle engines; nothing if there is no
/// path. Thread-safe.
std::optional<Duration> tokenTime(const LayeredModel &Model,
                                  const std::vector<PlannedEngine> &Engines);

/// Engines that can each be lost without a layer that nobody holds. Thread-safe.
std::size_t countRedundantEngines(const LayeredModel &Model,
                                  const std::vector<PlannedEngine> &Engines);

/// Layouts to compare plans with.
enum class Baseline : std::uint8_t {
  /// Engines by speed, each with the room of a plan, until the model is whole; the rest is empty.
  OnePath,
  /// The same number of layers for each engine that can hold them.
  EqualSplit,
  /// The fastest engines hold all that their memory bears, and so on down; the rest begins anew.
  GreedyBySpeed,
};

/// Lays the model out over empty engines. Thread-safe.
std::vector<PlannedEngine> makeBaselineLayout(Baseline Kind, const LayeredModel &Model,
                                              std::vector<PlannedEngine> Engines);

} // namespace rattancart
