#pragma once

#include "StandIns/StandInProcess.h"

#include <CLI/CLI.hpp>

#include <cstddef>
#include <string>

namespace rattancart {

/// Command line options that the stand-in programs have in common.
struct CommonOptions {
  StandInOptions Process_;
  /// The initial faults as a JSON object.
  std::string Faults_ = "{}";
  /// Number of lines of /v1/history that are kept.
  std::size_t HistoryLimit_ = 1000000;
  /// File to which the history is written as well; empty for none.
  std::string HistoryFile_;
  std::uint32_t LeaveTimeoutMs_ = 10000;
};

/// Adds the common options to a command line. Precondition: Options outlives App.
inline void addCommonOptions(CLI::App &App, CommonOptions &Options) {
  App.add_option("--listen", Options.Process_.Listen_,
                 "IP:PORT to listen on; port 0 takes a free one");
  App.add_option("--id", Options.Process_.Id_, "Id in the instance list");
  App.add_option("--data-center", Options.Process_.DataCenter_, "Data centre of this instance");
  App.add_option("--faults", Options.Faults_, "JSON object of the initial faults");
}

/// Adds the options of stand-ins that register themselves. Precondition: Options outlives App.
inline void addEndpointOptions(CLI::App &App, CommonOptions &Options) {
  App.add_option("--platform", Options.Process_.Platform_,
                 "IP:PORT of the platform to register at");
  App.add_option("--advertise", Options.Process_.Advertise_,
                 "IP:PORT to register and to name as the address of outputs");
  App.add_option("--history-limit", Options.HistoryLimit_, "Lines of history that are kept");
  App.add_option("--history-file", Options.HistoryFile_, "File to append the history to as well");
  App.add_option("--leave-timeout-ms", Options.LeaveTimeoutMs_,
                 "Longest time that a leaving process waits for its work");
}

} // namespace rattancart
