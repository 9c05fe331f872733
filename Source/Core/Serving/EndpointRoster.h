#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/EndpointListing.h"
#include "Core/Serving/ConcurrentSendEstimate.h"
#include "Core/Serving/EngineMemoryEstimate.h"
#include "Core/Serving/ServingConfig.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattancart {

/// The state that an engine reported when it was polled.
struct EngineReport {
  Incarnation Run_{0};
  LayerRange Layers_;
  /// Whether the engine is carrying out an order.
  bool Busy_ = false;
  /// The number of orders that were accepted since the engine started.
  std::uint64_t Orders_ = 0;
  std::uint32_t Waiting_ = 0;
  std::uint32_t Running_ = 0;
  /// Memory for requests, in tokens times layers: the part that is in use, and all of it.
  double UsedTokenLayers_ = 0;
  double TotalTokenLayers_ = 0;
  /// Over 1 if the engine is slower than is usual for its kind.
  double Slowdown_ = 1;
  /// Reported by the first engine of a path: engines for which requests wait.
  std::vector<NetAddress> Stalled_;
};

/// All that this process knows about one endpoint.
struct EndpointRecord {
  EndpointListing Listing_;
  TimePoint ListedAt_{};
  /// Set while the list lacks the endpoint, but its entry may only have expired and may reappear
  /// until then.
  std::optional<TimePoint> MissingUntil_;
  EngineReport Report_;
  /// When the report was made; the epoch if there is none of this run.
  TimePoint ReportedAt_{};
  /// When this process last saw that the endpoint works, by an answer or by an event of a stream
  /// that uses it.
  TimePoint LastActivityAt_{};
  /// The endpoint did not answer; it gets no new work until then.
  TimePoint SilentUntil_{};
  /// When it first failed to answer; later failures in the same silence don't change it.
  TimePoint SilentSince_{};
  /// When it last refused a connection of this process, so that no process listens at its address;
  /// the epoch if it never did, or answered since.
  TimePoint ConnectionRefusedAt_{};
  /// Time of the first refusal that no report has explained yet; the epoch if there is none.
  TimePoint RefusedAt_{};
  /// The endpoint refused requests for which it has memory; it gets no new work until then.
  TimePoint DeclinesUntil_{};
  /// How long it got no new work after the last such refusals.
  Duration DeclineBackoff_{};
  /// Another endpoint answered at the listed address; this one gets no work until then.
  TimePoint AddressTakenUntil_{};
  /// How long the endpoint gets no work after the last such answer; zero if there was none since
  /// the listed run and address last changed.
  Duration AddressTakenBackoff_{};
  /// The requests of this process that run there, and the memory that they are expected to need.
  std::uint32_t OwnRequests_ = 0;
  double OwnTokenLayers_ = 0;
  EngineMemoryEstimate Memory_;

  /// The newest run that is known.
  Incarnation run() const { return std::max(Listing_.Run_, Report_.Run_); }
  /// Whether a report of this run is known.
  bool reported() const { return ReportedAt_ != TimePoint{}; }
  /// The layers that the engine holds, according to the newer of the list and the report.
  LayerRange layers() const {
    return reported() && ReportedAt_ >= ListedAt_ ? Report_.Layers_ : Listing_.Layers_;
  }
  /// The same, without claims that can't be true: layers that the model doesn't have, or more than
  /// the engine has memory for. Another writer's entry may name such layers.
  LayerRange layersOf(const LayeredModel &Model) const;
  /// The part of the engine's slots that its last report and the requests of this process leave
  /// free; 1 if its slots are not known.
  double freeSlotShare() const;
  /// The engine's memory that is probably in use, in tokens times layers.
  double usedTokenLayers(TimePoint Now) const;
  /// Whether the endpoint has left: the list has lacked it for longer than an entry that expired
  /// needs to reappear.
  bool gone(TimePoint Now) const { return MissingUntil_ && Now >= *MissingUntil_; }
  /// Whether the endpoint recently failed to answer this process.
  bool silent(TimePoint Now) const { return Now < SilentUntil_; }
  /// Whether the silent endpoint refused connections in this silence. A network fault makes an
  /// endpoint silent, but does not refuse connections in its place.
  bool refusesConnections() const {
    return ConnectionRefusedAt_ != TimePoint{} && ConnectionRefusedAt_ >= SilentSince_;
  }
  /// Whether the endpoint has probably ended or is cut off: it has not answered for a while, and no
  /// other process has received a report from it either. A late answer alone makes an endpoint
  /// silent, not lost.
  bool lost(TimePoint Now) const;
  /// Whether the endpoint gets no new work because it refused requests despite free memory.
  bool declines(TimePoint Now) const { return Now < DeclinesUntil_; }
  /// Whether it refused requests again when it got new ones, so that it must not be relied on.
  bool declinesForLong(TimePoint Now) const;
  /// Whether the endpoint gets no work because another one answers at its listed address.
  bool addressTaken(TimePoint Now) const { return Now < AddressTakenUntil_; }
  /// Whether another endpoint answered at the listed address, and the endpoint itself has not
  /// answered this process since.
  bool addressInDoubt() const { return AddressTakenBackoff_ > Duration{}; }
  /// Whether the engine has so much free memory that a lack of it can't be why it refuses requests.
  bool hasAmpleMemory() const;
};

