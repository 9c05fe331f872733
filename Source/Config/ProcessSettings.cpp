#include "Config/ProcessSettings.h"

#include <array>

namespace rattancart {

namespace {

LogSettings readLogSettings(YamlSection Section) {
  static constexpr std::array<std::string_view, 2> Formats{"key-value", "json"};
  static constexpr std::array<std::string_view, 4> Levels{"debug", "info", "warning", "error"};
  LogSettings Settings;
  Settings.Format_ = static_cast<LogFormat>(Section.choice("format", 0, Formats));
  Settings.Level_ = static_cast<LogLevel>(Section.choice("level", 1, Levels));
  Section.reportUnknownFields();
  return Settings;
}

} // namespace

ProcessSettings readProcessSettings(YamlSection &Root) {
  ProcessSettings Settings;
  Settings.Instance_ = InstanceId(Root.text("instance", Presence::Required));
  Settings.DataCenter_ = DataCenterId(Root.text("data-center", Presence::Required));
  Settings.Log_ = readLogSettings(Root.section("log"));
  return Settings;
}

} // namespace rattancart
