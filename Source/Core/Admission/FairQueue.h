#pragma once

#include "Core/Admission/AdmissionTypes.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
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
/// (self-clocked fair queueing: a request's finish tag is the customer's last tag, or the class's
/// virtual time if that is later, plus cost by weight).
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
  /// Removes the requests for which Late says so, in the order of their tickets.
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
  struct Key {
    double Tag_ = 0;
    AdmissionTicket Ticket_{};
    auto operator<=>(const Key &) const = default; // NOLINT
  };
  struct Class {
    std::map<Key, QueuedRequest> Waiting_;
    std::unordered_map<CustomerId, double> LastTag_;
    double VirtualTime_ = 0;
  };
  struct Place {
    PriorityClass Class_;
    Key Key_;
  };
  PriorityClass classOf(PriorityClass Priority) const;
  double tagOf(const CustomerId &Customer, PriorityClass Priority, double Cost,
               double Weight) const;
  double rankOf(PriorityClass Priority, const QueuedRequest &Head, TimePoint Now) const;
  QueuedRequest take(PriorityClass Priority, const Key &At);

  QueueOrder Order_;
  Duration AgeingStep_;
  std::map<PriorityClass, Class> Classes_;
  std::map<AdmissionTicket, Place> Places_;
};

template <typename Predicate> std::vector<QueuedRequest> FairQueue::removeIf(Predicate Late) {
  std::vector<QueuedRequest> Removed;
  for (auto It = Places_.begin(); It != Places_.end();) {
    const Place Here = (It++)->second;
    if (Late(Classes_[Here.Class_].Waiting_.at(Here.Key_)))
      Removed.push_back(take(Here.Class_, Here.Key_));
  }
  return Removed;
}

} // namespace rattancart
