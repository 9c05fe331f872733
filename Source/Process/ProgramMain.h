#pragma once

#include "Config/ProcessSettings.h"
#include "Config/SettingsFault.h"

#include <functional>
#include <optional>
#include <string>

namespace rattancart {

/// What the command line of a long-running program asked for.
struct ProgramArguments {
  std::string SettingsFile_;
  /// Only check the settings file.
  bool CheckOnly_ = false;
};

/// Parses --settings, --check, --help and --version. Returns the exit code if the program ends
/// here, else fills Arguments.
std::optional<int> parseProgramArguments(int Count, char **Values, const std::string &Description,
                                         ProgramArguments &Arguments);

/// What distinguishes one long-running program from another.
template <typename Settings> struct ProgramInfo {
  std::string Role_;
  std::string Description_;
  Settings (*Load_)(const std::string &File, SettingsFaults &Faults);
};

/// Prints the faults of a settings file, one line each, and gives the exit code of the first.
int reportFaults(const SettingsFaults &Faults);

/// Prints the line that tells where a program listens.
void printListening(const std::string &Addresses);

/// The whole of a long-running program: command line, settings, log, process. Returns the exit
/// code. Process is made from its settings, a clock and a log, and has start(), listening() and
/// run().
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
  Process Running(Loaded, Time, Log);
  if (const std::error_code Failure = Running.start()) {
    Log.log(LogEvent::ProcessNotReady, {{"error", Failure.value()}, {"reason", Failure.message()}});
    return errorInfo(static_cast<ErrorCode>(Failure.value())).ExitCode_;
  }
  printListening(Running.listening());
  Running.run();
  return 0;
}

} // namespace rattancart
