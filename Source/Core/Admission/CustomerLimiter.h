#pragma once

#include "Core/Admission/AdmissionTypes.h"
#include "Core/Admission/TokenBucket.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace rattancart {

/// Why a customer's request is over its limit, as the time until it would not be.
struct LimitRefusal {
  Duration RetryAfter_{};
};

/// One customer's numbers for the state dump.
struct CustomerUsage {
  CustomerId Customer_;
  double Share_ = 0;
  std::uint32_t Concurrent_ = 0;
  std::uint64_t Admitted_ = 0;
  std::uint64_t Refused_ = 0;
};

/// Holds each customer to this process's share of its limits: requests and tokens a second, and
/// requests at once.
///
/// A share of the requests at once is rounded up to a whole request, and a rate may be saved up
/// for one second or one request, whichever is more. Not thread-safe.
class CustomerLimiter {
public:
  /// Takes the limits of a settings view. A null view has no limits.
  void setLimits(SettingsViewPtr View, TimePoint Now);
  /// Takes this process's shares; customers that are not listed get Default.
  void setShares(const std::vector<CustomerShare> &Shares, double Default, TimePoint Now);

  /// Counts the request against the limits, or says when it may be tried again.
  std::optional<LimitRefusal> acquire(const CustomerId &Customer, double Tokens, TimePoint Now);
  /// Ends a request that entered. Produced replaces the tokens that were expected.
  void release(const CustomerId &Customer, double Expected, double Produced);
  /// The weight of the customer in a fair queue. Positive.
  double weightOf(const CustomerId &Customer) const;

  /// What customers asked for since the last call, refused requests included, as rates; customers
  /// without requests are left out, and forgotten if nothing of theirs is open.
  std::vector<CustomerDemand> takeDemand(TimePoint Now);
  std::vector<CustomerUsage> usage() const;
  std::size_t size() const { return Customers_.size(); }

private:
  struct Customer {
    TokenBucket Requests_;
    TokenBucket Tokens_;
    double Share_ = 1;
    std::uint32_t Allowed_ = 0;
    std::uint32_t Concurrent_ = 0;
    std::uint64_t Admitted_ = 0;
    std::uint64_t Refused_ = 0;
    double AskedRequests_ = 0;
    double AskedTokens_ = 0;
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
