#include "Core/Common/ErrorCode.h"
#include "Load/Experiment.h"
#include "Load/HttpRun.h"
#include "Load/SimulateCommand.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <string>

namespace {

using rattancart::ErrorCode;

int fail(std::error_code Failure) {
  fmt::print(stderr, "rattancart-load: error {}: {}\n", Failure.value(), Failure.message());
  return rattancart::errorInfo(static_cast<ErrorCode>(Failure.value())).ExitCode_;
}

/// Reads the experiment. Prints all faults of the file and returns false if there are any.
bool read(const std::string &File, rattancart::Experiment &Content) {
  rattancart::SettingsFaults Faults;
  Content = rattancart::loadExperiment(File, Faults);
  for (const rattancart::SettingsFault &Fault : Faults)
    fmt::print(stderr, "{}\n", rattancart::formatFault(Fault));
  return Faults.empty();
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App("Load, faults and measurement of rattancart.", "rattancart-load");
  App.set_version_flag("--version", RATTANCART_VERSION);
  App.require_subcommand(1);
  std::string File;
  std::string Output;
  bool CheckOnly = false;
  CLI::App *Simulate = App.add_subcommand(
      "simulate",
      "Simulate routing and admission in this process, with modelled engines and time.");
  CLI::App *Run =
      App.add_subcommand("run", "Send requests to running routers and set faults at given times.");
  for (CLI::App *Command : {Simulate, Run}) {
    Command->add_option("experiment", File, "The experiment file (YAML).")->required();
    Command->add_option("--output", Output, "Write CSV and SVG files with this prefix.");
    Command->add_flag("--check", CheckOnly, "Only check the experiment file.");
  }
  try {
    App.parse(Count, Arguments);
  } catch (const CLI::ParseError &Failure) {
    const int Code = App.exit(Failure);
    return Code == 0 ? 0 : rattancart::errorInfo(ErrorCode::Usage).ExitCode_;
  }
  rattancart::Experiment Content;
  if (!read(File, Content))
    return rattancart::errorInfo(ErrorCode::ExperimentInvalid).ExitCode_;
  if (CheckOnly)
    return 0;
  const bool IsHttp = Content.Kind_ == rattancart::ExperimentKind::Http;
  if (IsHttp != Run->parsed())
    return fail(ErrorCode::ExperimentInvalid);
  const std::error_code Failure =
      IsHttp ? rattancart::runHttpCommand(Content, Output) : rattancart::simulate(Content, Output);
  if (Failure)
    return fail(Failure);
  return 0;
}
