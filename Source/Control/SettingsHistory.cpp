#include "Control/SettingsHistory.h"

#include <algorithm>
#include <utility>

namespace rattancart {

void SettingsHistory::add(Decision Item) {
  Items_.push_back(std::move(Item));
  if (Items_.size() <= Limit_)
    return;
  DroppedUpTo_ = Items_.front().Offset_;
  Items_.pop_front();
}

std::vector<Decision> SettingsHistory::find(const SettingsPath &Path, std::size_t Limit) const {
  const auto Matches = [&](const Decision &Item) {
    return Path.isRoot() ||
           std::any_of(Item.Paths_.begin(), Item.Paths_.end(), [&](const SettingsPath &Changed) {
             return Changed.isAtOrBelow(Path) || Path.isAtOrBelow(Changed);
           });
  };
  std::vector<Decision> Found;
  for (auto It = Items_.rbegin(); It != Items_.rend() && Found.size() < Limit; ++It)
    if (Matches(*It))
      Found.push_back(*It);
  return Found;
}

const Decision *SettingsHistory::findChange(const ChangeId &Id) const {
  const auto Found = std::find_if(Items_.begin(), Items_.end(), [&](const Decision &Item) {
    return Item.Change_ == Id && Item.Kind_ != Decision::Kind::Duplicate;
  });
  return Found == Items_.end() ? nullptr : &*Found;
}

} // namespace rattancart
