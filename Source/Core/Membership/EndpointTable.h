#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace rattancart {

/// What applying an update did to one endpoint.
enum class EndpointChange { None, Added, Updated, Leaving, Gone, Stale };

/// The endpoints that a process knows, merged from sources that lag and may go backwards.
///
/// Leaving and gone are sticky for an incarnation; an update of an older incarnation or load
/// sequence is ignored. A record that was last true too long ago does not count as live, so that
/// a process that was paused or cut off sends no new work on old knowledge. Not thread-safe.
class EndpointTable {
public:
  /// A table whose records never become too old.
  EndpointTable() = default;
  /// A table whose records count for FreshFor after they were last true.
  /// Precondition: Time outlives the table.
  EndpointTable(const Clock &Time, Duration FreshFor) : Time_(&Time), FreshFor_(FreshFor) {}

  /// Merges one endpoint's record that was true at Now or later.
  EndpointChange apply(const Endpoint &Update, TimePoint Now);
  /// Replaces the set of endpoints that operators drain.
  void setDrained(const std::vector<EndpointId> &Drained);
  /// Marks an endpoint as silent since its last report, if Incarnation is still the one known.
  EndpointChange markSilent(const EndpointId &Id, Incarnation Run);
  /// Marks an endpoint as leaving, if Incarnation is still the one known.
  EndpointChange markLeaving(const EndpointId &Id, Incarnation Run);
  /// Marks an endpoint as gone, if Incarnation is still the one known.
  EndpointChange markGone(const EndpointId &Id, Incarnation Run);
  /// Forgets gone endpoints last heard of before Horizon.
  void forgetGone(TimePoint Horizon);

  /// The endpoint, or null. The pointer holds until the next change.
  const Endpoint *find(const EndpointId &Id) const;
  /// Whether new work may be sent to the endpoint now.
  bool mayTakeWork(const EndpointId &Id) const;
  /// Whether the endpoint's record is too old to count.
  bool isStale(const EndpointId &Id) const;
  /// When the endpoint's record was last true; the epoch if never.
  TimePoint heardAt(const EndpointId &Id) const;
  /// Calls Visit for each endpoint, ordered by id.
  void forEach(const std::function<void(const Endpoint &)> &Visit) const;
  /// The live engines of a model version, ordered by id.
  std::vector<const Endpoint *> liveEngines(const ModelId &Model,
                                            const ModelVersion &Version) const;
  /// The live endpoints of a service, ordered by id.
  std::vector<const Endpoint *> liveServices(const ServiceId &Service) const;
  /// The number of endpoints, gone ones included.
  std::size_t size() const { return Entries_.size(); }

private:
  struct Entry {
    Endpoint Endpoint_;
    TimePoint HeardAt_{};
  };
  EndpointChange raise(const EndpointId &Id, Incarnation Run, EndpointState State);
  bool isStale(const Entry &Known) const;
  bool mayTakeWork(const Entry &Known) const;

  std::map<EndpointId, Entry> Entries_;
  std::set<EndpointId> Drained_;
  const Clock *Time_ = nullptr;
  Duration FreshFor_{};
};

} // namespace rattancart
