#pragma once

#include "Config/SettingsFault.h"
#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace YAML { // NOLINT
class Node;
}

namespace rattancart {

/// Whether a field must be present in the file.
enum class Presence { Required, Optional };

/// Inclusive bounds of a number.
struct NumberRange {
  std::int64_t Min_;
  std::int64_t Max_;
};

/// Inclusive bounds of a duration.
struct DurationRange {
  Duration Min_;
  Duration Max_;
};

/// Parses a duration with a unit (us, ms, s, m or h), for example "250ms". Returns nothing for any
/// other text. Thread-safe.
std::optional<Duration> parseDuration(std::string_view Text);

/// Checked access to one mapping of a YAML file. A function that finds a fault adds it to the list
/// and returns the default, so that one pass finds all faults. Not thread-safe.
class YamlSection {
public:
  /// Precondition: Faults outlives the section. Path is this mapping's path in the file, empty for
  /// the top level.
  YamlSection(const YAML::Node &Node, std::string File, std::string Path, SettingsFaults &Faults);
  ~YamlSection();
  YamlSection(const YamlSection &) = delete;
  YamlSection &operator=(const YamlSection &) = delete;

  std::string text(std::string_view Name, Presence Wanted, std::string Default = {});
  std::int64_t number(std::string_view Name, std::int64_t Default, NumberRange Range);
  /// A number with or without a fraction, within [Min, Max].
  double real(std::string_view Name, double Default, double Min, double Max);
  bool flag(std::string_view Name, bool Default);
  Duration duration(std::string_view Name, Duration Default, DurationRange Range);
  NetAddress address(std::string_view Name, Presence Wanted);
  /// A list of addresses without duplicates.
  std::vector<NetAddress> addresses(std::string_view Name, Presence Wanted);
  /// A list of texts that are not empty, without duplicates.
  std::vector<std::string> texts(std::string_view Name, Presence Wanted);
  /// The index of the field's value in Choices.
  std::size_t choice(std::string_view Name, std::size_t Default,
                     std::span<const std::string_view> Choices);
  /// The nested mapping of that name, or an empty one if it is missing.
  YamlSection section(std::string_view Name);
  /// Calls Read for each mapping of a list, then reports the unknown fields of that mapping. Does
  /// not call Read if the list is missing.
  void forEachSection(std::string_view Name, Presence Wanted,
                      const std::function<void(YamlSection &)> &Read);
  /// Reports the fields that were not read. Call it after reading all fields.
  void reportUnknownFields();

private:
  struct State;
  bool has(std::string_view Name);
  std::vector<std::string> list(std::string_view Name, Presence Wanted, ErrorCode InvalidItem,
                                std::string_view Expected,
                                const std::function<bool(const std::string &)> &IsValid);
  std::optional<std::string> scalar(std::string_view Name, Presence Wanted,
                                    std::string_view Expected);
  void report(std::string_view Name, ErrorCode Code, std::string Expected);

  std::unique_ptr<State> State_;
};

/// Loads a YAML file. Adds a fault (SettingsFileUnreadable or SettingsSyntax) and returns false if
/// that fails.
bool loadYaml(const std::string &File, YAML::Node &Node, SettingsFaults &Faults);

} // namespace rattancart
