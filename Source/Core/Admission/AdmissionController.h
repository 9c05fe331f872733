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
  /// Requests that may wait for one pool.
  std::size_t MaxQueued_ = 1024;
  /// A waiting request rises by one class each such time.
  Duration AgeingStep_ = std::chrono::seconds(10);
  /// Whether a request that can't be served by its deadline is refused at once.
  bool RefuseEarly_ = true;
  /// The part of the time to the deadline that the expected wait and service may fill.
  double DeadlineMargin_ = 0.85;
  /// Makes the bound of a new pool.
  std::function<std::unique_ptr<ConcurrencyLimit>(const PoolId &)> MakeLimit_ = [](const PoolId &) {
    return makeAdaptiveConcurrency({});
  };
};

/// One pool's numbers for the state dump.
struct PoolUsage {
  PoolId Pool_;
  double Limit_ = 0;
  std::size_t InFlight_ = 0;
  std::size_t Queued_ = 0;
  /// Time that one unit of cost takes at one request, in seconds; zero if not yet known.
  double SecondsPerCost_ = 0;
  /// The mean deviation from it, in seconds.
  double Deviation_ = 0;
  std::uint64_t Admitted_ = 0;
  std::uint64_t RefusedLimit_ = 0;
  std::uint64_t RefusedEarly_ = 0;
  std::uint64_t RefusedFull_ = 0;
  std::uint64_t Expired_ = 0;
};

/// Decides for each request of one process: run now, wait or be refused.
///
/// Customers' limits come first, then the pool's bound; what does not fit waits in the pool's fair
/// queue, unless the wait that the pool's observed rate implies would pass its deadline. Each
/// ticket ends by finished, cancel or an expiry from processQueues. Not thread-safe.
class AdmissionController {
public:
  explicit AdmissionController(AdmissionOptions Options);

  /// Takes the limits of a settings view.
  void setView(SettingsViewPtr View, TimePoint Now);
  /// Takes this process's share of each customer's limits; the others get Default.
  void setShares(const std::vector<CustomerShare> &Shares, double Default, TimePoint Now);
  /// The capacity of a pool's endpoints that this process may use, if known.
  void setCapacity(const PoolId &Pool, double Slots);

  /// Decides on a new request. Precondition: Cost_ is positive.
  AdmissionDecision submit(const AdmissionRequest &Request, TimePoint Now);
  /// Ends an admitted request. An unknown ticket is ignored.
  void finish(AdmissionTicket Ticket, const AdmissionOutcome &End, TimePoint Now);
  /// The caller of a waiting or admitted request went away. An unknown ticket is ignored.
  void cancel(AdmissionTicket Ticket, TimePoint Now);
  /// Admits waiting requests that fit now and gives up those that no longer can be served. Call
  /// after finished, cancel and setCapacity, and at least each 100 ms.
  QueueUpdate processQueues(TimePoint Now);

  /// What customers asked for since the last call.
  std::vector<CustomerDemand> takeDemand(TimePoint Now) { return Limiter_.takeDemand(Now); }
  std::vector<PoolUsage> pools() const;
  std::vector<CustomerUsage> customers() const { return Limiter_.usage(); }
  /// Requests that wait, over all pools.
  std::size_t queued() const;
  /// Requests that were admitted and have not ended.
  std::size_t inFlight() const;

private:
  struct Pool {
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

  Pool &pool(const PoolId &Id);
  bool hasRoom(const Pool &Where) const;
  /// A time that few requests of the cost exceed once they are admitted.
  Duration serviceTime(const Pool &Where, double Cost) const;
  Duration expectedWait(const Pool &Where, const AdmissionRequest &Request, TimePoint Now) const;
  AdmissionDecision enqueue(Pool &Where, const AdmissionRequest &Request, TimePoint Now);
  AdmissionTicket start(Pool &Where, const AdmissionRequest &Request, TimePoint Now);
  void giveUp(Pool &Where, AdmissionTicket Ticket, std::error_code Why);

  AdmissionOptions Options_;
  CustomerLimiter Limiter_;
  std::map<PoolId, Pool> Pools_;
  std::unordered_map<AdmissionTicket, Entry> Entries_;
  std::vector<DroppedRequest> Displaced_;
  AdmissionTicket LastTicket_{};
};

} // namespace rattancart
