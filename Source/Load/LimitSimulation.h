#pragma once

#include "Load/Experiment.h"

namespace rattancart {

/// Requests that all routers admitted, relative to the customer's limit.
struct LimitResult {
  /// Over the whole run.
  double MeanAdmittedRatio_ = 0;
  /// In the ten seconds with the most admitted requests.
  double MaxAdmittedRatio_ = 0;
};

/// How the limit is divided among the routers.
enum class ShareMode : std::uint8_t {
  /// As the controls do it: by demand, updated every second.
  Demand,
  /// An equal share for each router; a baseline.
  Equal,
  /// Every router enforces the whole limit; a baseline.
  Whole,
};

/// Simulates one customer's requests to a few routers at a time. If CutOff is true, the data
/// centres can't reach each other. The same seed gives the same result.
LimitResult simulateLimits(const Experiment &Setup, ShareMode Mode, bool CutOff);

} // namespace rattancart