/// The endpoints of all services: the platform's list, the reports of engines, which endpoints are
/// silent, and the load of this process on each.
///
/// The list lags by seconds and loses entries while the platform is unavailable, so an entry that
/// disappears during an outage or just after it is kept for a while. Not thread-safe.
class EndpointRoster {
public:
  /// The effect of a change of the list.
  enum class Change : std::uint8_t { None, Added, Restarted, Leaving, Moved, Removed, Missing };

  /// Adds or updates an entry of the list.
  Change updateListing(EndpointListing Listing, TimePoint Now);
  /// Removes an entry that is no longer in the list. If it may reappear and is live, it is kept as
  /// missing until then; see prune.
  Change removeListing(const EndpointId &Id, std::optional<TimePoint> MayReappearUntil,
                       TimePoint Now);
  /// Removes missing entries that did not reappear in time, and returns their ids. They get no new
  /// work from that time on, even before this call.
  std::vector<EndpointId> prune(TimePoint Now);

  /// Takes an engine's report from the time TrueAt, unless a newer one is known. False if the
  /// endpoint is unknown, or if the report is from an earlier run or from another endpoint at the
  /// same address.
  ///
  /// A report does not name its endpoint. One from a later run than the listed one is taken, since
  /// the list may lag behind a restart, unless another endpoint is listed with this address and
  /// run, or has answered at this address before.
  bool updateReport(const EndpointId &Id, const EngineReport &Report, TimePoint TrueAt);
  /// Sends no new work to an endpoint until Until, or until it answers this process again. Reports
  /// that other processes pass on don't end that, since the endpoint may be cut off from this
  /// process alone.
  void markSilent(const EndpointId &Id, TimePoint Now, TimePoint Until);
  /// The endpoint refused a connection of this process. Call it before markSilent.
  void noteConnectionRefused(const EndpointId &Id, TimePoint Now);
  /// The endpoint answered this process.
  void markHeard(const EndpointId &Id, TimePoint Now);
  /// An event of a stream that uses the endpoint showed that it works.
  void noteActivity(const EndpointId &Id, TimePoint Now);

  /// The endpoint refused a request. Returns whether it gets no new work from now on.
  ///
  /// One refusal has no effect, since many requests at once fill an engine before any report shows
  /// it. If the endpoint refuses requests again although a report from after the first refusal
  /// shows free memory, it is about to leave or to give up layers. The list may not show that while
  /// the platform is unavailable. Then the endpoint gets no new work for a while, and twice as long
  /// each time that this is repeated.
  bool noteRefusal(const EndpointId &Id, TimePoint Now);

  /// Another endpoint answered at Address, which was listed for the endpoint's run ListedRun when
  /// the message was sent. Returns whether the endpoint gets no work from now on; false if it got
  /// none before, or if the list has named another run or address since.
  ///
  /// The state ends when the list names another run or address, or when the endpoint itself answers
  /// this process. It also ends after some seconds, twice as many each time, since the answer may
  /// have been wrong. Reports of runs other than the listed one are rejected from now on, and one
  /// that was taken before is dropped.
  bool noteAddressTaken(const EndpointId &Id, const NetAddress &Address, Incarnation ListedRun,
                        TimePoint Now);
  /// Sets the longest time for which an endpoint gets no new work after such refusals; by default
  /// 3.2 s. Precondition: positive.
  void setMaxDeclineBackoff(Duration Longest) { MaxDeclineBackoff_ = Longest; }

  /// The engine refused a request that needs TokenLayers of its memory.
  void noteMemoryRefusal(const EndpointId &Id, double TokenLayers, TimePoint Now);
  /// A request that needs TokenLayers of the engine's memory is sent to it now.
  void noteSent(const EndpointId &Id, double TokenLayers, TimePoint Now);
  /// Adds to the load of this process on the endpoint. At the end of a request, pass the same
  /// numbers as negative ones.
  void addOwnLoad(const EndpointId &Id, int Requests, double TokenLayers);

  /// Sets the number of gateways that may run at the same time; nothing if it is not known.
  /// Precondition: not 0.
  void setGateways(std::optional<std::uint32_t> Gateways) {
    ConcurrentSends_.setGateways(Gateways);
  }
  /// The most memory, in tokens times layers, that the other gateways are expected to need at the
  /// engine for requests that its last report does not show; 0 if their number is not known.
  double concurrentSends(const EndpointRecord &Record, TimePoint Now) const;

  /// Whether new work may be sent to the endpoint.
  bool takesWork(const EndpointRecord &Record, TimePoint Now) const;

  const EndpointRecord *find(const EndpointId &Id) const;
  /// The endpoint at the address; if several are listed there, one whose address is not known to be
  /// taken by another.
  const EndpointRecord *findByAddress(const NetAddress &Address) const;
  /// All endpoints, ordered by id.
  const std::map<EndpointId, EndpointRecord> &all() const { return Records_; }

private:
  /// Whether a report that came from the address of Record is from another endpoint.
  bool isFromOtherEndpoint(const EndpointRecord &Record, Incarnation ReportedRun) const;

  std::map<EndpointId, EndpointRecord> Records_;
  ConcurrentSendEstimate ConcurrentSends_;
  /// A leaving engine continues for some seconds; the few requests that are sent to it at this
  /// interval show whether it still refuses them.
  Duration MaxDeclineBackoff_ = std::chrono::milliseconds(3200);
};

/// The number of tokens that the service's engines in a data centre have memory for together, if it
/// is evenly used; 0 if the service has no model or none of them has reported. Thread-safe.
double tokenCapacity(const EndpointRoster &Roster, const ServingService &Service,
                     const DataCenterId &DataCenter);

} // namespace rattancart
