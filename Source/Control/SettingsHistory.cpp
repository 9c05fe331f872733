#include "Control/SettingsHistory.h"

#include <algorithm>
#include <utility>

namespace rattancart {

void SettingsHistory::add(SettingsDecision Item) {
  Items_.push_back(std::move(Item));
  if (Items_.size() <= Limit_)
    return;
  DroppedUpTo_ = Items_.front().Offset_;
  Items_.pop_front();
}

std::vector<SettingsDecision> SettingsHistory::find(const SettingsPath &Path,
                                                    std::size_t Limit) const {
  const auto Matches = [&](const SettingsDecision &Item) {
    return Path.isRoot() ||
           std::any_of(Item.Paths_.begin(), Item.Paths_.end(), [&](const SettingsPath &Changed) {
             return Changed.isAtOrBelow(Path) || Path.isAtOrBelow(Changed);
           });
  };
  std::vector<SettingsDecision> Found;
  for (auto It = Items_.rbegin(); It != Items_.rend() && Found.size() < Limit; ++It)
    if (Matches(*It))
      Found.push_back(*It);
  return Found;
}

const SettingsDecision *SettingsHistory::findChange(const ChangeId &Id) const {
  const auto Found = std::find_if(Items_.begin(), Items_.end(), [&](const SettingsDecision &Item) {
    return Item.Change_ == Id && Item.Kind_ != SettingsDecision::Kind::Duplicate;
  });
  return Found == Items_.end() ? nullptr : &*Found;
}

} // namespace rattancart
