#include "Core/Settings/SettingsCompiler.h"

#include "Core/Settings/SettingsFields.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

namespace rattancart {

namespace {

std::optional<SettingsPlace> groupOf(const SettingsPath &Path) {
  const SettingsPlace Place = placeOf(Path.segments());
  if (Place.Depth_ == 0)
    return std::nullopt;
  return Place;
}

/// What follows the team in the key of a group whose name all teams share; else nothing.
std::string_view sharedName(std::string_view Key) {
  constexpr std::string_view Top = "/teams/";
  if (!Key.starts_with(Top))
    return {};
  const std::string_view Rest = Key.substr(Key.find('/', Top.size()));
  return Rest.starts_with("/routes/") ? std::string_view() : Rest;
}

/// Calls Visit for the keys of a map at and below Path.
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

/// What an update puts in and takes out.
struct SettingsCompiler::Update {
  std::vector<SettingsPath> Replaced_;
  std::map<std::string, SettingsEntity, std::less<>> Entities_;
  std::vector<InvalidSetting> Faults_;

  bool replaces(std::string_view Key) const {
    return std::any_of(Replaced_.begin(), Replaced_.end(), [&](const SettingsPath &Path) {
      return SettingsPath::fromKey(Key).isAtOrBelow(Path);
    });
  }
};

void SettingsCompiler::stage(const SettingsTree &Tree, const SettingsPath &Touched,
                             Update &Staged) const {
  const std::optional<SettingsPlace> Own = groupOf(Touched);
  const bool Inside = Own && Touched.segments().size() > Own->Depth_;
  const SettingsPath Root = Inside ? Touched.prefix(Own->Depth_) : Touched;
  Staged.Replaced_.push_back(Root);
  LeafGroup Group;
  const auto Flush = [&] {
    if (Group.Leaves_.empty())
      return;
    if (std::optional<SettingsEntity> Entity = readGroup(Group, Staged.Faults_))
      Staged.Entities_.insert_or_assign(Group.Path_.key(), std::move(*Entity));
    Group.Leaves_.clear();
  };
  Tree.forEach(Root, [&](const std::string &Key, const SettingsValue &Value) {
    const bool SameGroup = !Group.Leaves_.empty() && Key.starts_with(Group.Path_.childPrefix());
    if (!SameGroup) {
      Flush();
      const SettingsPath Leaf = SettingsPath::fromKey(Key);
      const std::optional<SettingsPlace> Place = groupOf(Leaf);
      Group.Path_ = Place ? Leaf.prefix(Place->Depth_) : Leaf;
      Group.Kind_ = Place ? Place->Kind_ : SettingsKind::Unknown;
    }
    const std::size_t Length = Group.Path_.key().size();
    Group.Leaves_.push_back({Key.size() > Length ? Key.substr(Length + 1) : std::string(), Value});
  });
  Flush();
}

void SettingsCompiler::checkOwners(Update &Staged) const {
  const auto Report = [&](std::string_view Key, std::string_view Owner) {
    Staged.Faults_.push_back({SettingsPath::fromKey(Key), ErrorCode::InvalidValue,
                              fmt::format("another name; {} has it already", Owner)});
  };
  const std::vector<std::string> Teams = teamNames();
  std::unordered_map<std::string_view, std::string_view> New;
  for (const auto &[Key, Entity] : Staged.Entities_) {
    const std::string_view Rest = sharedName(Key);
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
    // '0' is the character after '/', so this skips all of the team.
    Prefix = fmt::format("/teams/{}0", Names.back());
  }
  return Names;
}

std::vector<InvalidSetting> SettingsCompiler::update(const SettingsTree &Tree,
                                                     std::span<const SettingsPath> Touched) {
  Update Staged;
  for (const SettingsPath &Path : Touched)
    stage(Tree, Path, Staged);
  checkOwners(Staged);
  if (!Staged.Faults_.empty())
    return std::move(Staged.Faults_);
  for (const SettingsPath &Path : Staged.Replaced_) {
    std::vector<std::string> Gone;
    forEachBelow(Entities_, Path, [&](const auto &It) { Gone.push_back(It->first); });
    for (const std::string &Key : Gone)
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
    if (const auto *Spec = std::get_if<std::shared_ptr<const Route>>(&Entity))
      View->Routes_.push_back(**Spec);
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
