#include "Ctl/SettingsFile.h"

#include "Core/Settings/SettingsCompiler.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

namespace rattancart {

namespace {

/// Limits the settings of a file, since YAML aliases can expand a short file to an enormous one.
constexpr std::size_t MaxLeaves = 200000;
/// The number of segments of the paths in SettingsFile::Scopes_.
constexpr std::size_t ScopeDepth = 2;

/// Reads the YAML nodes of one file into a SettingsFile.
class FileReader {
public:
  FileReader(std::string File, SettingsFile &Out, SettingsFaults &Faults)
      : File_(std::move(File)), Out_(Out), Faults_(Faults) {}

  void readMap(const YAML::Node &Map, const SettingsPath &Path) {
    std::set<std::string> Seen;
    for (const auto &Item : Map) {
      if (LimitReached_)
        return;
      const std::string Name = Item.first.IsScalar() ? Item.first.Scalar() : std::string();
      const Result<SettingsPath> Child = SettingsPath::parse(Path.childPrefix() + Name);
      if (!Child || Child->segments().size() != Path.segments().size() + 1)
        addFault(Item.first, Path, ErrorCode::BadPath,
                 "names of letters, digits and ._-:@~+, at most 12 levels");
      else if (!Seen.insert(Name).second)
        addFault(Item.first, *Child, ErrorCode::DuplicateField, "each name once");
      else
        readNode(Item.first, Item.second, *Child);
    }
  }

private:
  void addFault(const YAML::Node &Node, const SettingsPath &Path, ErrorCode Code,
                std::string Expected) {
    Faults_.push_back({File_, Node.Mark().line + 1, Path.str(), Code, std::move(Expected)});
  }

  void readNode(const YAML::Node &Name, const YAML::Node &Value, const SettingsPath &Path) {
    Out_.Lines_.emplace(Path, Name.Mark().line + 1);
    if (Path.segments().size() == ScopeDepth)
      Out_.Scopes_.push_back(Path);
    if (Value.IsMap())
      return readMap(Value, Path);
    if (!Value.IsScalar())
      return addFault(Name, Path, ErrorCode::WrongType,
                      "a mapping, a text, a number, true or false");
    if (Path.segments().size() < ScopeDepth)
      return addFault(Name, Path, ErrorCode::WrongType, "a mapping");
    if (Out_.Tree_.size() >= MaxLeaves) {
      LimitReached_ = true;
      return addFault(Name, Path, ErrorCode::OutOfRange,
                      fmt::format("at most {} values", MaxLeaves));
    }
    Out_.Tree_.replace(Path, {{Path, valueOf(Value)}});
  }

  static SettingsValue valueOf(const YAML::Node &Node) {
    const std::string &Text = Node.Scalar();
    // yaml-cpp gives quoted scalars the tag "!".
    if (Node.Tag() == "!")
      return {SettingsValue::Type::Text, Text};
    if (Text == "true" || Text == "false")
      return {SettingsValue::Type::Bool, Text};
    const char *End = Text.data() + Text.size();
    std::int64_t Integer = 0;
    const auto Whole = std::from_chars(Text.data(), End, Integer);
    if (Whole.ec == std::errc{} && Whole.ptr == End)
      return {SettingsValue::Type::Integer, fmt::format("{}", Integer)};
    double Number = 0;
    const auto Real = std::from_chars(Text.data(), End, Number);
    if (Real.ec == std::errc{} && Real.ptr == End && std::isfinite(Number))
      return {SettingsValue::Type::Number, fmt::format("{}", Number)};
    return {SettingsValue::Type::Text, Text};
  }

  std::string File_;
  SettingsFile &Out_;
  SettingsFaults &Faults_;
  bool LimitReached_ = false;
};

/// The line of the path, or of its closest parent that the file contains.
int lineOf(const SettingsFile &File, const SettingsPath &Path) {
  for (std::size_t Count = Path.segments().size(); Count > 0; --Count)
    if (const auto Found = File.Lines_.find(Path.prefix(Count)); Found != File.Lines_.end())
      return Found->second;
  return 1;
}

void emitMap(YAML::Emitter &Out, const SettingsTree &Tree, const SettingsPath &Path) {
  Out << YAML::BeginMap;
  for (const std::string &Name : Tree.children(Path)) {
    const SettingsPath Child = *SettingsPath::parse(Path.childPrefix() + Name);
    Out << YAML::Key << Name << YAML::Value;
    const std::vector<SettingsLeaf> Leaves = Tree.leaves(Child);
    if (Leaves.size() != 1 || Leaves[0].Path_ != Child)
      emitMap(Out, Tree, Child);
    else if (Leaves[0].Value_.Type_ == SettingsValue::Type::Text)
      Out << YAML::DoubleQuoted << Leaves[0].Value_.Text_;
    else
      Out << Leaves[0].Value_.Text_;
  }
  Out << YAML::EndMap;
}

} // namespace

SettingsFile parseSettingsText(const std::string &Text, const std::string &File,
                               SettingsFaults &Faults) {
  SettingsFile Out;
  const std::size_t Before = Faults.size();
  try {
    const YAML::Node Root = YAML::Load(Text);
    if (Root.IsMap())
      FileReader(File, Out, Faults).readMap(Root, {});
    else
      Faults.push_back({File, 1, "/", ErrorCode::WrongType, "a mapping"});
  } catch (const YAML::Exception &Failure) {
    Faults.push_back({File, Failure.mark.line + 1, "", ErrorCode::SettingsSyntax,
                      fmt::format("valid YAML ({})", Failure.msg)});
  }
  if (Faults.size() > Before && Out.Tree_.size() == 0)
    return Out;
  const SettingsPath Root;
  for (const InvalidSetting &Fault : SettingsCompiler().update(Out.Tree_, {&Root, 1}))
    Faults.push_back(
        {File, lineOf(Out, Fault.Path_), Fault.Path_.str(), Fault.Code_, Fault.Expected_});
  return Out;
}

SettingsFile loadSettingsFile(const std::string &File, SettingsFaults &Faults) {
  std::ifstream In(File);
  std::ostringstream Text;
  Text << In.rdbuf();
  if (In)
    return parseSettingsText(Text.str(), File, Faults);
  Faults.push_back({File, 0, "", ErrorCode::SettingsFileUnreadable, "a readable file"});
  return {};
}

std::string settingsYaml(const SettingsTree &Tree, const SettingsPath &Path) {
  const std::vector<SettingsLeaf> Leaves = Tree.leaves(Path);
  if (Leaves.empty())
    return "{}\n";
  if (Leaves.size() == 1 && Leaves[0].Path_ == Path)
    return Leaves[0].Value_.Text_ + "\n";
  YAML::Emitter Out;
  emitMap(Out, Tree, Path);
  return std::string(Out.c_str()) + "\n";
}

} // namespace rattancart
