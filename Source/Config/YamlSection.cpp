#include "Config/YamlSection.h"

#include "Net/Address.h"

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>
#include <utility>

namespace rattancart {

namespace {

constexpr std::string_view DurationExpected = "a duration such as 250ms, 2s, 5m or 24h";
constexpr std::string_view AddressExpected = "IP:PORT or [IPv6]:PORT";

std::string formatDuration(Duration Value) {
  return fmt::format("{}ms", std::chrono::duration_cast<std::chrono::milliseconds>(Value).count());
}

int lineNumber(const YAML::Mark &Mark) { return Mark.line + 1; }

} // namespace

std::optional<Duration> parseDuration(std::string_view Text) {
  std::int64_t Count = 0;
  const auto [End, Failure] = std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  if (Failure != std::errc{} || Count < 0)
    return std::nullopt;
  const std::string_view Unit(End, static_cast<std::size_t>(Text.data() + Text.size() - End));
  std::int64_t UnitNanos = 0;
  if (Unit == "us")
    UnitNanos = 1'000;
  else if (Unit == "ms")
    UnitNanos = 1'000'000;
  else if (Unit == "s")
    UnitNanos = 1'000'000'000;
  else if (Unit == "m")
    UnitNanos = 60'000'000'000;
  else if (Unit == "h")
    UnitNanos = 3'600'000'000'000;
  else
    return std::nullopt;
  if (Count > Duration::max().count() / UnitNanos)
    return std::nullopt;
  return Duration(Count * UnitNanos);
}

struct YamlSection::State {
  YAML::Node Node_;
  std::string File_;
  std::string Path_;
  SettingsFaults &Faults_;
  std::set<std::string, std::less<>> RequestedFields_;
};

YamlSection::YamlSection(const YAML::Node &Node, std::string File, std::string Path,
                         SettingsFaults &Faults)
    : State_(std::make_unique<State>(State{Node, std::move(File), std::move(Path), Faults, {}})) {
  if (!Node.IsDefined() || Node.IsNull())
    return;
  if (!Node.IsMap()) {
    Faults.push_back({State_->File_, lineNumber(Node.Mark()), State_->Path_, ErrorCode::WrongType,
                      "a mapping of fields"});
    State_->Node_ = YAML::Node();
    return;
  }
  std::set<std::string> Seen;
  for (const auto &Item : Node) {
    const std::string Name = Item.first.Scalar();
    if (!Seen.insert(Name).second)
      Faults.push_back({State_->File_, lineNumber(Item.first.Mark()),
                        State_->Path_.empty() ? Name : State_->Path_ + "." + Name,
                        ErrorCode::DuplicateField, "each field once"});
  }
}

YamlSection::~YamlSection() = default;

void YamlSection::report(std::string_view Name, ErrorCode Code, std::string Expected) {
  int Line = lineNumber(State_->Node_.Mark());
  if (has(Name))
    Line = lineNumber(State_->Node_[std::string(Name)].Mark());
  std::string Path = State_->Path_.empty() ? "" : State_->Path_ + ".";
  Path += Name;
  State_->Faults_.push_back({State_->File_, Line, std::move(Path), Code, std::move(Expected)});
}

bool YamlSection::has(std::string_view Name) {
  State_->RequestedFields_.insert(std::string(Name));
  // The non-const operator[] would add the field to the node.
  const YAML::Node &Node = State_->Node_;
  return Node.IsMap() && Node[std::string(Name)].IsDefined();
}

std::optional<std::string> YamlSection::scalar(std::string_view Name, Presence Wanted,
                                               std::string_view Expected) {
  if (!has(Name)) {
    if (Wanted == Presence::Required)
      report(Name, ErrorCode::MissingField, std::string(Expected));
    return std::nullopt;
  }
  const YAML::Node &Node = State_->Node_;
  const YAML::Node Value = Node[std::string(Name)];
  if (!Value.IsScalar()) {
    report(Name, ErrorCode::WrongType, std::string(Expected));
    return std::nullopt;
  }
  return Value.Scalar();
}

std::string YamlSection::text(std::string_view Name, Presence Wanted, std::string Default) {
  const auto Value = scalar(Name, Wanted, "a text");
  if (!Value)
    return Default;
  if (Value->empty()) {
    report(Name, ErrorCode::OutOfRange, "a text that is not empty");
    return Default;
  }
  return *Value;
}

std::int64_t YamlSection::number(std::string_view Name, std::int64_t Default, NumberRange Range) {
  const std::string Expected = fmt::format("a whole number from {} to {}", Range.Min_, Range.Max_);
  const auto Value = scalar(Name, Presence::Optional, Expected);
  if (!Value)
    return Default;
  std::int64_t Number = 0;
  const char *Last = Value->data() + Value->size();
  const auto [End, Failure] = std::from_chars(Value->data(), Last, Number);
  if (Failure == std::errc::result_out_of_range) {
    report(Name, ErrorCode::OutOfRange, Expected);
    return Default;
  }
  if (Failure != std::errc{} || End != Last) {
    report(Name, ErrorCode::WrongType, Expected);
    return Default;
  }
  if (Number < Range.Min_ || Number > Range.Max_) {
    report(Name, ErrorCode::OutOfRange, Expected);
    return Default;
  }
  return Number;
}

double YamlSection::real(std::string_view Name, double Default, double Min, double Max) {
  const std::string Expected = fmt::format("a number from {} to {}", Min, Max);
  const auto Value = scalar(Name, Presence::Optional, Expected);
  if (!Value)
    return Default;
  double Number = 0;
  const char *Last = Value->data() + Value->size();
  const auto [End, Failure] = std::from_chars(Value->data(), Last, Number);
  if (Failure != std::errc{} || End != Last) {
    report(Name, ErrorCode::WrongType, Expected);
    return Default;
  }
  if (!(Number >= Min && Number <= Max)) {
    report(Name, ErrorCode::OutOfRange, Expected);
    return Default;
  }
  return Number;
}

bool YamlSection::flag(std::string_view Name, bool Default) {
  const auto Value = scalar(Name, Presence::Optional, "true or false");
  if (!Value)
    return Default;
  if (*Value != "true" && *Value != "false") {
    report(Name, ErrorCode::WrongType, "true or false");
    return Default;
  }
  return *Value == "true";
}

Duration YamlSection::duration(std::string_view Name, Duration Default, DurationRange Range) {
  const auto Value = scalar(Name, Presence::Optional, DurationExpected);
  if (!Value)
    return Default;
  const auto Parsed = parseDuration(*Value);
  if (!Parsed) {
    report(Name, ErrorCode::BadDuration, std::string(DurationExpected));
    return Default;
  }
  if (*Parsed < Range.Min_ || *Parsed > Range.Max_) {
    report(Name, ErrorCode::OutOfRange,
           fmt::format("a duration from {} to {}", formatDuration(Range.Min_),
                       formatDuration(Range.Max_)));
    return Default;
  }
  return *Parsed;
}

NetAddress YamlSection::address(std::string_view Name, Presence Wanted) {
  const auto Value = scalar(Name, Wanted, AddressExpected);
  if (!Value)
    return NetAddress();
  NetAddress Address(*Value);
  if (!parseAddress(Address)) {
    report(Name, ErrorCode::BadAddress, std::string(AddressExpected));
    return NetAddress();
  }
  return Address;
}

std::vector<NetAddress> YamlSection::addresses(std::string_view Name, Presence Wanted) {
  std::vector<NetAddress> Found;
  for (std::string &Text :
       list(Name, Wanted, ErrorCode::BadAddress, AddressExpected, [](const std::string &Item) {
         return static_cast<bool>(parseAddress(NetAddress(Item)));
       }))
    Found.emplace_back(std::move(Text));
  return Found;
}

std::vector<std::string> YamlSection::texts(std::string_view Name, Presence Wanted) {
  return list(Name, Wanted, ErrorCode::OutOfRange, "a text that is not empty",
              [](const std::string &Item) { return !Item.empty(); });
}

std::vector<std::string>
YamlSection::list(std::string_view Name, Presence Wanted, ErrorCode InvalidItem,
                  std::string_view Expected,
                  const std::function<bool(const std::string &)> &IsValid) {
  std::vector<std::string> Found;
  const std::string ListExpected = fmt::format("a list, each item {}", Expected);
  if (!has(Name)) {
    if (Wanted == Presence::Required)
      report(Name, ErrorCode::MissingField, ListExpected);
    return Found;
  }
  const YAML::Node &Node = State_->Node_;
  const YAML::Node List = Node[std::string(Name)];
  if (!List.IsSequence()) {
    report(Name, ErrorCode::WrongType, ListExpected);
    return Found;
  }
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    const YAML::Node Item = List[Index];
    const std::string Text = Item.IsScalar() ? Item.Scalar() : std::string();
    const std::string ItemPath =
        (State_->Path_.empty() ? "" : State_->Path_ + ".") + fmt::format("{}[{}]", Name, Index);
    if (!IsValid(Text))
      State_->Faults_.push_back(
          {State_->File_, lineNumber(Item.Mark()), ItemPath, InvalidItem, std::string(Expected)});
    else if (std::find(Found.begin(), Found.end(), Text) != Found.end())
      State_->Faults_.push_back({State_->File_, lineNumber(Item.Mark()), ItemPath,
                                 ErrorCode::DuplicateField, "each item once"});
    else
      Found.push_back(Text);
  }
  return Found;
}

