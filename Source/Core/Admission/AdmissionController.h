#pragma once

#include "Core/Admission/AdmissionTypes.h"
#include "Core/Admission/ConcurrencyLimit.h"
#include "Core/Admission/CustomerLimiter.h"
#include "Core/Admission/FairQueue.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace rattancart {

struct AdmissionOptions {
  QueueOrder Order_ = QueueOrder::Fair;
  /// The maximum number of requests that wait for one pool.
  std::size_t MaxQueued_ = 1024;
  /// The waiting time that raises a request by one priority class.
  Duration AgeingStep_ = std::chrono::seconds(10);
  /// Whether a request that is expected to miss its deadline is refused at once.
  bool RefuseEarly_ = true;
  /// The fraction of the time until the deadline that the expected waiting and service time may
  /// use.
  double UsableDeadlineFraction_ = 0.85;
  /// Creates the concurrency limit of a new pool.
  std::function<std::unique_ptr<ConcurrencyLimit>(const PoolId &)> MakeLimit_ = [](const PoolId &) {
    return makeAdaptiveConcurrency({});
  };
};

/// The figures of one pool in the state dump.
struct PoolUsage {
  PoolId Pool_;
  double Limit_ = 0;
  std::size_t InFlight_ = 0;
  std::size_t Queued_ = 0;
  /// The mean service time of a request for each unit of its cost, in seconds; zero until a request
  /// has succeeded.
  double SecondsPerCost_ = 0;
  /// The mean absolute deviation from SecondsPerCost_, in seconds.
  double MeanDeviation_ = 0;
  std::uint64_t Admitted_ = 0;
  std::uint64_t RefusedLimit_ = 0;
  std::uint64_t RefusedEarly_ = 0;
  std::uint64_t RefusedFull_ = 0;
  std::uint64_t Expired_ = 0;
};

/// Decides for each request of one process whether it runs now, waits or is refused.
///
/// A request is checked against its customer's limits first and against the concurrency limit of
/// its pool second. A request that exceeds the pool's limit waits in the pool's fair queue, unless
/// the service times that were observed imply that it would miss its deadline. Each ticket ends
/// with finish, cancel or as a dropped request of processQueues. Not thread-safe.
class AdmissionController {
public:
  explicit AdmissionController(AdmissionOptions Options);

  /// Applies the customers' limits of a settings view.
  void setView(SettingsViewPtr View, TimePoint Now);
  /// Sets this process's share of each customer's limits. Customers that are not listed get
  /// Default.
  void setShares(const std::vector<CustomerShare> &Shares, double Default, TimePoint Now);
  /// Sets the capacity of a pool's endpoints that this process may use, in requests; zero if it is
  /// not known.
  void setCapacity(const PoolId &Pool, double Slots);

  /// Decides on a new request. Precondition: Request.Cost_ is positive.
  AdmissionDecision submit(const AdmissionRequest &Request, TimePoint Now);
  /// Ends an admitted request. An unknown ticket is ignored.
  void finish(AdmissionTicket Ticket, const AdmissionOutcome &Outcome, TimePoint Now);
  /// Ends a waiting or admitted request whose caller has gone. An unknown ticket is ignored.
  void cancel(AdmissionTicket Ticket, TimePoint Now);
  /// Admits waiting requests for which there is capacity now, and drops those that can no longer
  /// meet their deadline. Call it after finish, cancel and setCapacity, and at least every 100 ms.
  QueueUpdate processQueues(TimePoint Now);

  /// The customers' demand since the last call; see CustomerLimiter::takeDemand.
  std::vector<CustomerDemand> takeDemand(TimePoint Now) { return Limiter_.takeDemand(Now); }
  std::vector<PoolUsage> pools() const;
  std::vector<CustomerUsage> customers() const { return Limiter_.usage(); }
  /// The number of waiting requests, over all pools.
  std::size_t queued() const;
  /// The number of requests that were admitted and have not ended, over all pools.
  std::size_t inFlight() const;

private:
  struct PoolState {
    FairQueue Queue_;
    std::unique_ptr<ConcurrencyLimit> Limit_;
    std::size_t InFlight_ = 0;
    PoolUsage Usage_;
  };
  struct Entry {
    AdmissionRequest Request_;
    TimePoint StartedAt_{};
    bool Admitted_ = false;
  };

  PoolState &pool(const PoolId &Id);
  bool hasCapacity(const PoolState &Pool) const;
  /// The service time that few requests of this cost exceed.
  Duration serviceTime(const PoolState &Pool, double Cost) const;
  Duration expectedWait(const PoolState &Pool, const AdmissionRequest &Request,
                        TimePoint Now) const;
  AdmissionDecision enqueue(PoolState &Pool, const AdmissionRequest &Request, TimePoint Now);
  /// Admits a request that has not waited.
  AdmissionTicket admit(PoolState &Pool, const AdmissionRequest &Request, TimePoint Now);
  /// Forgets a request that has left its queue unserved.
  void discard(PoolState &Pool, AdmissionTicket Ticket, std::error_code Reason);

  AdmissionOptions Options_;
  CustomerLimiter Limiter_;
  std::map<PoolId, PoolState> Pools_;
  std::unordered_map<AdmissionTicket, Entry> Entries_;
  /// Requests displaced from a full queue that processQueues has yet to report.
  std::vector<DroppedRequest> PendingDrops_;
  AdmissionTicket LastTicket_{};
};

} // namespace rattancart
