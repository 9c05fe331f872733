#include "Core/Admission/FairQueue.h"

#include <algorithm>

namespace rattancart {

double FairQueue::CustomerFlow::lastFinishTag() const {
  double Tag = StartTag_;
  for (const QueuedRequest &Request : Waiting_)
    Tag += Request.Cost_ / Weight_;
  return Tag;
}

std::map<CustomerId, FairQueue::CustomerFlow>::const_iterator
FairQueue::PriorityLevel::next() const {
  return std::min_element(Flows_.begin(), Flows_.end(), [](const auto &Left, const auto &Right) {
    const double LeftTag = Left.second.firstFinishTag();
    const double RightTag = Right.second.firstFinishTag();
    if (LeftTag != RightTag)
      return LeftTag < RightTag;
    return Left.second.Waiting_.front().Ticket_ < Right.second.Waiting_.front().Ticket_;
  });
}

PriorityClass FairQueue::levelOf(PriorityClass Priority) const {
  return Order_ == QueueOrder::Arrival ? PriorityClass(0) : Priority;
}

const CustomerId &FairQueue::flowIdOf(const CustomerId &Customer) const {
  return Order_ == QueueOrder::Arrival ? SharedFlowId_ : Customer;
}

double FairQueue::finishTagOf(const CustomerId &Customer, PriorityClass Priority, double Cost,
                              double Weight) const {
  const auto It = Levels_.find(levelOf(Priority));
  if (It == Levels_.end())
    return Cost / Weight;
  const auto Existing = It->second.Flows_.find(flowIdOf(Customer));
  const double StartTag = Existing == It->second.Flows_.end() ? It->second.VirtualTime_
                                                              : Existing->second.lastFinishTag();
  return StartTag + Cost / Weight;
}

double FairQueue::agedPriority(PriorityClass Priority, const QueuedRequest &Head,
                               TimePoint Now) const {
  const double Age = std::chrono::duration<double>(Now - Head.QueuedAt_).count();
  return Priority.value() - Age / std::chrono::duration<double>(AgeingStep_).count();
}

void FairQueue::push(QueuedRequest Request, double Weight) {
  const PriorityClass Priority = levelOf(Request.Priority_);
  const CustomerId FlowId = flowIdOf(Request.Customer_);
  PriorityLevel &Level = Levels_[Priority];
  const auto [It, Added] = Level.Flows_.try_emplace(FlowId);
  if (Added)
    It->second.StartTag_ = Level.VirtualTime_;
  It->second.Weight_ = Weight;
  Locations_[Request.Ticket_] = Location{Priority, FlowId};
  std::deque<QueuedRequest> &Waiting = It->second.Waiting_;
  auto Before = Waiting.end();
  while (Before != Waiting.begin() && std::prev(Before)->QueuedAt_ > Request.QueuedAt_)
    --Before;
  Waiting.insert(Before, std::move(Request));
  ++Level.Size_;
}

QueuedRequest FairQueue::extract(AdmissionTicket Ticket) {
  const auto Entry = Locations_.find(Ticket);
  const Location Found = Entry->second;
  Locations_.erase(Entry);
  PriorityLevel &Level = Levels_[Found.Priority_];
  CustomerFlow &Flow = Level.Flows_.at(Found.FlowId_);
  const auto It = std::find_if(Flow.Waiting_.begin(), Flow.Waiting_.end(),
                               [&](const auto &Each) { return Each.Ticket_ == Ticket; });
  QueuedRequest Request = std::move(*It);
  Flow.Waiting_.erase(It);
  if (Flow.Waiting_.empty())
    Level.Flows_.erase(Found.FlowId_);
  if (--Level.Size_ == 0)
    Levels_.erase(Found.Priority_);
  return Request;
}

std::map<PriorityClass, FairQueue::PriorityLevel>::const_iterator
FairQueue::nextLevel(TimePoint Now) const {
  auto Best = Levels_.end();
  double BestPriority = 0;
  for (auto It = Levels_.begin(); It != Levels_.end(); ++It) {
    const double Aged = agedPriority(It->first, It->second.next()->second.Waiting_.front(), Now);
    if (Best == Levels_.end() || Aged < BestPriority) {
      Best = It;
      BestPriority = Aged;
    }
  }
  return Best;
}

std::optional<AdmissionTicket> FairQueue::first(TimePoint Now) const {
  const auto Level = nextLevel(Now);
  if (Level == Levels_.end())
    return std::nullopt;
  return Level->second.next()->second.Waiting_.front().Ticket_;
}

bool FairQueue::serve(AdmissionTicket Ticket) {
  const auto Entry = Locations_.find(Ticket);
  if (Entry == Locations_.end())
    return false;
  PriorityLevel &Level = Levels_.at(Entry->second.Priority_);
  CustomerFlow &Flow = Level.Flows_.at(Entry->second.FlowId_);
  Level.VirtualTime_ = std::max(Level.VirtualTime_, Flow.firstFinishTag());
  Flow.StartTag_ = Flow.firstFinishTag();
  extract(Ticket);
  return true;
}

std::optional<QueuedRequest> FairQueue::pop(TimePoint Now) {
  const auto Best = nextLevel(Now);
  if (Best == Levels_.end())
    return std::nullopt;
  PriorityLevel &Level = Levels_.at(Best->first);
  CustomerFlow &Flow = Level.Flows_.at(Level.next()->first);
  Level.VirtualTime_ = std::max(Level.VirtualTime_, Flow.firstFinishTag());
  Flow.StartTag_ = Flow.firstFinishTag();
  return extract(Flow.Waiting_.front().Ticket_);
}

bool FairQueue::remove(AdmissionTicket Ticket) {
  if (!Locations_.contains(Ticket))
    return false;
  extract(Ticket);
  return true;
}

double FairQueue::costAhead(const CustomerId &Customer, PriorityClass Priority, double Cost,
                            double Weight, TimePoint Now) const {
  const PriorityClass OwnLevel = levelOf(Priority);
  const double NewTag = finishTagOf(Customer, Priority, Cost, Weight);
  double Ahead = 0;
  for (const auto &[Other, Level] : Levels_) {
    for (const auto &[Id, Flow] : Level.Flows_) {
      double Tag = Flow.StartTag_;
      for (const QueuedRequest &Request : Flow.Waiting_) {
        Tag += Request.Cost_ / Flow.Weight_;
        if (Other == OwnLevel && Tag > NewTag)
          break;
        if (Other <= OwnLevel || agedPriority(Other, Request, Now) < OwnLevel.value())
          Ahead += Request.Cost_;
      }
    }
  }
  return Ahead;
}

std::optional<QueuedRequest> FairQueue::displace(const CustomerId &Customer, PriorityClass Priority,
                                                 double Cost, double Weight) {
  if (Levels_.empty() || Order_ == QueueOrder::Arrival)
    return std::nullopt;
  const auto &[Lowest, Level] = *std::prev(Levels_.end());
  const auto Last = std::max_element(
      Level.Flows_.begin(), Level.Flows_.end(), [](const auto &Left, const auto &Right) {
        return Left.second.lastFinishTag() < Right.second.lastFinishTag();
      });
  const bool IsServedBefore =
      Priority < Lowest || (Priority == Lowest && finishTagOf(Customer, Priority, Cost, Weight) <
                                                      Last->second.lastFinishTag());
  if (!IsServedBefore)
    return std::nullopt;
  return extract(Last->second.Waiting_.back().Ticket_);
}

std::size_t FairQueue::sizeOf(PriorityClass Priority) const {
  const auto It = Levels_.find(levelOf(Priority));
  return It == Levels_.end() ? 0 : It->second.Size_;
}

} // namespace rattancart