std::size_t YamlSection::choice(std::string_view Name, std::size_t Default,
                                std::span<const std::string_view> Choices) {
  std::string Expected = "one of";
  for (const std::string_view Choice : Choices)
    Expected += fmt::format(" {}", Choice);
  const auto Value = scalar(Name, Presence::Optional, Expected);
  if (!Value)
    return Default;
  const auto Place = std::find(Choices.begin(), Choices.end(), *Value);
  if (Place == Choices.end()) {
    report(Name, ErrorCode::OutOfRange, Expected);
    return Default;
  }
  return static_cast<std::size_t>(Place - Choices.begin());
}

YamlSection YamlSection::section(std::string_view Name) {
  const YAML::Node &Node = State_->Node_;
  const std::string Path =
      State_->Path_.empty() ? std::string(Name) : State_->Path_ + "." + std::string(Name);
  if (!has(Name))
    return {YAML::Node(), State_->File_, Path, State_->Faults_};
  return {Node[std::string(Name)], State_->File_, Path, State_->Faults_};
}

void YamlSection::forEachSection(std::string_view Name, Presence Wanted,
                                 const std::function<void(YamlSection &)> &Read) {
  const std::string Expected = "a list of mappings";
  if (!has(Name)) {
    if (Wanted == Presence::Required)
      report(Name, ErrorCode::MissingField, Expected);
    return;
  }
  const YAML::Node &Node = State_->Node_;
  const YAML::Node List = Node[std::string(Name)];
  if (!List.IsSequence()) {
    report(Name, ErrorCode::WrongType, Expected);
    return;
  }
  const std::string Prefix = State_->Path_.empty() ? "" : State_->Path_ + ".";
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    YamlSection Item(List[Index], State_->File_, Prefix + fmt::format("{}[{}]", Name, Index),
                     State_->Faults_);
    Read(Item);
    Item.reportUnknownFields();
  }
}

