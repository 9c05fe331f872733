#include "Core/Settings/SettingsDiff.h"

#include "Core/Settings/SettingsFields.h"

#include <algorithm>
#include <set>

namespace rattancart {

namespace {

/// The path of the group to which a leaf belongs; the leaf's own path if there is no such group.
SettingsPath groupPath(const SettingsPath &Leaf) {
  const SettingsGroup Group = findGroup(Leaf.segments());
  const bool Known = Group.Kind_ != SettingsGroupKind::Unknown && Group.Depth_ != 0;
  return Known ? Leaf.prefix(Group.Depth_) : Leaf;
}

void diffGroup(const std::vector<SettingsLeaf> &Old, const std::vector<SettingsLeaf> &New,
               std::vector<SettingsEdit> &Edits) {
  for (const SettingsLeaf &Leaf : New)
    if (std::find(Old.begin(), Old.end(), Leaf) == Old.end())
      Edits.push_back({Leaf.Path_, {Leaf}});
  for (const SettingsLeaf &Leaf : Old)
    if (std::none_of(New.begin(), New.end(),
                     [&](const SettingsLeaf &Kept) { return Kept.Path_ == Leaf.Path_; }))
      Edits.push_back({Leaf.Path_, {}});
}

} // namespace

std::vector<SettingsEdit> diffSettings(const SettingsTree &Present, const SettingsTree &Wanted,
                                       std::span<const SettingsPath> Scopes) {
  std::vector<SettingsEdit> Edits;
  for (const SettingsPath &Scope : Scopes) {
    std::set<SettingsPath> Groups;
    for (const SettingsTree *Tree : {&Present, &Wanted})
      for (const SettingsLeaf &Leaf : Tree->leaves(Scope))
        Groups.insert(groupPath(Leaf.Path_));
    for (const SettingsPath &Group : Groups) {
      const std::vector<SettingsLeaf> Old = Present.leaves(Group);
      const std::vector<SettingsLeaf> New = Wanted.leaves(Group);
      if (Old.empty() || New.empty())
        Edits.push_back({Group, New});
      else
        diffGroup(Old, New, Edits);
    }
  }
  return Edits;
}

} // namespace rattancart
