#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace rattancart {

/// What the platform's list says of one endpoint.
struct EndpointListing {
  EndpointId Id_;
  ServiceId Service_;
  NetAddress Address_;
  DataCenterId DataCenter_;
  EndpointState State_ = EndpointState::Live;
  /// When this run of the endpoint started; a restart keeps the id and forgets all else.
  Incarnation Run_{0};
  std::uint32_t Slots_ = 1;
  /// Engines only: the kind of accelerator and the layers held.
  std::string Kind_;
  LayerRange Layers_;
};

/// What an engine said of itself when it was asked.
struct EngineReport {
  Incarnation Run_{0};
  LayerRange Layers_;
  /// An order is being carried out.
  bool Busy_ = false;
  /// Orders accepted since the engine started.
  std::uint64_t Orders_ = 0;
  std::uint32_t Waiting_ = 0;
  std::uint32_t Running_ = 0;
  /// Memory in tokens times layers: what running requests hold, and all that they could hold.
  double UsedTokenLayers_ = 0;
  double TotalTokenLayers_ = 0;
  /// Over 1 where the engine is slower than its kind.
  double Slowdown_ = 1;
  /// First engines of a path: engines that requests wait for.
  std::vector<NetAddress> Stalled_;
};

/// One endpoint as this process knows it.
struct EndpointRecord {
  EndpointListing Listing_;
  TimePoint ListedAt_{};
  /// Set while the list lacks the endpoint although it may only have lapsed there.
  TimePoint MissingSince_{};
  bool Missing_ = false;
  EngineReport Report_;
  /// When the report was true; the epoch if there is none of this run.
  TimePoint ReportedAt_{};
  /// When this process last had a sign that the endpoint works: an answer, or an event of a stream
  /// that passes through it.
  TimePoint LastActivityAt_{};
  /// The endpoint failed to answer; no new work until then.
  TimePoint SilentUntil_{};
  /// Since when it has failed to answer without a pause.
  TimePoint SilentSince_{};
  /// The first of the refusals that no report has explained yet; the epoch if there is none.
  TimePoint RefusedAt_{};
  /// The endpoint turned work away that it has room for; no new work until then.
  TimePoint DeclinesUntil_{};
  Duration DeclineBackoff_{};
  /// Requests that this process has under way there, and the memory that they are expected to take.
  std::uint32_t OwnRequests_ = 0;
  double OwnTokenLayers_ = 0;

  /// Whether a report of this run is known.
  bool reported() const { return ReportedAt_ != TimePoint{}; }
  /// The layers held, from whichever source is newer.
  LayerRange layers() const {
    return reported() && ReportedAt_ >= ListedAt_ ? Report_.Layers_ : Listing_.Layers_;
  }
  bool silent(TimePoint Now) const { return Now < SilentUntil_; }
  /// Whether the endpoint has ended or is cut off, as far as can be told: it has not answered for a
  /// while, and nobody else has heard it either. A late answer alone makes it silent, not lost.
  bool lost(TimePoint Now) const;
  bool declines(TimePoint Now) const { return Now < DeclinesUntil_; }
  /// Whether it turned work away again when it was tried again, so that it is not to be relied on.
  bool declinesForLong(TimePoint Now) const;
  /// Whether the engine has so much free memory that this can't be why it turns requests away.
  bool hasAmpleMemory() const;
};

/// The endpoints of all services: the platform's list, what engines report, who is silent and what
/// this process has under way.
///
/// The list lags by seconds and loses entries while the platform is away, so an entry that
/// disappears just after an outage is kept for a while. Not thread-safe.
class EndpointRoster {
public:
  /// What a change of the list did.
  enum class Change : std::uint8_t { None, Added, Restarted, Leaving, Moved, Removed, Missing };

  /// Takes an entry of the list.
  Change updateListing(EndpointListing Listing, TimePoint Now);
  /// The list no longer has the entry. Within Grace of an outage it is kept as missing; see prune.
  Change removeListing(const EndpointId &Id, bool AfterOutage, TimePoint Now);
  /// Removes missing entries that did not come back; returns them.
  std::vector<EndpointId> prune(TimePoint Now);

  /// Takes an engine's report unless it is older than what is known. False if the endpoint is
  /// unknown or the report is of another run.
  bool updateReport(const EndpointId &Id, const EngineReport &Report, TimePoint TrueAt);
  /// Keeps new work from an endpoint until Until, or until this process hears it again. Reports
  /// that others pass on don't end that: the endpoint may be cut off from this process alone.
  void markSilent(const EndpointId &Id, TimePoint Now, TimePoint Until);
  void markHeard(const EndpointId &Id, TimePoint Now);
  /// The endpoint works, as something that passed through it shows.
  void noteActivity(const EndpointId &Id, TimePoint Now);

  /// The endpoint turned work away. If it still does so when a report from after the first refusal
  /// shows room, it is about to leave or to give up layers, which the list may not say for as long
  /// as the platform is away; then it gets no new work for a while, twice as long each time that
  /// goes on. Requests that come all at once fill an engine before any report shows it, which is
  /// why one refusal says nothing. True if the endpoint gets no new work from now on.
  bool noteRefusal(const EndpointId &Id, TimePoint Now);

  /// Counts work of this process; the negative of it at its end.
  void addOwnLoad(const EndpointId &Id, int Requests, double TokenLayers);

  /// Whether new work may be sent there.
  bool takesWork(const EndpointRecord &Record, TimePoint Now) const;

  const EndpointRecord *find(const EndpointId &Id) const;
  const EndpointRecord *findByAddress(const NetAddress &Address) const;
  /// All endpoints in order of their ids.
  const std::map<EndpointId, EndpointRecord> &all() const { return Records_; }

private:
  std::map<EndpointId, EndpointRecord> Records_;
};

} // namespace rattancart