void YamlSection::reportUnknownFields() {
  if (!State_->Node_.IsMap())
    return;
  for (const auto &Item : State_->Node_) {
    const std::string Name = Item.first.Scalar();
    if (State_->RequestedFields_.contains(Name))
      continue;
    std::string Expected = "one of";
    for (const std::string &Field : State_->RequestedFields_)
      Expected += " " + Field;
    State_->Faults_.push_back({State_->File_, lineNumber(Item.first.Mark()),
                               State_->Path_.empty() ? Name : State_->Path_ + "." + Name,
                               ErrorCode::UnknownField, std::move(Expected)});
  }
}

bool loadYaml(const std::string &File, YAML::Node &Node, SettingsFaults &Faults) {
  std::ifstream In(File);
  std::ostringstream Text;
  Text << In.rdbuf();
  if (!In) {
    Faults.push_back({File, 0, "", ErrorCode::SettingsFileUnreadable, "a readable file"});
    return false;
  }
  try {
    Node = YAML::Load(Text.str());
    return true;
  } catch (const YAML::Exception &Failure) {
    Faults.push_back({File, lineNumber(Failure.mark), "", ErrorCode::SettingsSyntax,
                      "valid YAML (" + Failure.msg + ")"});
    return false;
  }
}

} // namespace rattancart
