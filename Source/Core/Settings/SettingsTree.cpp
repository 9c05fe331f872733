#include "Core/Settings/SettingsTree.h"

#include "Core/Common/ErrorCode.h"
#include "Core/Settings/SettingsJson.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>
#include <utility>

namespace rattancart {

namespace json = boost::json;

namespace {

Error invalidValue(const SettingsPath &Path, std::string_view Expected) {
  return Error{ErrorCode::InvalidValue, fmt::format("{}: expected {}", Path.str(), Expected)};
}

double parseNumber(const std::string &Text) {
  double Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

/// Reads a number in NumberStyle::Exact, which must be in its shortest decimal form.
bool readExactNumber(const json::value &Value, SettingsValue &Out) {
  if (!Value.is_array() || Value.as_array().size() != 1 || !Value.as_array()[0].is_string())
    return false;
  Out.Type_ = SettingsValue::Type::Number;
  Out.Text_ = std::string(Value.as_array()[0].as_string());
  return fmt::format("{}", parseNumber(Out.Text_)) == Out.Text_;
}

bool readScalar(const json::value &Value, NumberStyle Style, SettingsValue &Out) {
  using Type = SettingsValue::Type;
  switch (Value.kind()) {
  case json::kind::bool_:
    Out = {Type::Bool, Value.as_bool() ? "true" : "false"};
    return true;
  case json::kind::int64:
    Out = {Type::Integer, fmt::format("{}", Value.as_int64())};
    return true;
  case json::kind::double_:
    Out = {Type::Number, fmt::format("{}", Value.as_double())};
    return std::isfinite(Value.as_double());
  case json::kind::string:
    Out = {Type::Text, std::string(Value.as_string())};
    return true;
  case json::kind::array:
    return Style == NumberStyle::Exact && readExactNumber(Value, Out);
  default:
    return false;
  }
}

std::optional<Error> collectLeaves(const SettingsPath &Path, const json::value &Value,
                                   NumberStyle Style, std::vector<SettingsLeaf> &Leaves) {
  if (!Value.is_object()) {
    if (Path.isRoot())
      return invalidValue(Path, "an object");
    SettingsLeaf Leaf{Path, {}};
    if (!readScalar(Value, Style, Leaf.Value_))
      return invalidValue(Path, "a text, a number, true, false or an object");
    Leaves.push_back(std::move(Leaf));
    return std::nullopt;
  }
  for (const auto &Member : Value.as_object()) {
    Result<SettingsPath> Child =
        SettingsPath::parse(Path.childPrefix() + std::string(Member.key()));
    if (!Child)
      return Child.error();
    if (Child->segments().size() != Path.segments().size() + 1)
      return Error{ErrorCode::BadPath, fmt::format("a name has a slash: {}", Child->str())};
    if (std::optional<Error> Failure = collectLeaves(*Child, Member.value(), Style, Leaves))
      return Failure;
  }
  return std::nullopt;
}

} // namespace

SettingsTree::ReplacedLeaves SettingsTree::replace(const SettingsPath &Path,
                                                   const std::vector<SettingsLeaf> &Leaves) {
  ReplacedLeaves Old{Path, leaves(Path)};
  for (const SettingsLeaf &Leaf : Old.Removed_)
    Leaves_.erase(Leaf.Path_.key());
  for (const SettingsLeaf &Leaf : Leaves)
    Leaves_[Leaf.Path_.key()] = Leaf.Value_;
  return Old;
}

void SettingsTree::restore(const ReplacedLeaves &Old) { replace(Old.Path_, Old.Removed_); }

void SettingsTree::forEach(
    const SettingsPath &Path,
    const std::function<void(const std::string &Key, const SettingsValue &)> &Visit) const {
  if (const auto Exact = Leaves_.find(Path.key()); Exact != Leaves_.end())
    Visit(Exact->first, Exact->second);
  const std::string Prefix = Path.childPrefix();
  for (auto It = Leaves_.lower_bound(Prefix); It != Leaves_.end() && It->first.starts_with(Prefix);
       ++It)
    Visit(It->first, It->second);
}

std::vector<SettingsLeaf> SettingsTree::leaves(const SettingsPath &Path) const {
  std::vector<SettingsLeaf> Found;
  forEach(Path, [&](const std::string &Key, const SettingsValue &Value) {
    Found.push_back({SettingsPath::fromKey(Key), Value});
  });
  return Found;
}

bool SettingsTree::contains(const SettingsPath &Path) const {
  if (Leaves_.contains(Path.key()))
    return true;
  const std::string Prefix = Path.childPrefix();
  const auto It = Leaves_.lower_bound(Prefix);
  return It != Leaves_.end() && It->first.starts_with(Prefix);
}

std::vector<std::string> SettingsTree::children(const SettingsPath &Path) const {
  std::vector<std::string> Names;
  const std::string Prefix = Path.childPrefix();
  auto It = Leaves_.lower_bound(Prefix);
  while (It != Leaves_.end() && It->first.starts_with(Prefix)) {
    const std::size_t End = std::min(It->first.find('/', Prefix.size()), It->first.size());
    std::string Name = It->first.substr(Prefix.size(), End - Prefix.size());
    // '0' is the character after '/', so this skips all paths below the name.
    It = Leaves_.lower_bound(Prefix + Name + "0");
    Names.push_back(std::move(Name));
  }
  return Names;
}

std::string SettingsTree::toJson(const SettingsPath &Path, NumberStyle Style) const {
  return json::serialize(nestedJson(Path, leaves(Path), Style));
}

json::value jsonOf(const SettingsValue &Value, NumberStyle Style) {
  switch (Value.Type_) {
  case SettingsValue::Type::Bool:
    return Value.Text_ == "true";
  case SettingsValue::Type::Integer: {
    std::int64_t Integer = 0;
    std::from_chars(Value.Text_.data(), Value.Text_.data() + Value.Text_.size(), Integer);
    return Integer;
  }
  case SettingsValue::Type::Number:
    if (Style == NumberStyle::Exact)
      return json::array{json::value(Value.Text_)};
    return parseNumber(Value.Text_);
  case SettingsValue::Type::Text:
    break;
  }
  return json::value(Value.Text_);
}

json::value nestedJson(const SettingsPath &Path, const std::vector<SettingsLeaf> &Leaves,
                       NumberStyle Style) {
  json::value Root = json::object();
  for (const SettingsLeaf &Leaf : Leaves) {
    json::value *Target = &Root;
    for (const std::string_view Name :
         splitSettingsPath(std::string_view(Leaf.Path_.key()).substr(Path.key().size()))) {
      if (!Target->is_object())
        Target->emplace_object();
      Target = &Target->as_object()[Name];
    }
    *Target = jsonOf(Leaf.Value_, Style);
  }
  return Root;
}

Result<std::vector<SettingsLeaf>> leavesFromValue(const SettingsPath &Path,
                                                  const json::value &Value, NumberStyle Style) {
  std::vector<SettingsLeaf> Leaves;
  if (std::optional<Error> Failure = collectLeaves(Path, Value, Style, Leaves))
    return *Failure;
  return Leaves;
}

Result<std::vector<SettingsLeaf>> leavesFromJson(const SettingsPath &Path, std::string_view Json,
                                                 NumberStyle Style) {
  boost::system::error_code Failure;
  const json::value Value = json::parse(Json, Failure);
  if (Failure)
    return invalidValue(Path, "JSON");
  return leavesFromValue(Path, Value, Style);
}

} // namespace rattancart
