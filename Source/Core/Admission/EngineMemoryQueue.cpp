#include "Core/Admission/EngineMemoryQueue.h"

#include <algorithm>

namespace rattancart {

namespace {

/// The time over which ended streams are counted: long enough to include some, and short enough to
/// notice when streams stop ending.
constexpr Duration StreamEndWindow = std::chrono::seconds(1);

} // namespace

double EngineMemoryQueue::expectedStreamEnds(TimePoint Now) {
  while (!StreamEnds_.empty() && Now - StreamEnds_.front() > StreamEndWindow)
    StreamEnds_.pop_front();
  return static_cast<double>(StreamEnds_.size()) *
         std::chrono::duration<double>(Options_.MaxWait_) /
         std::chrono::duration<double>(StreamEndWindow);
}

bool EngineMemoryQueue::tryEnqueue(AdmissionTicket Ticket, const CustomerId &Customer,
                                   PriorityClass Priority, double Tokens, TimePoint Now) {
  if (static_cast<double>(size()) + 1 > expectedStreamEnds(Now))
    return false;
  QueuedRequest Request;
  Request.Ticket_ = Ticket;
  Request.Customer_ = Customer;
  Request.Priority_ = Priority;
  Request.Cost_ = std::max(1.0, Tokens);
  Request.QueuedAt_ = Now;
  Request.Deadline_ = Now + Options_.MaxWait_;
  Queue_.push(std::move(Request), 1);
  return true;
}

bool EngineMemoryQueue::isNext(AdmissionTicket Ticket, TimePoint Now) {
  if (!Head_)
    Head_ = Queue_.pop(Now);
  return Head_ && Head_->Ticket_ == Ticket;
}

void EngineMemoryQueue::remove(AdmissionTicket Ticket) {
  if (Head_ && Head_->Ticket_ == Ticket)
    Head_.reset();
  else
    Queue_.remove(Ticket);
}

void EngineMemoryQueue::onMemoryFreed(TimePoint Now) { StreamEnds_.push_back(Now); }

} // namespace rattancart
