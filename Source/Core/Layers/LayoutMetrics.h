#pragma once

#include "Core/Layers/LayerPlanner.h"

#include <optional>
#include <vector>

namespace rattancart {

/// The number of tokens that a layout can hold in flight at once: the largest number that, at each
/// layer, fits into the engines that hold the layer. This is a maximum flow from layers to engines.
/// As each engine holds one range, a greedy algorithm finds it that fills, at each layer, the
/// engine whose range ends first. 0 if no engine holds some layer. Thread-safe.
///
/// Precondition: Kind_ of each engine is not null.
double tokensInFlight(const LayeredModel &Model, const std::vector<PlannedEngine> &Engines);

/// An upper bound of tokensInFlight for all layouts of these engines: all memory beside one copy of
/// the model, evenly used. Thread-safe.
double tokensInFlightBound(const LayeredModel &Model, const std::vector<PlannedEngine> &Engines);

/// The time that one request takes for one token on the fastest path of idle engines; nothing if
/// there is no path. Thread-safe.
std::optional<Duration> tokenTime(const LayeredModel &Model,
                                  const std::vector<PlannedEngine> &Engines);

/// The number of engines of which each can be lost while the others still hold all layers.
/// Thread-safe.
std::size_t countRedundantEngines(const LayeredModel &Model,
                                  const std::vector<PlannedEngine> &Engines);

/// What remains of a layout after the joint loss of three engines, over all sets of three.
struct LossEffect {
  /// Layers that no engine holds any more: in the worst case and on average.
  std::uint32_t MostUncovered_ = 0;
  double MeanUncovered_ = 0;
  /// The least token capacity of a layer, in tokens: in the worst case and on average.
  double LeastTokens_ = 0;
  double MeanLeastTokens_ = 0;
};

/// The effect of a loss of any three engines. Zero if there are fewer. Thread-safe.
LossEffect lossOfThreeEngines(const LayeredModel &Model, const std::vector<PlannedEngine> &Engines);

/// MeanUncovered_ of lossOfThreeEngines, from the number of copies of each layer alone, so that it
/// costs little with many engines. Zero if there are fewer than three. Thread-safe.
double meanUncoveredAfterThreeLosses(const LayeredModel &Model,
                                     const std::vector<PlannedEngine> &Engines);

/// Simple layouts to compare plans with.
enum class Baseline : std::uint8_t {
  /// One path of the fastest engines, each with the planned token capacity; the others stay empty.
  OnePath,
  /// The same number of layers for each engine that can hold them.
  EqualSplit,
  /// From the fastest engine to the slowest, each holds as many layers as its memory allows; after
  /// the last layer the next engine continues with the first.
  GreedyBySpeed,
};

/// Assigns the layers of the model to empty engines. Thread-safe.
std::vector<PlannedEngine> makeBaselineLayout(Baseline Kind, const LayeredModel &Model,
                                              std::vector<PlannedEngine> Engines);

} // namespace rattancart
