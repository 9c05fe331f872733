#include "Process/ProgramMain.h"

#include <CLI/CLI.hpp>

#include <fmt/format.h>

#include <cstdio>

namespace rattancart {

std::optional<int> parseProgramArguments(int Count, char **Values, const std::string &Description,
                                         ProgramArguments &Arguments) {
  CLI::App App{Description};
  App.set_version_flag("--version", std::string("rattancart ") + RATTANCART_VERSION);
  App.add_option("--settings", Arguments.SettingsFile_, "process settings, a YAML file")
      ->required();
  App.add_flag("--check", Arguments.CheckOnly_, "check the settings file and exit");
  try {
    App.parse(Count, Values);
  } catch (const CLI::ParseError &Failure) {
    const int Code = App.exit(Failure);
    return Code == 0 ? 0 : errorInfo(ErrorCode::Usage).ExitCode_;
  }
  return std::nullopt;
}

int reportFaults(const SettingsFaults &Faults) {
  for (const SettingsFault &Fault : Faults)
    fmt::print(stderr, "{}\n", formatFault(Fault));
  return Faults.empty() ? 0 : errorInfo(Faults.front().Code_).ExitCode_;
}

void printListening(const std::string &Addresses) {
  fmt::print("listening {}\n", Addresses);
  std::fflush(stdout);
}

} // namespace rattancart
