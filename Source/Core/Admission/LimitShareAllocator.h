#pragma once

#include "Core/Admission/AdmissionTypes.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace rattancart {

struct LimitShareAllocatorOptions {
  /// The data centre of this control process.
  DataCenterId DataCenter_;
  /// All data centres of the deployment, this one included.
  std::vector<DataCenterId> DataCenters_;
  /// The fraction of a limit that is divided evenly instead of by demand, so that a customer can
  /// start sending to any router at once.
  double ReservedFraction_ = 0.1;
  /// A source that has not reported for this long is dropped. A data centre without any source
  /// counts as unreachable.
  Duration StaleAfter_ = std::chrono::seconds(2);
  /// A share increases only after it was due for this many earlier computations too, so that the
  /// other controls have lowered their routers' shares by then.
  std::size_t IncreaseAfter_ = 2;
};

/// Divides customers' limits among the routers of one control process by their demand.
///
/// Each process that reports demand is a source: each router of this control process, and every
/// other control process with the sum of its routers. A limit is divided first among the data
/// centres, then among the sources of this data centre. An unreachable data centre, of which no
/// source reports, is assigned an even share; the reachable ones divide the rest by demand. A data
/// centre that is cut off thus uses no more than the even share that the others leave it.
/// Call compute each second. Not thread-safe.
///
/// The sum of all routers' shares is one while demand is constant and the data centres form groups
/// in which each receives the reports of all others of its group and of no one else.
/// docs/design/admission.md gives the worst case while demand changes or reports arrive in one
/// direction only; with n data centres it is below n.
class LimitShareAllocator {
public:
  /// Precondition: DataCenters_ contains DataCenter_; ReservedFraction_ is from 0 to 1.
  explicit LimitShareAllocator(LimitShareAllocatorOptions Options);

  /// Records the heartbeat of a router of this control process. The demand replaces what the router
  /// reported before.
  void reportRouter(const InstanceId &Router, const std::vector<CustomerDemand> &Demand,
                    TimePoint Now);
  /// Records the heartbeat of another control process. The demand replaces what it reported before.
  void reportControl(const InstanceId &Control, const DataCenterId &DataCenter,
                     const std::vector<CustomerDemand> &Demand, TimePoint Now);
  /// The sum of the demand of this process's routers, for heartbeats to the other controls.
  std::vector<CustomerDemand> ownDemand() const;

  /// Recomputes all shares from the reports received until Now.
  void compute(TimePoint Now);
  /// The shares of one router by the last computation; customers without demand are left out.
  std::vector<CustomerShare> sharesOf(const InstanceId &Router) const;
  /// A router's share for each customer that sharesOf leaves out.
  double defaultShare() const { return DefaultShare_; }
  /// The number of data centres of which no source reported, at the last computation.
  std::size_t unreachableDataCenters() const { return UnreachableDataCenters_; }
  std::size_t sources() const { return Routers_.size() + Controls_.size(); }

private:
  using DemandMap = std::unordered_map<CustomerId, CustomerDemand>;
  struct Source {
    DataCenterId DataCenter_;
    DemandMap Demand_;
    TimePoint HeardAt_{};
  };
  /// The demand of one customer: of this data centre's sources, and of all sources.
  struct DemandSums {
    double Own_ = 0;
    double Heard_ = 0;
  };
  /// The latest target shares of one customer, and the share in force.
  struct ShareHistory {
    std::vector<double> Targets_;
    double Share_ = 0;
    bool Initialized_ = false;
  };

  /// The demand as one number, by which limits are divided.
  static double demandWeight(const CustomerDemand &Demand);
  void dropStale(TimePoint Now);
  std::unordered_map<CustomerId, DemandSums> sumDemand() const;
  /// The fraction of a limit that this data centre gets by its demand, without the reserved part.
  double demandShare(const DemandSums &Sums) const;
  /// The lowest of the latest targets: a decrease takes effect at once, an increase later.
  double delayIncrease(ShareHistory &History, double Target) const;

  LimitShareAllocatorOptions Options_;
  std::map<InstanceId, Source> Routers_;
  std::map<InstanceId, Source> Controls_;
  std::map<InstanceId, std::unordered_map<CustomerId, ShareHistory>> Shares_;
  double DefaultShare_ = 0;
  std::size_t UnreachableDataCenters_ = 0;
};

} // namespace rattancart
