#include "Core/Settings/SettingsCompiler.h"

#include "Core/Settings/SettingsFields.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

namespace rattancart {

namespace {

std::optional<SettingsGroup> groupOf(const SettingsPath &Path) {
  const SettingsGroup Group = findGroup(Path.segments());
  if (Group.Depth_ == 0)
    return std::nullopt;
  return Group;
}

/// The part of a group's key after the team if the name must be unique across teams; otherwise
/// empty. Only the names of routes may be repeated in different teams.
std::string_view nameUniqueAcrossTeams(std::string_view Key) {
  constexpr std::string_view Top = "/teams/";
  if (!Key.starts_with(Top))
    return {};
  const std::string_view Rest = Key.substr(Key.find('/', Top.size()));
  return Rest.starts_with("/routes/") ? std::string_view() : Rest;
}

/// Calls Visit with the iterator of each entry of a map whose key is at or below Path.
template <typename Map, typename Visitor>
void forEachBelow(Map &Entries, const SettingsPath &Path, Visitor Visit) {
  if (const auto Exact = Entries.find(Path.key()); Exact != Entries.end())
    Visit(Exact);
  const std::string Prefix = Path.childPrefix();
  for (auto It = Entries.lower_bound(Prefix); It != Entries.end() && It->first.starts_with(Prefix);
       ++It)
    Visit(It);
}

} // namespace

/// The changes that an update makes once all of them are valid.
struct SettingsCompiler::Update {
  std::vector<SettingsPath> Replaced_;
  std::map<std::string, SettingsEntity, std::less<>> Entities_;
  std::vector<InvalidSetting> Errors_;

  bool replaces(std::string_view Key) const {
    return std::any_of(Replaced_.begin(), Replaced_.end(), [&](const SettingsPath &Path) {
      return SettingsPath::fromKey(Key).isAtOrBelow(Path);
    });
  }
};

void SettingsCompiler::compileGroups(const SettingsTree &Tree, const SettingsPath &Changed,
                                     Update &Staged) const {
  const std::optional<SettingsGroup> ChangedGroup = groupOf(Changed);
  const bool IsInsideGroup = ChangedGroup && Changed.segments().size() > ChangedGroup->Depth_;
  const SettingsPath Root = IsInsideGroup ? Changed.prefix(ChangedGroup->Depth_) : Changed;
  Staged.Replaced_.push_back(Root);
  LeafGroup Group;
  const auto Flush = [&] {
    if (Group.Leaves_.empty())
      return;
    if (std::optional<SettingsEntity> Entity = readGroup(Group, Staged.Errors_))
      Staged.Entities_.insert_or_assign(Group.Path_.key(), std::move(*Entity));
    Group.Leaves_.clear();
  };
  Tree.forEach(Root, [&](const std::string &Key, const SettingsValue &Value) {
    const bool SameGroup = !Group.Leaves_.empty() && Key.starts_with(Group.Path_.childPrefix());
    if (!SameGroup) {
      Flush();
      const SettingsPath Leaf = SettingsPath::fromKey(Key);
      const std::optional<SettingsGroup> KnownGroup = groupOf(Leaf);
      Group.Path_ = KnownGroup ? Leaf.prefix(KnownGroup->Depth_) : Leaf;
      Group.Kind_ = KnownGroup ? KnownGroup->Kind_ : SettingsGroupKind::Unknown;
    }
    const std::size_t Length = Group.Path_.key().size();
    Group.Leaves_.push_back({Key.size() > Length ? Key.substr(Length + 1) : std::string(), Value});
  });
  Flush();
}

void SettingsCompiler::checkNameConflicts(Update &Staged) const {
  const auto Report = [&](std::string_view Key, std::string_view Owner) {
    Staged.Errors_.push_back({SettingsPath::fromKey(Key), ErrorCode::InvalidValue,
                              fmt::format("another name; {} has it already", Owner)});
  };
  const std::vector<std::string> Teams = teamNames();
  std::unordered_map<std::string_view, std::string_view> New;
  for (const auto &[Key, Entity] : Staged.Entities_) {
    const std::string_view Rest = nameUniqueAcrossTeams(Key);
    if (Rest.empty())
      continue;
    if (const auto [Other, IsFirst] = New.emplace(Rest, Key); !IsFirst) {
      Report(Key, Other->second);
      Report(Other->second, Key);
    }
    for (const std::string &Team : Teams) {
      const std::string Other = fmt::format("/teams/{}{}", Team, Rest);
      if (Other != Key && Entities_.contains(Other) && !Staged.replaces(Other))
        Report(Key, Other);
    }
  }
}

std::vector<std::string> SettingsCompiler::teamNames() const {
  std::vector<std::string> Names;
  std::string Prefix = "/teams/";
  const std::size_t Length = Prefix.size();
  for (auto It = Entities_.lower_bound(Prefix);
       It != Entities_.end() && It->first.starts_with("/teams/");
       It = Entities_.lower_bound(Prefix)) {
    Names.push_back(It->first.substr(Length, It->first.find('/', Length) - Length));
    // '0' is the character after '/', so this skips all keys of the team.
    Prefix = fmt::format("/teams/{}0", Names.back());
  }
  return Names;
}

std::vector<InvalidSetting> SettingsCompiler::update(const SettingsTree &Tree,
                                                     std::span<const SettingsPath> Changed) {
  Update Staged;
  for (const SettingsPath &Path : Changed)
    compileGroups(Tree, Path, Staged);
  checkNameConflicts(Staged);
  if (!Staged.Errors_.empty())
    return std::move(Staged.Errors_);
  for (const SettingsPath &Path : Staged.Replaced_) {
    std::vector<std::string> RemovedKeys;
    forEachBelow(Entities_, Path, [&](const auto &It) { RemovedKeys.push_back(It->first); });
    for (const std::string &Key : RemovedKeys)
      Entities_.erase(Key);
  }
  Entities_.merge(Staged.Entities_);
  return {};
}

SettingsViewPtr SettingsCompiler::view(LogOffset Offset) const {
  auto View = std::make_shared<SettingsView>();
  View->Offset_ = Offset;
  for (const auto &[Key, Entity] : Entities_) {
    const std::string Name = Key.substr(Key.rfind('/') + 1);
    if (const auto *FoundRoute = std::get_if<std::shared_ptr<const Route>>(&Entity))
      View->Routes_.push_back(**FoundRoute);
    else if (const auto *Model = std::get_if<std::shared_ptr<const ModelSpec>>(&Entity))
      View->Models_.push_back(**Model);
    else if (const auto *Service = std::get_if<std::shared_ptr<const ServiceTraits>>(&Entity))
      View->Services_.emplace((*Service)->Service_, **Service);
    else if (const auto *Grant = std::get_if<std::shared_ptr<const OperatorGrant>>(&Entity))
      View->Operators_.push_back(**Grant);
    else if (const auto *Drained = std::get_if<bool>(&Entity); Drained && *Drained)
      View->Drained_.emplace_back(Name);
    else if (const auto *Limit = std::get_if<CustomerLimit>(&Entity)) {
      if (Key == "/defaults/limit")
        View->DefaultLimit_ = *Limit;
      else
        View->Limits_.emplace(CustomerId(Name), *Limit);
    }
  }
  return View;
}

const OperatorGrant *SettingsCompiler::findOperator(const OperatorId &Operator) const {
  const auto Found = Entities_.find("/operators/" + Operator.str());
  if (Found == Entities_.end())
    return nullptr;
  const auto *Grant = std::get_if<std::shared_ptr<const OperatorGrant>>(&Found->second);
  return Grant ? Grant->get() : nullptr;
}

} // namespace rattancart
