#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/EndpointTable.h"

#include "Frames_generated.h"

#include <cstdint>
#include <functional>
#include <map>

namespace rattancart {

/// Which endpoints a subscriber hears of.
enum class FeedScope : std::uint8_t {
  /// All known endpoints: for routers.
  All,
  /// The own data centre's endpoints: for other control processes, which poll their own.
  OwnDataCenter,
};

/// Numbers the changes of an endpoint table, so that each subscriber gets what is new to it.
///
/// A change of state is new at once; a load report is new at most once each RefreshInterval, which
/// bounds the traffic and still refreshes each record well within its freshness. Not thread-safe.
class EndpointFeed {
public:
  /// Precondition: Time and Table outlive the feed.
  EndpointFeed(const Clock &Time, const EndpointTable &Table, DataCenterId DataCenter,
               Duration RefreshInterval);

  /// The table merged a change of Id.
  void onChange(const EndpointId &Id, EndpointChange Change);
  /// The number of the last change.
  std::uint64_t version() const { return Version_; }
  /// What changed after Since, within Scope; everything if Since is 0.
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
