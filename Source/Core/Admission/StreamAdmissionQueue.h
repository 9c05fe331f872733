#pragma once

#include "Core/Admission/FairQueue.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace rattancart {

struct StreamAdmissionOptions {
  /// The longest wait where requests are not ordered by class. After a longer one the first event
  /// would be late.
  Duration MaxWait_ = std::chrono::milliseconds(400);
  /// The waiting time that raises a request by one priority class, so that none starves: where
  /// requests are not ordered by class, and where they are.
  Duration AgeingStep_ = std::chrono::milliseconds(200);
  Duration ClassAgeingStep_ = std::chrono::milliseconds(1000);
  /// Where requests are ordered by class, whether they wait until the caller gives up, or only
  /// while their first event can still be in time.
  bool WaitsBeyondObjective_ = true;
  /// The time over which placements are counted. Long enough to include some at a gateway with a
  /// few requests a second, and short enough to notice when memory no longer becomes free.
  Duration RateWindow_ = std::chrono::seconds(3);
  /// How long a request that can't be placed for a reason of its own lets others go first.
  Duration DeferTime_ = std::chrono::milliseconds(50);
  /// Where requests are ordered by class, how long one whose turn it is may hold up the others,
  /// such as a large one while there is memory for small ones.
  Duration MaxTurn_ = std::chrono::milliseconds(150);
};

/// A stream that needs memory at the engines.
struct StreamAdmissionRequest {
  AdmissionTicket Ticket_{};
  ServiceId Service_;
  CustomerId Customer_;
  PriorityClass Priority_{0};
  /// The memory that it needs.
  double Tokens_ = 1;
  TimePoint ArrivedAt_{};
  /// The longest time from the arrival to the first event that counts as in time.
  Duration Objective_{};
  /// When the caller gives up on a stream without an event.
  TimePoint GivesUpAt_{};
  /// Whether the streaming routes of the service have different priorities.
  bool OrderByClass_ = false;
};

/// Streams that wait for free memory at the engines, for each service.
///
/// A request waits if it is expected to obtain memory before its wait must end, going by the rate
/// at which this gateway's requests obtained memory lately and by the requests ahead of it;
/// otherwise, or if nothing was placed lately, it is refused at once.
///
/// Where the streaming routes of a service have different priorities, requests whose first event
/// can still be in time go first, except that one placement in four goes to the others. Within each
/// group the order is by priority class, raised by waiting, and then fair among customers. They
/// wait for as long as the first event can still arrive before the caller gives up. Elsewhere there
/// is one group and a short longest wait. Not thread-safe.
class StreamAdmissionQueue {
public:
  explicit StreamAdmissionQueue(StreamAdmissionOptions Options = {}) : Options_(Options) {}

  /// Queues a request if memory for it is expected in time; returns false otherwise.
  bool tryEnqueue(const StreamAdmissionRequest &Request, TimePoint Now);
  /// Whether a request that arrives now would have to let others go first.
  bool isContended(const ServiceId &Service, TimePoint Now);
  /// Whether this request is to be placed next.
  bool isNext(AdmissionTicket Ticket, TimePoint Now);
  /// Notes that the request, whose turn it is, found no memory. After some time it lets others go
  /// first for a short time. An unknown ticket is ignored.
  void onNotPlaced(AdmissionTicket Ticket, TimePoint Now);
  /// Lets others go first for a short time, since the request can't be placed for a reason of its
  /// own. An unknown ticket is ignored.
  void defer(AdmissionTicket Ticket, TimePoint Now);
  /// Removes a request that was placed. An unknown ticket is ignored.
  void take(AdmissionTicket Ticket);
  /// Removes a request that was refused or abandoned. An unknown ticket is ignored.
  void remove(AdmissionTicket Ticket);
  /// When the wait of a request ends: the latest time at which it may be placed. Precondition: it
  /// waits.
  TimePoint waitEnd(AdmissionTicket Ticket) const { return Waiting_.at(Ticket).WaitEnd_; }

  /// Records that a request, which may have waited or not, was sent to engines with memory for it.
  void onPlaced(const ServiceId &Service, PriorityClass Priority, double Tokens, TimePoint Now);
  /// The engines rejected a request for which onPlaced was called.
  void onRejected(const ServiceId &Service, PriorityClass Priority, double Tokens, TimePoint Now);
  /// Records the time from the send of a request to its first event.
  void onFirstEvent(const ServiceId &Service, Duration Took);

  /// How long the request would wait; nothing if no request was placed lately.
  std::optional<Duration> expectedWait(const StreamAdmissionRequest &Request, TimePoint Now);
  /// The time after which a caller that is refused now may try again: when the requests that wait,
  /// and those that were told to come back before, are expected to have obtained memory. Draw is a
  /// random number in [0, 1). The caller is expected back then.
  Duration retryAfter(const ServiceId &Service, double Tokens, double Draw, TimePoint Now);

  std::size_t size() const { return Waiting_.size(); }
  /// Number of waiting requests by service and class. Classes without any are left out.
  std::map<std::pair<ServiceId, PriorityClass>, std::size_t> sizeByClass() const;

private:
  struct Entry {
    StreamAdmissionRequest Request_;
    TimePoint WaitEnd_{};
    /// Until then the request is in none of the groups.
    std::optional<TimePoint> DeferredUntil_;
    /// When its present turn began.
    std::optional<TimePoint> TurnSince_;
  };
  struct Placement {
    TimePoint At_{};
    PriorityClass Priority_{0};
    /// Negative for a placement that engines rejected.
    double Tokens_ = 0;
  };
  struct Return {
    TimePoint At_{};
    double Tokens_ = 0;
  };
  struct ServiceState {
    explicit ServiceState(Duration AgeingStep)
        : InTime_(QueueOrder::Fair, AgeingStep), Late_(QueueOrder::Fair, AgeingStep) {}

    /// Requests whose first event can still be in time, and the others. Without an order by class,
    /// all are in the first group.
    FairQueue InTime_;
    FairQueue Late_;
    bool OrderByClass_ = false;
    std::size_t Deferred_ = 0;
    /// Placements of the first group since the last one of the second, while both had requests.
    std::uint32_t InTimePlacements_ = 0;
    /// How long callers wait for a first event, by class, as the latest requests have it.
    std::map<PriorityClass, Duration> FirstEventTimeouts_;
    std::deque<Placement> Placements_;
    std::deque<Return> Returns_;
    double FirstEventSeconds_ = 0.15;
  };

  ServiceState &service(const ServiceId &Id, bool OrderByClass);
  /// Moves requests whose deferral or time for an event in time has passed.
  void update(ServiceState &Of, TimePoint Now);
  void push(ServiceState &To, const Entry &Added, TimePoint Now);
  /// The request to place next, in the group that has the turn.
  std::optional<AdmissionTicket> next(const ServiceState &Of, TimePoint Now) const;
  bool isLateTurn(const ServiceState &Of) const;
  /// Tokens that obtained memory in a second lately, of classes from Least on.
  double rate(ServiceState &Of, PriorityClass Least, TimePoint Now) const;
  Duration firstEventTime(const ServiceState &Of) const;
  TimePoint waitEndOf(const ServiceState &Of, const StreamAdmissionRequest &Request,
                      TimePoint Now) const;
  bool canBeInTime(const ServiceState &Of, const StreamAdmissionRequest &Request, Duration Wait,
                   TimePoint Now) const;

  StreamAdmissionOptions Options_;
  std::map<AdmissionTicket, Entry> Waiting_;
  std::map<ServiceId, ServiceState> Services_;
};

} // namespace rattancart
