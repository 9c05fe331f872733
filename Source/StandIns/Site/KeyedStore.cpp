#include "StandIns/Site/KeyedStore.h"

#include <algorithm>
#include <utility>

namespace rattancart {

void KeyedTopic::append(StoreRecord Record) {
  if (Record.Value_)
    Newest_[Record.Key_] = *Record.Value_;
  else
    Newest_.erase(Record.Key_);
  Records_.push_back(std::move(Record));
}

std::vector<StoreRecord> KeyedTopic::read(std::uint64_t From) const {
  return {Records_.begin() + static_cast<std::ptrdiff_t>(From - First_), Records_.end()};
}

void KeyedTopic::truncateLogs() {
  First_ = end();
  Records_.clear();
}

MemberGroup::Assignment MemberGroup::join(const std::string &Member, Duration TimeToLive,
                                          std::int64_t Generation, TimePoint Now) {
  expire(Now);
  const bool IsNew = !Members_.contains(Member);
  Members_[Member] = Now + TimeToLive;
  if (IsNew)
    rebalance();
  // A member that has seen the current generation has released the partitions assigned to others.
  if (Generation >= Generation_ || IsNew)
    for (std::size_t Partition = 0; Partition < Owners_.size(); ++Partition)
      if (Owners_[Partition] == Member || Owners_[Partition].empty())
        Owners_[Partition] = TargetOwners_[Partition];
  Assignment Assigned;
  Assigned.Generation_ = Generation_;
  for (std::uint32_t Partition = 0; Partition < Owners_.size(); ++Partition)
    if (Owners_[Partition] == Member && TargetOwners_[Partition] == Member)
      Assigned.Partitions_.push_back(Partition);
  return Assigned;
}

void MemberGroup::leave(const std::string &Member, TimePoint Now) {
  expire(Now);
  if (Members_.contains(Member))
    remove(Member);
}

const std::vector<std::string> &MemberGroup::owners(TimePoint Now) {
  expire(Now);
  return Owners_;
}

void MemberGroup::expire(TimePoint Now) {
  std::vector<std::string> Expired;
  for (const auto &[Member, Until] : Members_)
    if (Until <= Now)
      Expired.push_back(Member);
  for (const std::string &Member : Expired)
    remove(Member);
}

void MemberGroup::remove(const std::string &Member) {
  Members_.erase(Member);
  rebalance();
  for (std::size_t Partition = 0; Partition < Owners_.size(); ++Partition)
    if (Owners_[Partition] == Member)
      Owners_[Partition] = TargetOwners_[Partition];
}

void MemberGroup::rebalance() {
  ++Generation_;
  TargetOwners_.assign(Owners_.size(), {});
  if (Members_.empty())
    return;
  for (std::size_t Partition = 0; Partition < TargetOwners_.size(); ++Partition) {
    // Owners that are still members keep their partitions.
    if (Members_.contains(Owners_[Partition])) {
      TargetOwners_[Partition] = Owners_[Partition];
      continue;
    }
    auto Member = Members_.begin();
    std::advance(Member, static_cast<std::ptrdiff_t>(Partition % Members_.size()));
    TargetOwners_[Partition] = Member->first;
  }
}

} // namespace rattancart
