#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/EndpointTable.h"

#include "Frames_generated.h"

#include <cstdint>
#include <functional>
#include <map>

namespace rattancart {

/// Which endpoints a subscriber is told about.
enum class FeedScope : std::uint8_t {
  /// All known endpoints: for routers.
  All,
  /// The endpoints of this data centre: for other control processes, which poll those of their own
  /// data centre themselves.
  OwnDataCenter,
};

/// Numbers the changes of an endpoint table, so that each subscriber gets only what is new to it.
///
/// A change of an endpoint's state counts as new at once. Load reports count as new at most once in
/// each RefreshInterval, which limits the traffic and still refreshes each record well before it
/// expires. Not thread-safe.
class EndpointFeed {
public:
  /// Precondition: Time and Table outlive the feed.
  EndpointFeed(const Clock &Time, const EndpointTable &Table, DataCenterId DataCenter,
               Duration RefreshInterval);

  /// Call it when the table merged a change of Id.
  void onChange(const EndpointId &Id, EndpointChange Change);
  /// The number of the last change.
  std::uint64_t version() const { return Version_; }
  /// The endpoints within Scope that changed after the change number Since; all if Since is 0.
  wire::EndpointUpdateT changesSince(std::uint64_t Since, FeedScope Scope) const;

private:
  struct Entry {
    std::uint64_t Version_ = 0;
    TimePoint At_{};
  };

  const Clock &Time_;
  const EndpointTable &Table_;
  DataCenterId DataCenter_;
  Duration RefreshInterval_;
  std::map<EndpointId, Entry> Entries_;
  std::uint64_t Version_ = 1;
};

} // namespace rattancart
