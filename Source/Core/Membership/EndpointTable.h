#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"

#include <functional>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace rattancart {

/// The effect of an update on one endpoint.
enum class EndpointChange { None, Added, Updated, Leaving, Gone, Stale };

/// The endpoints that a process knows, merged from sources that lag and may return older states.
///
/// Within an incarnation, a state of Leaving or Gone never goes back. An update of an older
/// incarnation is ignored, and of one with an older load sequence only such a state counts. A
/// record that was last confirmed too long ago does not count as live, so that a process that was
/// paused or cut off sends no new work based on outdated information. Not thread-safe.
class EndpointTable {
public:
  /// A table whose records never become stale.
  EndpointTable() = default;
  /// A table whose records become stale when they were last confirmed longer than FreshFor ago.
  /// Precondition: Time outlives the table.
  EndpointTable(const Clock &Time, Duration FreshFor) : Time_(&Time), FreshFor_(FreshFor) {}

  /// Merges one endpoint's record, which was still true at Now or later.
  EndpointChange apply(const Endpoint &Update, TimePoint Now);
  /// Replaces the set of endpoints that the operators drain.
  void setDrained(const std::vector<EndpointId> &Drained);
  /// Marks an endpoint as silent since its last report, if Run is its known incarnation.
  EndpointChange markSilent(const EndpointId &Id, Incarnation Run);
  /// Marks an endpoint as leaving, if Run is its known incarnation.
  EndpointChange markLeaving(const EndpointId &Id, Incarnation Run);
  /// Marks an endpoint as gone, if Run is its known incarnation.
  EndpointChange markGone(const EndpointId &Id, Incarnation Run);
  /// Removes gone endpoints whose records were last confirmed before Horizon.
  void forgetGone(TimePoint Horizon);

  /// The endpoint, or null. The pointer is valid until the next change.
  const Endpoint *find(const EndpointId &Id) const;
  /// Whether new work may be sent to the endpoint now.
  bool mayTakeWork(const EndpointId &Id) const;
  /// Whether the endpoint is unknown or its record is too old to count.
  bool isStale(const EndpointId &Id) const;
  /// When the endpoint's record was last confirmed; the epoch if it is unknown.
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
  EndpointChange raiseState(const EndpointId &Id, Incarnation Run, EndpointState State);
  bool isStale(const Entry &Known) const;
  bool mayTakeWork(const Entry &Known) const;

  std::map<EndpointId, Entry> Entries_;
  std::set<EndpointId> Drained_;
  const Clock *Time_ = nullptr;
  Duration FreshFor_{};
};

} // namespace rattancart
