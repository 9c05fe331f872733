#pragma once

#include "Load/Experiment.h"
#include "Load/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <system_error>
#include <vector>

namespace rattancart {

/// What the answers to one kind of request came to; the warm-up is left out.
struct HttpTally {
  std::uint64_t Sent_ = 0;
  /// 2xx with the outcome done.
  std::uint64_t Done_ = 0;
  std::uint64_t Refused_ = 0;
  /// Other statuses, lost connections and timeouts.
  std::uint64_t Failed_ = 0;
  LatencyHistogram Latency_;
};

struct HttpRunResult {
  std::map<std::string, HttpTally> Kinds_;
  /// Requests that were done in each second of the run.
  std::vector<std::uint32_t> DonePerSecond_;
  /// Requests not sent because too many were in flight.
  std::uint64_t Skipped_ = 0;
  double Seconds_ = 0;
};

/// Sends an experiment's requests to running routers and sets the faults of stand-ins by time.
/// Returns when all answers arrived or timed out. Precondition: the experiment's kind is Http.
HttpRunResult runHttp(const Experiment &Setup);

/// Runs the experiment, prints its table and metrics to standard output and writes CSV and SVG
/// files under the prefix Output, unless that is empty. Errors: OutputUnwritable.
std::error_code runHttpCommand(const Experiment &Setup, const std::string &Output);

} // namespace rattancart
