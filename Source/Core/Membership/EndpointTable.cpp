#include "Core/Membership/EndpointTable.h"

#include <algorithm>

namespace rattancart {

namespace {

EndpointChange changeTo(EndpointState State) {
  return State == EndpointState::Gone ? EndpointChange::Gone : EndpointChange::Leaving;
}

} // namespace

EndpointChange EndpointTable::apply(const Endpoint &Update, TimePoint Now) {
  auto [It, Added] = Entries_.try_emplace(Update.Id_, Entry{Update, Now});
  if (Added)
    return EndpointChange::Added;

  Entry &Known = It->second;
  Endpoint &Old = Known.Endpoint_;
  if (Update.Incarnation_ < Old.Incarnation_)
    return EndpointChange::Stale;
  if (Update.Incarnation_ > Old.Incarnation_) {
    Known = Entry{Update, Now};
    return EndpointChange::Added;
  }

  // The list and the endpoint report independently, so an update may be older than the known
  // record.
  const EndpointState State = std::max(Old.State_, Update.State_);
  const bool Raised = State != Old.State_;
  const bool Newer = Update.LoadSequence_ > Old.LoadSequence_;
  const bool BecameSilent =
      Update.LoadSequence_ == Old.LoadSequence_ && Update.Silent_ && !Old.Silent_;
  if (Newer)
    Old = Update;
  Old.State_ = State;
  Old.Silent_ = Old.Silent_ || BecameSilent;
  if (Update.LoadSequence_ >= Old.LoadSequence_)
    Known.HeardAt_ = std::max(Known.HeardAt_, Now);
  if (Raised)
    return changeTo(State);
  return Newer || BecameSilent ? EndpointChange::Updated : EndpointChange::None;
}

void EndpointTable::setDrained(const std::vector<EndpointId> &Drained) {
  Drained_ = {Drained.begin(), Drained.end()};
}

EndpointChange EndpointTable::markSilent(const EndpointId &Id, Incarnation Run) {
  const auto It = Entries_.find(Id);
  if (It == Entries_.end())
    return EndpointChange::None;
  Endpoint &Known = It->second.Endpoint_;
  if (Known.Incarnation_ != Run)
    return EndpointChange::Stale;
  if (Known.Silent_)
    return EndpointChange::None;
  Known.Silent_ = true;
  return EndpointChange::Updated;
}

EndpointChange EndpointTable::raiseState(const EndpointId &Id, Incarnation Run,
                                         EndpointState State) {
  const auto It = Entries_.find(Id);
  if (It == Entries_.end())
    return EndpointChange::None;
  Endpoint &Known = It->second.Endpoint_;
  if (Known.Incarnation_ != Run)
    return EndpointChange::Stale;
  if (Known.State_ >= State)
    return EndpointChange::None;
  Known.State_ = State;
  return changeTo(State);
}

EndpointChange EndpointTable::markLeaving(const EndpointId &Id, Incarnation Run) {
  return raiseState(Id, Run, EndpointState::Leaving);
}

EndpointChange EndpointTable::markGone(const EndpointId &Id, Incarnation Run) {
  return raiseState(Id, Run, EndpointState::Gone);
}

void EndpointTable::forgetGone(TimePoint Horizon) {
  std::erase_if(Entries_, [&](const auto &Item) {
    return Item.second.Endpoint_.State_ == EndpointState::Gone && Item.second.HeardAt_ < Horizon;
  });
}

const Endpoint *EndpointTable::find(const EndpointId &Id) const {
  const auto It = Entries_.find(Id);
  return It == Entries_.end() ? nullptr : &It->second.Endpoint_;
}

bool EndpointTable::isStale(const Entry &Known) const {
  return Time_ && Time_->now() - Known.HeardAt_ > FreshFor_;
}

bool EndpointTable::isStale(const EndpointId &Id) const {
  const auto It = Entries_.find(Id);
  return It == Entries_.end() || isStale(It->second);
}

bool EndpointTable::mayTakeWork(const Entry &Known) const {
  const Endpoint &E = Known.Endpoint_;
  return E.State_ == EndpointState::Live && !E.Silent_ && !isStale(Known) &&
         !Drained_.contains(E.Id_);
}

bool EndpointTable::mayTakeWork(const EndpointId &Id) const {
  const auto It = Entries_.find(Id);
  return It != Entries_.end() && mayTakeWork(It->second);
}

TimePoint EndpointTable::heardAt(const EndpointId &Id) const {
  const auto It = Entries_.find(Id);
  return It == Entries_.end() ? TimePoint{} : It->second.HeardAt_;
}

void EndpointTable::forEach(const std::function<void(const Endpoint &)> &Visit) const {
  for (const auto &[Id, Known] : Entries_)
    Visit(Known.Endpoint_);
}

std::vector<const Endpoint *> EndpointTable::liveEngines(const ModelId &Model,
                                                         const ModelVersion &Version) const {
  std::vector<const Endpoint *> Found;
  for (const auto &[Id, Known] : Entries_) {
    const Endpoint &E = Known.Endpoint_;
    if (E.Kind_ == EndpointKind::Engine && E.Model_ == Model && E.Version_ == Version &&
        mayTakeWork(Known))
      Found.push_back(&E);
  }
  return Found;
}

std::vector<const Endpoint *> EndpointTable::liveServices(const ServiceId &Service) const {
  std::vector<const Endpoint *> Found;
  for (const auto &[Id, Known] : Entries_) {
    const Endpoint &E = Known.Endpoint_;
    if (E.Kind_ == EndpointKind::Service && E.Service_ == Service && mayTakeWork(Known))
      Found.push_back(&E);
  }
  return Found;
}

} // namespace rattancart
