#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstdint>

namespace rattancart {

/// Limits how often calls are retried, so that failing endpoints don't multiply the load.
/// Not thread-safe.
class RetryBudget {
public:
  virtual ~RetryBudget() = default;
  /// Counts the first attempt of a call. Percent: the retries allowed per hundred first attempts.
  virtual void onFirstAttempt(const RouteId &Route, std::uint32_t Percent, TimePoint Now) = 0;
  /// Consumes one retry from the budget; false if none is left.
  virtual bool tryConsumeRetry(const RouteId &Route, TimePoint Now) = 0;
};

} // namespace rattancart
