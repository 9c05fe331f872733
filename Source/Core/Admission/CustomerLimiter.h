#pragma once

#include "Core/Admission/AdmissionTypes.h"
#include "Core/Admission/TokenBucket.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rattancart {

/// The refusal of a request that exceeds its customer's limits.
struct LimitRefusal {
  /// The time after which the request would be within the limits.
  Duration RetryAfter_{};
};

/// The figures of one customer in the state dump.
struct CustomerUsage {
  CustomerId Customer_;
  double Share_ = 0;
  std::uint32_t Concurrent_ = 0;
  std::uint64_t Admitted_ = 0;
  std::uint64_t Refused_ = 0;
};

/// Enforces this process's share of each customer's limits: requests per second, tokens per second
/// and concurrent requests.
///
/// A share of the concurrent requests is rounded up to a whole request. The burst of a rate is what
/// it allows in one second, but at least one. Not thread-safe.
class CustomerLimiter {
public:
  /// Applies the limits of a settings view. A null view has no limits.
  void setLimits(SettingsViewPtr View, TimePoint Now);
  /// Sets this process's shares. Customers that are not listed get Default.
  void setShares(const std::vector<CustomerShare> &Shares, double Default, TimePoint Now);

  /// Counts a request with its expected tokens against the limits. Returns the refusal if the
  /// request exceeds them.
  std::optional<LimitRefusal> acquire(const CustomerId &Customer, double Tokens, TimePoint Now);
  /// Ends a request that acquire accepted. Produced replaces the tokens that were expected.
  void release(const CustomerId &Customer, double Expected, double Produced);
  /// The weight of the customer in a fair queue. Positive.
  double weightOf(const CustomerId &Customer) const;

  /// The rates at which customers sent requests since the last call, refused requests included.
  /// Customers that sent none are left out. Their state is discarded once they have no open request
  /// and their rates are back at the full burst.
  std::vector<CustomerDemand> takeDemand(TimePoint Now);
  std::vector<CustomerUsage> usage() const;
  std::size_t size() const { return Customers_.size(); }

private:
  struct Customer {
    /// Zero: any number of concurrent requests.
    TokenBucket Requests_;
    TokenBucket Tokens_;
    double Share_ = 1;
    std::uint32_t MaxConcurrent_ = 0;
    std::uint32_t Concurrent_ = 0;
    std::uint64_t Admitted_ = 0;
    std::uint64_t Refused_ = 0;
    double RequestedCount_ = 0;
    double RequestedTokens_ = 0;
  };
  Customer &customer(const CustomerId &Id, TimePoint Now);
  void configure(const CustomerId &Id, Customer &Entry, TimePoint Now) const;
  double shareOf(const CustomerId &Id) const;

  SettingsViewPtr View_;
  std::unordered_map<CustomerId, double> Shares_;
  double DefaultShare_ = 1;
  std::unordered_map<CustomerId, Customer> Customers_;
  TimePoint DemandSince_{};
};

} // namespace rattancart
