#pragma once

#include "Core/Admission/AdmissionTypes.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace rattancart {

/// The order in which a queue serves.
enum class QueueOrder : std::uint8_t {
  /// By class, aged; within a class weighted fair among customers.
  Fair,
  /// By arrival alone; a baseline for measurements.
  Arrival,
};

/// One request that waits.
struct QueuedRequest {
  AdmissionTicket Ticket_{};
  CustomerId Customer_;
  PriorityClass Priority_{1};
  double Cost_ = 1;
  TimePoint Deadline_{};
  TimePoint QueuedAt_{};
};

/// A queue with priority classes and, within a class, weighted fairness among customers
/// (self-clocked fair queueing: the finish tag of a customer's first request is the class's virtual
/// time when it became the first, plus cost by weight; the least tag is served). Requests that are
/// removed unserved cost their customer nothing.
///
/// A waiting request rises by one class each AgeingStep, so that a low class is delayed but not
/// starved. Not thread-safe.
class FairQueue {
public:
  /// Precondition: AgeingStep is positive.
  FairQueue(QueueOrder Order, Duration AgeingStep) : Order_(Order), AgeingStep_(AgeingStep) {}

  /// Adds a request. Precondition: Weight and the request's cost are positive.
  void push(QueuedRequest Request, double Weight);
  /// The request to serve next, removed; none if the queue is empty.
  std::optional<QueuedRequest> pop(TimePoint Now);
  /// Removes one request; false if it does not wait here.
  bool remove(AdmissionTicket Ticket);
  /// Removes the requests for which Late says so.
  template <typename Predicate> std::vector<QueuedRequest> removeIf(Predicate Late);

  /// The cost that would be served before a new request of the customer and class.
  double costAhead(const CustomerId &Customer, PriorityClass Priority, double Cost, double Weight,
                   TimePoint Now) const;
  /// Removes and returns the request that would be served last, if the new one would be served
  /// before it.
  std::optional<QueuedRequest> displace(const CustomerId &Customer, PriorityClass Priority,
                                        double Cost, double Weight);

  std::size_t size() const { return Places_.size(); }
  /// The number that waits in one class.
  std::size_t sizeOf(PriorityClass Priority) const;

private:
  /// One customer's requests in one class.
  struct Flow {
    std::deque<QueuedRequest> Waiting_;
    double Weight_ = 1;
    /// The virtual time at which the first request became the first.
    double Start_ = 0;

    double headTag() const { return Start_ + Waiting_.front().Cost_ / Weight_; }
    double backTag() const;
  };
  struct Class {
    std::map<CustomerId, Flow> Flows_;
    double VirtualTime_ = 0;
    std::size_t Size_ = 0;

    std::map<CustomerId, Flow>::const_iterator next() const;
  };
  struct Place {
    PriorityClass Class_;
    CustomerId Flow_;
  };
  PriorityClass classOf(PriorityClass Priority) const;
  const CustomerId &flowOf(const CustomerId &Customer) const;
  double tagOf(const CustomerId &Customer, PriorityClass Priority, double Cost,
               double Weight) const;
  double rankOf(PriorityClass Priority, const QueuedRequest &Head, TimePoint Now) const;
  QueuedRequest take(AdmissionTicket Ticket);

  QueueOrder Order_;
  Duration AgeingStep_;
  CustomerId Everyone_;
  std::map<PriorityClass, Class> Classes_;
  std::map<AdmissionTicket, Place> Places_;
};

template <typename Predicate> std::vector<QueuedRequest> FairQueue::removeIf(Predicate Late) {
  std::vector<AdmissionTicket> Tickets;
  for (const auto &[Priority, Content] : Classes_)
    for (const auto &[Customer, Requests] : Content.Flows_)
      for (const QueuedRequest &Request : Requests.Waiting_)
        if (Late(Request))
          Tickets.push_back(Request.Ticket_);
  std::vector<QueuedRequest> Removed;
  Removed.reserve(Tickets.size());
  for (const AdmissionTicket Ticket : Tickets)
    Removed.push_back(take(Ticket));
  return Removed;
}

} // namespace rattancart
