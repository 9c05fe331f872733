#pragma once

#include "Core/Calls/RetryBudget.h"
#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstdint>
#include <unordered_map>

namespace rattancart {

struct RetryBudgetOptions {
  /// Time in which the counts fall to 1/e.
  Duration Memory_ = std::chrono::seconds(10);
  /// Repeats that a route may make in that time whatever its traffic.
  double Floor_ = 3;
};

/// One route's numbers for the state dump.
struct RetryUsage {
  std::uint64_t Allowed_ = 0;
  std::uint64_t Refused_ = 0;
};

/// Lets each route repeat at most a percentage of its recent first attempts, plus a small floor.
/// Not thread-safe.
class TokenRetryBudget final : public RetryBudget {
public:
  explicit TokenRetryBudget(RetryBudgetOptions Options = {}) : Options_(Options) {}

  /// Counts a first attempt; repeats never count as such.
  void onFirstAttempt(const RouteId &Route, std::uint32_t Percent, TimePoint Now) override;
  /// Spends one repeat if the route has one left.
  bool tryConsumeRetry(const RouteId &Route, TimePoint Now) override;
  RetryUsage usage(const RouteId &Route) const;

private:
  struct Counts {
    double Attempts_ = 0;
    double Retries_ = 0;
    std::uint32_t Percent_ = 0;
    TimePoint At_{};
    RetryUsage Usage_;
  };
  Counts &decayed(const RouteId &Route, TimePoint Now);

  RetryBudgetOptions Options_;
  std::unordered_map<RouteId, Counts> Routes_;
};

} // namespace rattancart
