#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace rattancart {

/// Timeouts of the estimate.
struct GatewayCountOptions {
  /// The timeouts for a limit that is counted over windows of that length.
  static GatewayCountOptions forWindow(Duration Window);

  /// Others may no longer count a gateway that, for longer than this, has not reached the store or
  /// has not heard from the owner of its home data centre.
  Duration MaxSilence_ = std::chrono::seconds(10);
  /// Time from when the gateways of all data centres are first known until the count is relied on:
  /// owners that have just started learn of the other gateways only gradually. One window.
  Duration SettleTime_ = std::chrono::seconds(10);
  /// The same time after MaxSilence_ was exceeded, since others may have dropped this gateway from
  /// their counts. They learn of it again within one window, and what they spent until then has
  /// left the window after another one.
  Duration ResettleTime_ = std::chrono::seconds(20);
  /// A data centre whose placement nobody has owned for this long has no gateways that rely on
  /// being counted. The sum of MaxSilence_, the time until a lost store is noticed, the pause of a
  /// machine and one window.
  Duration OwnerlessTimeout_ = std::chrono::seconds(45);
  /// Gateways are counted for this long after their owner last reported them. An owner that hears
  /// from nobody can't tell whether the others are gone or its own link is broken, so this is
  /// longer than such faults last.
  Duration RetentionTime_ = std::chrono::minutes(10);
};

/// The largest number of gateways that may be running at the same time, or why it is not known.
struct GatewayCount {
  std::optional<std::uint32_t> Gateways_;
  /// Why there is no count; empty if there is one. Written to the log.
  std::string_view UnknownReason_;
};

/// Estimates how many gateways share a limit, from the number that the owner of each data centre
/// reports for its own.
///
/// The estimate is never too low: a reported number still counts for a while after a lower one,
/// both sides of a network partition keep counting the gateways of the other, and a process that
/// others may not count any more has no count at all. Not thread-safe.
class GatewayCountEstimator {
public:
  /// DataCenters are all data centres that may have gateways; Home is that of this process.
  /// Precondition: Home is one of DataCenters.
  GatewayCountEstimator(const std::vector<DataCenterId> &DataCenters, DataCenterId Home,
                        GatewayCountOptions Options = {});

  /// The owner of a data centre reported the number of gateways there, itself included. Data
  /// centres that the constructor did not get are ignored.
  void onCountReported(const DataCenterId &DataCenter, std::uint32_t Gateways, TimePoint Now);
  /// The store was asked which gateway owns that data centre's placement. Named is whether there is
  /// one.
  void onOwnerLookup(const DataCenterId &DataCenter, bool Named, TimePoint Now);
  /// Reports whether the store can be reached.
  void setStoreReachable(bool Reachable, TimePoint Now);

  /// Changes the timeouts; what is known stays.
  void setOptions(GatewayCountOptions Options) { Options_ = Options; }

  GatewayCount count(TimePoint Now) const;
  /// The number of gateways of one data centre; nothing if it is not known.
  std::optional<std::uint32_t> countAt(const DataCenterId &DataCenter, TimePoint Now) const;

private:
  struct CountReport {
    TimePoint At_{};
    std::uint32_t Gateways_ = 0;
  };
  struct DataCenterState {
    /// The reports within RetentionTime_ that no later one reaches: counts decrease from front to
    /// back, so the first is the largest.
    std::deque<CountReport> Reports_;
    TimePoint HeardAt_{};
    /// Since when the store names no owner; nothing if it named one last, or was never asked.
    std::optional<TimePoint> OwnerlessSince_;
  };

  /// The number of gateways of all data centres; nothing if that of some is not known.
  std::optional<std::uint32_t> sum(TimePoint Now) const;
  /// The number of gateways of one data centre; nothing if it is not known.
  std::optional<std::uint32_t> gatewaysAt(const DataCenterState &Each, TimePoint Now) const;

  GatewayCountOptions Options_;
  DataCenterId Home_;
  std::map<DataCenterId, DataCenterState> DataCenters_;
  std::optional<TimePoint> StoreLostAt_;
  /// When the count becomes reliable; nothing until all data centres were known.
  std::optional<TimePoint> ReliableAt_;
};

} // namespace rattancart
