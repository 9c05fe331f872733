#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstdint>

namespace rattancart {

/// Bounds the repeats of calls, so that failing endpoints don't multiply the load.
/// Not thread-safe.
class RetryBudget {
public:
  virtual ~RetryBudget() = default;
  /// Counts the first attempt of a call. Percent: repeats allowed for each hundred first attempts.
  virtual void onFirstAttempt(const RouteId &Route, std::uint32_t Percent, TimePoint Now) = 0;
  /// Whether one more repeat may be made now; spends it if so.
  virtual bool tryConsumeRetry(const RouteId &Route, TimePoint Now) = 0;
};

} // namespace rattancart
