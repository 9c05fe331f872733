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

/// Whether a field must stand in the file.
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

/// Reads a duration with a unit: "250ms", "2s", "5m", "24h". Thread-safe.
std::optional<Duration> parseDuration(std::string_view Text);

/// Checked access to one mapping of a YAML file. Each fault is added to the list and the default
/// returned, so that one pass finds all faults. Not thread-safe.
class YamlSection {
public:
  /// Precondition: Faults outlives the section. Path is empty for the whole file.
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
  /// A sequence of addresses without duplicates.
  std::vector<NetAddress> addresses(std::string_view Name, Presence Wanted);
  /// A sequence of texts without duplicates.
  std::vector<std::string> texts(std::string_view Name, Presence Wanted);
  /// The index of one of Choices.
  std::size_t choice(std::string_view Name, std::size_t Default,
                     std::span<const std::string_view> Choices);
  /// A mapping below this one; an empty one if it is missing.
  YamlSection section(std::string_view Name);
  /// Calls Read for each mapping of a list, and finishes it; nothing if the list is missing.
  void forEachSection(std::string_view Name, Presence Wanted,
                      const std::function<void(YamlSection &)> &Read);
  /// Reports the fields that nobody asked for. Call it last.
  void reportUnknownFields();

private:
  struct State;
  bool has(std::string_view Name);
  std::vector<std::string> list(std::string_view Name, Presence Wanted, ErrorCode Bad,
                                std::string_view Expected,
                                const std::function<bool(const std::string &)> &IsGood);
  std::optional<std::string> scalar(std::string_view Name, Presence Wanted,
                                    std::string_view Expected);
  void report(std::string_view Name, ErrorCode Code, std::string Expected);

  std::unique_ptr<State> State_;
};

/// Loads a YAML file; faults SettingsFileUnreadable and SettingsSyntax are added to Faults.
/// Returns false if there is nothing to read from.
bool loadYaml(const std::string &File, YAML::Node &Node, SettingsFaults &Faults);

} // namespace rattancart
