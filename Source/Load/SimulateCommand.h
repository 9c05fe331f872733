#pragma once

#include "Load/Experiment.h"

#include <string>
#include <system_error>

namespace rattancart {

/// Simulates an experiment, prints its table and metrics to standard output and its progress to
/// standard error, and writes CSV and SVG files under the prefix Output, unless that
/// is empty. Precondition: the experiment's kind is not Http. Errors: OutputUnwritable,
/// ExperimentInvalid if no chain covers the model.
std::error_code simulate(const Experiment &Setup, const std::string &Output);

} // namespace rattancart
