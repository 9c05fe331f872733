#include "StandIns/FakeInstanceList.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

constexpr std::size_t MaxVersions = 1000;

bool sameEntry(const ListedInstance &A, const ListedInstance &B) {
  return A.Id_ == B.Id_ && A.Kind_ == B.Kind_ && A.Address_ == B.Address_ &&
         A.DataCenter_ == B.DataCenter_ && A.Leaving_ == B.Leaving_ &&
         A.Incarnation_ == B.Incarnation_ && A.Service_ == B.Service_;
}

} // namespace

void FakeInstanceList::put(ListedInstance Entry, TimePoint Now) {
  InstanceList List = latest();
  const auto It = std::find_if(List.Instances_.begin(), List.Instances_.end(),
                               [&](const ListedInstance &Old) { return Old.Id_ == Entry.Id_; });
  if (It == List.Instances_.end())
    List.Instances_.push_back(std::move(Entry));
  else if (sameEntry(*It, Entry))
    return;
  else
    *It = std::move(Entry);
  publish(std::move(List), Now);
}

bool FakeInstanceList::remove(const EndpointId &Id, TimePoint Now) {
  InstanceList List = latest();
  const auto Removed =
      std::erase_if(List.Instances_, [&](const ListedInstance &Old) { return Old.Id_ == Id; });
  if (Removed == 0)
    return false;
  publish(std::move(List), Now);
  return true;
}

InstanceList FakeInstanceList::view(TimePoint Now, Duration Lag, bool Backwards) {
  std::size_t Index = Versions_.size();
  while (Index > 0 && Versions_[Index - 1].At_ > Now - Lag)
    --Index;
  ServePrevious_ = !ServePrevious_;
  if (Backwards && ServePrevious_ && Index > 1)
    --Index;
  return Index == 0 ? InstanceList{} : Versions_[Index - 1].List_;
}

void FakeInstanceList::publish(InstanceList List, TimePoint Now) {
  ++List.Version_;
  Versions_.push_back({Now, std::move(List)});
  if (Versions_.size() > MaxVersions)
    Versions_.pop_front();
}

} // namespace rattancart
