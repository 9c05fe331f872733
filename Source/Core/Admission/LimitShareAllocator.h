#pragma once

#include "Core/Admission/AdmissionTypes.h"

#include <cstddef>
#include <map>
#include <unordered_map>
#include <vector>

namespace rattancart {

struct LimitShareAllocatorOptions {
  /// This control's own data centre.
  DataCenterId DataCenter_;
  /// All data centres of the deployment, the own one included.
  std::vector<DataCenterId> DataCenters_;
  /// The part of a limit that is spread evenly instead of by demand, so that a customer can start
  /// anywhere at once.
  double Reserve_ = 0.1;
  /// A source that was not heard for this long counts as cut off.
  Duration StaleAfter_ = std::chrono::seconds(2);
  /// A share rises only after the demand for it has stood this many computations, so that the
  /// others have lowered theirs.
  std::size_t RiseAfter_ = 2;
};

/// Divides customers' limits over the routers of one control process by their demand.
///
/// Each process that reports demand is a source: the control's own routers one by one, every other
/// control with the sum of its routers. A limit goes first to the data centres, then to the
/// sources of the own one. A data centre of which no source is heard keeps an even share, whoever
/// looks: the others divide what is left, and it takes no more itself. Call compute each second.
/// Not thread-safe.
///
/// The sum of all routers' shares is one while demand rests, joined or split into groups that
/// hear each other whole. docs/design/admission.md gives the worst case while demand moves or
/// some hear others one-sidedly; with n data centres it is below n.
class LimitShareAllocator {
public:
  /// Precondition: DataCenters_ contains DataCenter_; Reserve_ is within 0 and 1.
  explicit LimitShareAllocator(LimitShareAllocatorOptions Options);

  /// A heartbeat of one of the own routers: its demand replaces what it reported before.
  void reportRouter(const InstanceId &Router, const std::vector<CustomerDemand> &Demand,
                    TimePoint Now);
  /// A heartbeat of another control process.
  void reportControl(const InstanceId &Control, const DataCenterId &DataCenter,
                     const std::vector<CustomerDemand> &Demand, TimePoint Now);
  /// The sum of the own routers' demand, for heartbeats to the other controls.
  std::vector<CustomerDemand> ownDemand() const;

  /// Recomputes all shares from what was heard until Now.
  void compute(TimePoint Now);
  /// The shares of one router, as last computed; customers without demand are left out.
  std::vector<CustomerShare> sharesOf(const InstanceId &Router) const;
  /// The share of customers that sharesOf leaves out.
  double defaultShare() const { return DefaultShare_; }
  /// Data centres that were cut off at the last computation.
  std::size_t unreachableDataCenters() const { return UnreachableDataCenters_; }
  std::size_t sources() const { return Routers_.size() + Controls_.size(); }

private:
  using DemandMap = std::unordered_map<CustomerId, CustomerDemand>;
  struct Source {
    DataCenterId DataCenter_;
    DemandMap Demand_;
    TimePoint HeardAt_{};
  };
  /// Demand of one customer, summed over sources.
  struct Sums {
    double Own_ = 0;
    double Heard_ = 0;
  };
  struct History {
    std::vector<double> Targets_;
    double Share_ = 0;
    bool Seen_ = false;
  };

  static double weigh(const CustomerDemand &Demand);
  void dropStale(TimePoint Now);
  std::unordered_map<CustomerId, Sums> sumDemand() const;
  /// The part of a limit that the own data centre has by its demand, the reserve left out.
  double demandShare(const Sums &Sum) const;
  double raiseSlowly(History &Past, double Target) const;

  LimitShareAllocatorOptions Options_;
  std::map<InstanceId, Source> Routers_;
  std::map<InstanceId, Source> Controls_;
  std::map<InstanceId, std::unordered_map<CustomerId, History>> Shares_;
  double DefaultShare_ = 0;
  std::size_t UnreachableDataCenters_ = 0;
};

} // namespace rattancart
