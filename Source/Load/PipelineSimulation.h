#pragma once

#include "Load/Experiment.h"
#include "Load/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

enum class PolicyKind : std::uint8_t { Own, ShortestPath, Random, RoundRobin, LeastLoad };

/// The policy's name in tables and figures.
std::string_view policyName(PolicyKind Policy);

/// How the engines of one kind and layer range were used.
struct KindUse {
  /// The part of the time that batches ran.
  double BusyPart_ = 0;
  /// The part of the slots that batches filled.
  double FilledPart_ = 0;
  /// Steps that a batch left waiting on average, in batches.
  double MeanQueue_ = 0;
};

/// What one simulated run came to; the warm-up is left out.
struct PipelineResult {
  /// Sequences a second.
  double Offered_ = 0;
  double Completed_ = 0;
  /// Completed by the deadline.
  double Good_ = 0;
  double RefusedPart_ = 0;
  LatencyHistogram FirstToken_;
  LatencyHistogram BetweenTokens_;
  LatencyHistogram Whole_;
  /// Time to the first token of the highest priority class present.
  LatencyHistogram FirstTokenHigh_;
  /// Good sequences a second by customer.
  std::map<std::string, double> GoodOf_;
  /// Steps that waited at an engine when a batch began, by its slots.
  double QueueP99_ = 0;
  double QueueMax_ = 0;
  /// Sequences completed in each second of the run.
  std::vector<std::uint32_t> PerSecond_;
  /// How each kind's engines were used.
  std::map<std::string, KindUse> Kinds_;
  std::uint64_t Events_ = 0;
};

/// Runs the product's admission and chain planning over modelled engines on a clock of its own:
/// each engine serves batches of waiting steps; links delay and serialise tensors; reports reach
/// the routers late. The same seed gives the same result.
PipelineResult simulatePipeline(const Experiment &Setup, const LoadCase &Case, double Bound,
                                PolicyKind Policy);

} // namespace rattancart
