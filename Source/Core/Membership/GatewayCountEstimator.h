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

struct GatewayCountOptions {
  /// The times that fit a limit which is counted over windows of that length.
  static GatewayCountOptions forWindow(Duration Window);

  /// A gateway that has not reached the store, or has not heard the owner at home, for this long
  /// may no longer be counted by others.
  Duration MaxSilence_ = std::chrono::seconds(10);
  /// From the first time on that all data centres are known until the count is relied on: owners
  /// that have just started themselves hear of the others only by and by. One window.
  Duration SettleTime_ = std::chrono::seconds(10);
  /// The same after a doubt: others may have forgotten this gateway. They hear of it again within
  /// one window, and what they did until then is over after another one.
  Duration ResettleTime_ = std::chrono::seconds(20);
  /// A data centre whose duty nobody owns for this long has no gateways that rely on being counted.
  /// MaxSilence_, the time until a lost store is noticed, a machine's pause and one window
  /// together.
  Duration OwnerlessTimeout_ = std::chrono::seconds(45);
  /// Gateways are counted for this long after their owner heard of them last. An owner that hears
  /// nobody can't tell whether the others are gone or its own link is bad, so this is longer than
  /// such faults last.
  Duration RetentionTime_ = std::chrono::minutes(10);
};

/// How many gateways may be at work at the same time, or why that is not known.
struct GatewayCount {
  std::optional<std::uint32_t> Gateways_;
  /// Why there is no count; empty if there is one.
  std::string_view UnknownReason_;
};

/// Counts the gateways that share a limit, from what the owner of each data centre says of its own.
///
/// Never counts too few: what was heard holds on after a loss, each side of a cut goes on counting
/// the other, and a process that may have been forgotten by others has no count at all.
/// Not thread-safe.
class GatewayCountEstimator {
public:
  /// Places are all data centres that may have gateways, Home the own one. Precondition: Home is
  /// one of Places.
  GatewayCountEstimator(const std::vector<DataCenterId> &Places, DataCenterId Home,
                        GatewayCountOptions Options = {});

  /// The owner of a data centre knows of this many gateways there, itself included. Other data
  /// centres than those of the construction are ignored.
  void onCountReported(const DataCenterId &Place, std::uint32_t Gateways, TimePoint Now);
  /// The store was asked which gateway owns that data centre's duty, and names one or none.
  void onOwnerLookup(const DataCenterId &Place, bool Named, TimePoint Now);
  /// The store was lost or regained.
  void setStoreReachable(bool Reachable, TimePoint Now);

  /// Takes other times; what is known stays.
  void setOptions(GatewayCountOptions Options) { Options_ = Options; }

  GatewayCount count(TimePoint Now) const;

private:
  struct Said {
    TimePoint At_{};
    std::uint32_t Gateways_ = 0;
  };
  struct Place {
    /// What was heard within the memory: counts fall from front to back, so the first is the
    /// largest.
    std::deque<Said> Said_;
    TimePoint HeardAt_{};
    /// Since when the store names no owner; nothing if it named one last, or was not asked.
    std::optional<TimePoint> OwnerlessSince_;
  };

  /// Gateways of all data centres; nothing if some are not known.
  std::optional<std::uint32_t> sum(TimePoint Now) const;
  /// Nothing if the data centre's gateways are not known.
  std::optional<std::uint32_t> gatewaysAt(const Place &Each, TimePoint Now) const;

  GatewayCountOptions Options_;
  DataCenterId Home_;
  std::map<DataCenterId, Place> Places_;
  std::optional<TimePoint> StoreLostAt_;
  /// From when on the count may be relied on; nothing until all data centres were known.
  std::optional<TimePoint> ReliableAt_;
};

} // namespace rattancart
