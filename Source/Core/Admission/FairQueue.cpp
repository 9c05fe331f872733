#include "Core/Admission/FairQueue.h"

#include <algorithm>

namespace rattancart {

PriorityClass FairQueue::classOf(PriorityClass Priority) const {
  return Order_ == QueueOrder::Arrival ? PriorityClass(0) : Priority;
}

double FairQueue::tagOf(const CustomerId &Customer, PriorityClass Priority, double Cost,
                        double Weight) const {
  const auto It = Classes_.find(classOf(Priority));
  // Equal tags leave the order to the tickets, which rise with the arrival.
  if (Order_ == QueueOrder::Arrival)
    return 0;
  if (It == Classes_.end())
    return Cost / Weight;
  const auto Last = It->second.LastTag_.find(Customer);
  const double From = Last == It->second.LastTag_.end()
                          ? It->second.VirtualTime_
                          : std::max(It->second.VirtualTime_, Last->second);
  return From + Cost / Weight;
}

double FairQueue::rankOf(PriorityClass Priority, const QueuedRequest &Head, TimePoint Now) const {
  const double Age = std::chrono::duration<double>(Now - Head.QueuedAt_).count();
  return Priority.value() - Age / std::chrono::duration<double>(AgeingStep_).count();
}

void FairQueue::push(QueuedRequest Request, double Weight) {
  const PriorityClass Priority = classOf(Request.Priority_);
  const Key At{tagOf(Request.Customer_, Request.Priority_, Request.Cost_, Weight), Request.Ticket_};
  Class &Where = Classes_[Priority];
  Where.LastTag_[Request.Customer_] = At.Tag_;
  Places_[Request.Ticket_] = Place{Priority, At};
  Where.Waiting_.emplace(At, std::move(Request));
}

QueuedRequest FairQueue::take(PriorityClass Priority, const Key &At) {
  Class &From = Classes_[Priority];
  const auto It = From.Waiting_.find(At);
  QueuedRequest Request = std::move(It->second);
  From.Waiting_.erase(It);
  Places_.erase(At.Ticket_);
  // An idle class starts anew, so that tags of customers long gone are not kept.
  if (From.Waiting_.empty())
    Classes_.erase(Priority);
  return Request;
}

std::optional<QueuedRequest> FairQueue::pop(TimePoint Now) {
  auto Best = Classes_.end();
  double BestRank = 0;
  for (auto It = Classes_.begin(); It != Classes_.end(); ++It) {
    const double Rank = rankOf(It->first, It->second.Waiting_.begin()->second, Now);
    if (Best == Classes_.end() || Rank < BestRank) {
      Best = It;
      BestRank = Rank;
    }
  }
  if (Best == Classes_.end())
    return std::nullopt;
  const Key At = Best->second.Waiting_.begin()->first;
  Best->second.VirtualTime_ = At.Tag_;
  return take(Best->first, At);
}

bool FairQueue::remove(AdmissionTicket Ticket) {
  const auto It = Places_.find(Ticket);
  if (It == Places_.end())
    return false;
  const Place Here = It->second;
  take(Here.Class_, Here.Key_);
  return true;
}

double FairQueue::costAhead(const CustomerId &Customer, PriorityClass Priority, double Cost,
                            double Weight, TimePoint Now) const {
  const PriorityClass Own = classOf(Priority);
  const double Tag = tagOf(Customer, Priority, Cost, Weight);
  double Ahead = 0;
  for (const auto &[Other, Content] : Classes_) {
    for (const auto &[At, Request] : Content.Waiting_) {
      if (Other == Own && At.Tag_ > Tag)
        break;
      if (Other <= Own || rankOf(Other, Request, Now) < Own.value())
        Ahead += Request.Cost_;
    }
  }
  return Ahead;
}

std::optional<QueuedRequest> FairQueue::displace(const CustomerId &Customer, PriorityClass Priority,
                                                 double Cost, double Weight) {
  if (Classes_.empty() || Order_ == QueueOrder::Arrival)
    return std::nullopt;
  const auto Worst = std::prev(Classes_.end());
  const Key Last = std::prev(Worst->second.Waiting_.end())->first;
  const PriorityClass Lowest = Worst->first;
  if (Lowest < Priority ||
      (Lowest == Priority && Last.Tag_ <= tagOf(Customer, Priority, Cost, Weight)))
    return std::nullopt;
  return take(Lowest, Last);
}

std::size_t FairQueue::sizeOf(PriorityClass Priority) const {
  const auto It = Classes_.find(classOf(Priority));
  return It == Classes_.end() ? 0 : It->second.Waiting_.size();
}

} // namespace rattancart
