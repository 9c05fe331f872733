#pragma once

#include "Load/Experiment.h"

#include <cstdint>

namespace rattancart {

enum class RetryMode : std::uint8_t {
  /// The product's: retry budget and circuit breakers.
  Budget,
  /// Each failed call is repeated up to its attempts; a baseline.
  Unbounded,
};

/// Figures of the second half of the run, when the endpoints are dead.
struct CallResult {
  /// Requests sent to endpoints for each call.
  double SentPerCall_ = 0;
  /// Requests sent to each dead endpoint a second.
  double ToDeadPerSecond_ = 0;
  double SucceededPart_ = 0;
  /// As above, over the first second after the death.
  double FirstSecondSent_ = 0;
  double FirstSecondSucceeded_ = 0;
};

/// Sends idempotent calls to endpoints picked at random, of which some die in the middle.
/// The same seed gives the same result.
CallResult simulateCalls(const Experiment &Setup, RetryMode Mode);

} // namespace rattancart
