#pragma once

#include "Config/ProcessSettings.h"
#include "Config/SettingsFault.h"

#include <functional>
#include <optional>
#include <string>

namespace rattancart {

/// Command line options of a long-running program.
struct ProgramArguments {
  std::string SettingsFile_;
  /// Check the settings file and exit.
  bool CheckOnly_ = false;
};

/// Parses --settings, --check, --help and --version into Arguments. Returns an exit code if the
/// program must exit, because of a usage error, --help or --version.
std::optional<int> parseProgramArguments(int Count, char **Values, const std::string &Description,
                                         ProgramArguments &Arguments);

/// Name, description and settings loader of a long-running program.
template <typename Settings> struct ProgramInfo {
  std::string Role_;
  std::string Description_;
  Settings (*Load_)(const std::string &File, SettingsFaults &Faults);
};

/// Prints the faults of a settings file, one line each, and returns the exit code of the first; 0
/// if there are none.
int reportFaults(const SettingsFaults &Faults);

/// Prints the line with the addresses that a program listens on.
void printListening(const std::string &Addresses);

/// The main function of a long-running program: parses the command line, loads the settings,
/// creates the log and runs the process. Returns the exit code. Process is constructed from its
/// settings, a clock and a log, and has the functions start(), listening() and run().
template <typename Process, typename Settings>
int runProgram(int Count, char **Values, const ProgramInfo<Settings> &Info) {
  ProgramArguments Arguments;
  if (const auto Code = parseProgramArguments(Count, Values, Info.Description_, Arguments))
    return *Code;
  SettingsFaults Faults;
  const Settings Loaded = Info.Load_(Arguments.SettingsFile_, Faults);
  if (!Faults.empty())
    return reportFaults(Faults);
  if (Arguments.CheckOnly_)
    return 0;

  const SystemClock Time;
  const ProcessSettings &Common = Loaded.Process_;
  StderrLogger Log(Time, Common.Instance_.str() + "/" + Info.Role_, Common.Log_.Format_,
                   Common.Log_.Level_);
  Process Program(Loaded, Time, Log);
  if (const std::error_code Failure = Program.start()) {
    Log.log(LogEvent::ProcessNotReady, {{"error", Failure.value()}, {"reason", Failure.message()}});
    return errorInfo(static_cast<ErrorCode>(Failure.value())).ExitCode_;
  }
  printListening(Program.listening());
  Program.run();
  return 0;
}

} // namespace rattancart
