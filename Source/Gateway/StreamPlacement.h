#pragma once

#include "Gateway/Exchange.h"

#include <functional>
#include <optional>
#include <set>
#include <string_view>

namespace rattancart {

/// A path of engines with the memory that is reserved on it.
struct ReservedPath : LayerPath {
  /// Memory on each engine, in tokens over the layers that the path uses there.
  double Tokens_ = 0;
};

/// Finds engines for one stream: chooses a path, waits in the admission queue if no path has free
/// memory, and reserves memory on the path that is used. Not thread-safe.
class StreamPlacement {
public:
  /// Whether the limit that an endpoint names lets the request be sent to it. Called once for each
  /// endpoint that the request would be sent to. A lower priority value is preferred.
  using Admit = std::function<bool(const EndpointRecord &, std::uint32_t Priority)>;

  /// Precondition: Context and Routed outlive the placement.
  StreamPlacement(GatewayContext &Context, const RoutedRequest &Routed, Admit MayUse)
      : Context_(Context), Routed_(Routed), MayUse_(std::move(MayUse)) {}

  /// The memory and time that the request is expected to need.
  PathDemand demand() const;
  /// Counts the request towards the memory that less urgent classes leave free.
  void noteArrival();
  /// Chooses a path whose first engine's limit leaves room for the request; records why there is
  /// none. A stream that has begun goes before all others.
  PathChoice choose(bool Begun, TimePoint Now);
  /// Reserves the memory of the request on the engines of a path. Begun tells whether its caller
  /// has received events.
  ReservedPath reserve(LayerPath Path, bool Begun, TimePoint Now);
  /// The engines rejected a request, which has not begun, before it ran.
  void onRejected(TimePoint Now);
  /// The first event of the request arrived so long after it was sent.
  void onFirstEvent(Duration Took) {
    Context_.AdmissionQueue_.onFirstEvent(Routed_.Service_->Id_, Took);
  }
  /// Gives back the memory that was reserved on the engines of a path.
  void release(ReservedPath &Reserved);

  /// The path must avoid this engine from now on.
  void exclude(const EndpointId &Engine) { Limits_.ExcludedEngines_.insert(Engine); }
  /// Records that the request is sent to an engine, which may run it. Returns whether it is the
  /// first time.
  bool addFirstEngine(const EndpointId &Engine) { return RanAt_.insert(Engine).second; }
  /// The engine did not run the request.
  void removeFirstEngine(const EndpointId &Engine) { RanAt_.erase(Engine); }

  /// Why the last choice found no path.
  PathShortage shortage() const { return Shortage_; }
  void logShortage(std::string_view Outcome) const;

  /// Whether requests of the service are ordered by class.
  bool isOrderedByClass() const;
  /// Whether other requests of the service wait that go first.
  bool othersWait(TimePoint Now) const {
    return Context_.AdmissionQueue_.isContended(Routed_.Service_->Id_, Now);
  }
  /// Queues the request, since others wait that go first; false if no memory is expected in time.
  bool enterQueueBehindOthers();
  /// Queues the request until a path has enough free memory; false if it lacks something else, or
  /// no memory is expected in time.
  bool enterQueue();
  /// Queues a request that was rejected and has no retry left until there is one; false if no
  /// memory is expected in time.
  bool enterQueueForRetry();
  bool waits() const { return Ticket_.has_value(); }
  /// Whether the request, which waits, is to be placed next.
  bool isNext(TimePoint Now);
  /// Whether the request has waited for as long as it may, or waiting no longer helps.
  bool isWaitOver(TimePoint Now) const;
  /// Notes that the request, whose turn it is, can't be placed now. Others are not held up for what
  /// only this request lacks: some engines are ruled out for it, or LacksRetry.
  void onNotPlaced(bool LacksRetry, TimePoint Now);
  /// Leaves the queue, if the request waits.
  void leaveQueue();
  /// Leaves the queue after a wait that ended in this way: sent or refused.
  void leaveQueue(std::string_view Outcome, TimePoint Now);
  /// When a caller that is refused for lack of memory may come back.
  Duration retryAfter(TimePoint Now);

private:
  /// Once as many engines as the route allows may have run the request, only these may be the first
  /// engine of a path.
  void limitFirstEngines(TimePoint Now);
  PathChoice chooseAdmitted(bool Begun, TimePoint Now);
  bool enqueue(std::string_view Reason);
  PriorityClass priorityClass() const;
  double tokens() const;

  GatewayContext &Context_;
  const RoutedRequest &Routed_;
  Admit MayUse_;
  /// Engines that the path must avoid, and engines that it may start at.
  PathConstraints Limits_;
  /// Engines that the request was sent to and that may have run it.
  std::set<EndpointId> RanAt_;
  PathShortage Shortage_ = PathShortage::NoWholeModel;
  /// The part of the memory that the last choice left free for more urgent classes.
  double KeptShare_ = 0;
  BottleneckLayer Bottleneck_;
  /// Until then the engines in Limits_.LimitedFirstEngines_ are not asked again.
  TimePoint LimitedUntil_{};
  std::optional<AdmissionTicket> Ticket_;
  TimePoint WaitingSince_{};
  /// Why the request waits: for memory, or for a retry.
  std::string_view WaitReason_;
  std::optional<Duration> ExpectedWait_;
};

} // namespace rattancart
