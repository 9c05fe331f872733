#pragma once

#include "Core/Calls/RetryBudget.h"
#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstdint>
#include <unordered_map>

namespace rattancart {

struct RetryBudgetOptions {
  /// Time in which the counts decay to 1/e.
  Duration DecayTime_ = std::chrono::seconds(10);
  /// Retries that a route may make in that time regardless of its traffic.
  double MinRetries_ = 3;
};

/// The numbers of allowed and refused retries of one route, for the state dump.
struct RetryUsage {
  std::uint64_t Allowed_ = 0;
  std::uint64_t Refused_ = 0;
};

/// Lets each route retry at most a percentage of its recent first attempts, plus a small fixed
/// number. Not thread-safe.
class RouteRetryBudget final : public RetryBudget {
public:
  explicit RouteRetryBudget(RetryBudgetOptions Options = {}) : Options_(Options) {}

  /// Counts a first attempt; retries must not be counted here.
  void onFirstAttempt(const RouteId &Route, std::uint32_t Percent, TimePoint Now) override;
  /// Whether the route has a retry left; takes it if so.
  bool tryConsumeRetry(const RouteId &Route, TimePoint Now) override;
  RetryUsage usage(const RouteId &Route) const;

private:
  struct Counts {
    double FirstAttempts_ = 0;
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
