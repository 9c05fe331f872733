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

MemberGroup::Place MemberGroup::join(const std::string &Member, Duration TimeToLive,
                                     std::int64_t Generation, TimePoint Now) {
  expire(Now);
  const bool IsNew = !Members_.contains(Member);
  Members_[Member] = Now + TimeToLive;
  if (IsNew)
    deal();
  // A member that knows the generation has stopped with what is no longer its own.
  if (Generation >= Generation_ || IsNew)
    for (std::size_t Part = 0; Part < Holders_.size(); ++Part)
      if (Holders_[Part] == Member || Holders_[Part].empty())
        Holders_[Part] = Next_[Part];
  Place Found;
  Found.Generation_ = Generation_;
  for (std::uint32_t Part = 0; Part < Holders_.size(); ++Part)
    if (Holders_[Part] == Member && Next_[Part] == Member)
      Found.Partitions_.push_back(Part);
  return Found;
}

void MemberGroup::leave(const std::string &Member, TimePoint Now) {
  expire(Now);
  if (Members_.contains(Member))
    remove(Member);
}

const std::vector<std::string> &MemberGroup::holders(TimePoint Now) {
  expire(Now);
  return Holders_;
}

void MemberGroup::expire(TimePoint Now) {
  std::vector<std::string> Lapsed;
  for (const auto &[Member, Until] : Members_)
    if (Until <= Now)
      Lapsed.push_back(Member);
  for (const std::string &Member : Lapsed)
    remove(Member);
}

void MemberGroup::remove(const std::string &Member) {
  Members_.erase(Member);
  deal();
  for (std::size_t Part = 0; Part < Holders_.size(); ++Part)
    if (Holders_[Part] == Member)
      Holders_[Part] = Next_[Part];
}

void MemberGroup::deal() {
  ++Generation_;
  Next_.assign(Holders_.size(), {});
  if (Members_.empty())
    return;
  for (std::size_t Part = 0; Part < Next_.size(); ++Part) {
    // Holders keep what they have where they are still members.
    if (Members_.contains(Holders_[Part])) {
      Next_[Part] = Holders_[Part];
      continue;
    }
    auto Member = Members_.begin();
    std::advance(Member, static_cast<std::ptrdiff_t>(Part % Members_.size()));
    Next_[Part] = Member->first;
  }
}

} // namespace rattancart
