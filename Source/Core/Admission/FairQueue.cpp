#include "Core/Admission/FairQueue.h"

#include <algorithm>

namespace rattancart {

double FairQueue::Flow::backTag() const {
  double Tag = Start_;
  for (const QueuedRequest &Request : Waiting_)
    Tag += Request.Cost_ / Weight_;
  return Tag;
}

std::map<CustomerId, FairQueue::Flow>::const_iterator FairQueue::Class::next() const {
  return std::min_element(Flows_.begin(), Flows_.end(), [](const auto &Left, const auto &Right) {
    const double LeftTag = Left.second.headTag();
    const double RightTag = Right.second.headTag();
    if (LeftTag != RightTag)
      return LeftTag < RightTag;
    return Left.second.Waiting_.front().Ticket_ < Right.second.Waiting_.front().Ticket_;
  });
}

PriorityClass FairQueue::classOf(PriorityClass Priority) const {
  return Order_ == QueueOrder::Arrival ? PriorityClass(0) : Priority;
}

const CustomerId &FairQueue::flowOf(const CustomerId &Customer) const {
  return Order_ == QueueOrder::Arrival ? Everyone_ : Customer;
}

double FairQueue::tagOf(const CustomerId &Customer, PriorityClass Priority, double Cost,
                        double Weight) const {
  const auto It = Classes_.find(classOf(Priority));
  if (It == Classes_.end())
    return Cost / Weight;
  const auto Own = It->second.Flows_.find(flowOf(Customer));
  const double From =
      Own == It->second.Flows_.end() ? It->second.VirtualTime_ : Own->second.backTag();
  return From + Cost / Weight;
}

double FairQueue::rankOf(PriorityClass Priority, const QueuedRequest &Head, TimePoint Now) const {
  const double Age = std::chrono::duration<double>(Now - Head.QueuedAt_).count();
  return Priority.value() - Age / std::chrono::duration<double>(AgeingStep_).count();
}

void FairQueue::push(QueuedRequest Request, double Weight) {
  const PriorityClass Priority = classOf(Request.Priority_);
  const CustomerId Owner = flowOf(Request.Customer_);
  Class &Where = Classes_[Priority];
  const auto [It, Added] = Where.Flows_.try_emplace(Owner);
  if (Added)
    It->second.Start_ = Where.VirtualTime_;
  It->second.Weight_ = Weight;
  Places_[Request.Ticket_] = Place{Priority, Owner};
  It->second.Waiting_.push_back(std::move(Request));
  ++Where.Size_;
}

QueuedRequest FairQueue::take(AdmissionTicket Ticket) {
  const auto Entry = Places_.find(Ticket);
  const Place Here = Entry->second;
  Places_.erase(Entry);
  Class &From = Classes_[Here.Class_];
  Flow &Owner = From.Flows_.at(Here.Flow_);
  const auto It = std::find_if(Owner.Waiting_.begin(), Owner.Waiting_.end(),
                               [&](const auto &Each) { return Each.Ticket_ == Ticket; });
  QueuedRequest Request = std::move(*It);
  Owner.Waiting_.erase(It);
  if (Owner.Waiting_.empty())
    From.Flows_.erase(Here.Flow_);
  if (--From.Size_ == 0)
    Classes_.erase(Here.Class_);
  return Request;
}

std::optional<QueuedRequest> FairQueue::pop(TimePoint Now) {
  auto Best = Classes_.end();
  double BestRank = 0;
  for (auto It = Classes_.begin(); It != Classes_.end(); ++It) {
    const double Rank = rankOf(It->first, It->second.next()->second.Waiting_.front(), Now);
    if (Best == Classes_.end() || Rank < BestRank) {
      Best = It;
      BestRank = Rank;
    }
  }
  if (Best == Classes_.end())
    return std::nullopt;
  Class &From = Best->second;
  Flow &Owner = From.Flows_.at(From.next()->first);
  From.VirtualTime_ = std::max(From.VirtualTime_, Owner.headTag());
  Owner.Start_ = Owner.headTag();
  return take(Owner.Waiting_.front().Ticket_);
}

bool FairQueue::remove(AdmissionTicket Ticket) {
  if (!Places_.contains(Ticket))
    return false;
  take(Ticket);
  return true;
}

double FairQueue::costAhead(const CustomerId &Customer, PriorityClass Priority, double Cost,
                            double Weight, TimePoint Now) const {
  const PriorityClass Own = classOf(Priority);
  const double Limit = tagOf(Customer, Priority, Cost, Weight);
  double Ahead = 0;
  for (const auto &[Other, Content] : Classes_) {
    for (const auto &[Id, Owner] : Content.Flows_) {
      double Tag = Owner.Start_;
      for (const QueuedRequest &Request : Owner.Waiting_) {
        Tag += Request.Cost_ / Owner.Weight_;
        if (Other == Own && Tag > Limit)
          break;
        if (Other <= Own || rankOf(Other, Request, Now) < Own.value())
          Ahead += Request.Cost_;
      }
    }
  }
  return Ahead;
}

std::optional<QueuedRequest> FairQueue::displace(const CustomerId &Customer, PriorityClass Priority,
                                                 double Cost, double Weight) {
  if (Classes_.empty() || Order_ == QueueOrder::Arrival)
    return std::nullopt;
  const auto &[Lowest, Content] = *std::prev(Classes_.end());
  const auto Worst = std::max_element(Content.Flows_.begin(), Content.Flows_.end(),
                                      [](const auto &Left, const auto &Right) {
                                        return Left.second.backTag() < Right.second.backTag();
                                      });
  const bool IsBefore =
      Priority < Lowest ||
      (Priority == Lowest && tagOf(Customer, Priority, Cost, Weight) < Worst->second.backTag());
  if (!IsBefore)
    return std::nullopt;
  return take(Worst->second.Waiting_.back().Ticket_);
}

std::size_t FairQueue::sizeOf(PriorityClass Priority) const {
  const auto It = Classes_.find(classOf(Priority));
  return It == Classes_.end() ? 0 : It->second.Size_;
}

} // namespace rattancart
