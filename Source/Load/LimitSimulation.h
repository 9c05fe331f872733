#pragma once

#include "Load/Experiment.h"

namespace rattancart {

/// Requests that were admitted over all instances, by the customer's limit.
struct LimitResult {
  /// Over the whole run.
  double MeanPart_ = 0;
  /// In the worst window of ten seconds.
  double WorstPart_ = 0;
};

/// How the limit is divided.
enum class ShareMode : std::uint8_t {
  /// The product's: by demand, moved each second.
  Demand,
  /// An equal part for each router; a baseline.
  Equal,
  /// Every router enforces the whole limit; a baseline.
  Whole,
};

/// Offers one customer's requests to few routers at a time while the data centres are joined or
/// all cut off from each other. The same seed gives the same result.
LimitResult simulateLimits(const Experiment &Setup, ShareMode Mode, bool CutOff);

} // namespace rattancart
