#pragma once

#include "Core/Admission/AdmissionTypes.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace rattancart {

/// The order in which a queue serves requests.
enum class QueueOrder : std::uint8_t {
  /// By priority class, where waiting raises the class; weighted fair among customers in a class.
  Fair,
  /// First come, first served; a baseline for measurements.
  Arrival,
};

/// A waiting request.
struct QueuedRequest {
  AdmissionTicket Ticket_{};
  CustomerId Customer_;
  PriorityClass Priority_{1};
  double Cost_ = 1;
  TimePoint Deadline_{};
  TimePoint QueuedAt_{};
};

/// A queue with priority classes and, within a class, weighted fairness among customers.
///
/// Within a class it uses self-clocked fair queueing: the finish tag of a customer's first request
/// is the class's virtual time when the request became the first, plus its cost divided by the
/// customer's weight. The request with the lowest finish tag is served. Requests that are removed
/// without being served cost their customer nothing.
///
/// A waiting request rises by one class each AgeingStep, so that a low class is delayed but not
/// starved. Not thread-safe.
class FairQueue {
public:
  /// Precondition: AgeingStep is positive.
  FairQueue(QueueOrder Order, Duration AgeingStep) : Order_(Order), AgeingStep_(AgeingStep) {}

  /// Adds a request, before those of its customer and class that have a later QueuedAt_.
  /// Precondition: Weight and the request's cost are positive.
  void push(QueuedRequest Request, double Weight);
  /// Removes and returns the request to serve next; none if the queue is empty.
  std::optional<QueuedRequest> pop(TimePoint Now);
  /// The request to serve next; none if the queue is empty.
  std::optional<AdmissionTicket> first(TimePoint Now) const;
  /// Removes a request and counts it as served for its customer. Returns false if it is not in the
  /// queue.
  bool serve(AdmissionTicket Ticket);
  /// Removes a request. Returns false if it is not in the queue.
  bool remove(AdmissionTicket Ticket);
  /// Removes and returns the requests for which Matches returns true.
  template <typename Predicate> std::vector<QueuedRequest> removeIf(Predicate Matches);

  /// The total cost of the requests that would be served before a new request of this customer and
  /// class.
  double costAhead(const CustomerId &Customer, PriorityClass Priority, double Cost, double Weight,
                   TimePoint Now) const;
  /// Removes and returns the request that would be served last, if a new request of this customer
  /// and class would be served before it.
  std::optional<QueuedRequest> displace(const CustomerId &Customer, PriorityClass Priority,
                                        double Cost, double Weight);

  std::size_t size() const { return Locations_.size(); }
  /// The number of requests that wait in one class.
  std::size_t sizeOf(PriorityClass Priority) const;

private:
  /// One customer's requests in one class.
  struct CustomerFlow {
    std::deque<QueuedRequest> Waiting_;
    double Weight_ = 1;
    /// The level's virtual time when the present first request became the first.
    double StartTag_ = 0;

    double firstFinishTag() const { return StartTag_ + Waiting_.front().Cost_ / Weight_; }
    /// The finish tag of the last request if the flow's requests are served one after another.
    double lastFinishTag() const;
  };
  /// The requests of one priority class.
  struct PriorityLevel {
    std::map<CustomerId, CustomerFlow> Flows_;
    double VirtualTime_ = 0;
    std::size_t Size_ = 0;

    /// The flow to serve next. Precondition: there is one.
    std::map<CustomerId, CustomerFlow>::const_iterator next() const;
  };
  /// The level and the flow that hold a request.
  struct Location {
    PriorityClass Priority_;
    CustomerId FlowId_;
  };
  /// The class under which a request is queued: its own, or a common one for order by arrival.
  PriorityClass levelOf(PriorityClass Priority) const;
  /// The flow in which a request is queued: its customer's, or a common one for order by arrival.
  const CustomerId &flowIdOf(const CustomerId &Customer) const;
  /// The finish tag that a new request would get.
  double finishTagOf(const CustomerId &Customer, PriorityClass Priority, double Cost,
                     double Weight) const;
  /// The level to serve next, or the end.
  std::map<PriorityClass, PriorityLevel>::const_iterator nextLevel(TimePoint Now) const;
  /// The priority of a waiting request, raised by one class for each AgeingStep; lowest first.
  double agedPriority(PriorityClass Priority, const QueuedRequest &Head, TimePoint Now) const;
  /// Removes and returns a request. Precondition: it is in the queue.
  QueuedRequest extract(AdmissionTicket Ticket);

  QueueOrder Order_;
  Duration AgeingStep_;
  CustomerId SharedFlowId_;
  std::map<PriorityClass, PriorityLevel> Levels_;
  std::map<AdmissionTicket, Location> Locations_;
};

template <typename Predicate> std::vector<QueuedRequest> FairQueue::removeIf(Predicate Matches) {
  std::vector<AdmissionTicket> Tickets;
  for (const auto &[Priority, Level] : Levels_)
    for (const auto &[Customer, Requests] : Level.Flows_)
      for (const QueuedRequest &Request : Requests.Waiting_)
        if (Matches(Request))
          Tickets.push_back(Request.Ticket_);
  std::vector<QueuedRequest> Removed;
  Removed.reserve(Tickets.size());
  for (const AdmissionTicket Ticket : Tickets)
    Removed.push_back(extract(Ticket));
  return Removed;
}

} // namespace rattancart
