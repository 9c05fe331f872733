#pragma once

#include "Load/Experiment.h"

#include <cstdint>

namespace rattancart {

enum class RetryMode : std::uint8_t {
  /// As the routers do it: retry budget and circuit breakers.
  Budget,
  /// Each failed call is retried up to its maximum of attempts; a baseline.
  Unbounded,
};

/// Figures of the second half of the run, when some endpoints are dead.
struct CallResult {
  /// Mean requests sent to endpoints per call.
  double SentPerCall_ = 0;
  /// Mean requests per second sent to each dead endpoint.
  double SentPerSecondToEachDead_ = 0;
  double SucceededFraction_ = 0;
  /// As above, for the first second after the endpoints died.
  double FirstSecondSentPerCall_ = 0;
  double FirstSecondSucceededFraction_ = 0;
};

/// Simulates idempotent calls to endpoints picked at random; some of these die in the middle of the
/// run. The same seed gives the same result.
CallResult simulateCalls(const Experiment &Setup, RetryMode Mode);

} // namespace rattancart
