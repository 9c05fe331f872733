#pragma once

#include "Load/Experiment.h"
#include "Load/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <system_error>
#include <vector>

namespace rattancart {

/// Results of one kind of request, without the warm-up.
struct HttpTally {
  std::uint64_t Sent_ = 0;
  /// Responses with a status of 2xx.
  std::uint64_t Done_ = 0;
  /// Responses with a status of 429 or 503.
  std::uint64_t Refused_ = 0;
  /// Other statuses, lost connections and timeouts.
  std::uint64_t Failed_ = 0;
  LatencyHistogram Latency_;
};

struct HttpRunResult {
  std::map<std::string, HttpTally> Kinds_;
  /// Successful responses in each second of the run, with the warm-up.
  std::vector<std::uint32_t> DonePerSecond_;
  /// Requests not sent because too many were in flight.
  std::uint64_t Skipped_ = 0;
  double Seconds_ = 0;
};

/// Sends an experiment's requests to running routers and sets the faults of stand-ins at their
/// times. Returns when all responses have arrived or timed out. Precondition: the experiment's kind
/// is Http.
HttpRunResult runHttp(const Experiment &Setup);

/// Runs the experiment, prints its table and metrics to standard output and writes CSV and SVG
/// files under the prefix Output, unless that is empty. Errors: OutputUnwritable.
std::error_code runHttpCommand(const Experiment &Setup, const std::string &Output);

} // namespace rattancart
