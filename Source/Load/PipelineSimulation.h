#pragma once

#include "Load/Experiment.h"
#include "Load/LatencyHistogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

/// The policies that are compared; Own is CapacityPolicy, which the routers use.
enum class PolicyKind : std::uint8_t { Own, ShortestPath, Random, RoundRobin, LeastLoad };

/// The policy's name in tables, metrics and plots.
std::string_view policyName(PolicyKind Policy);

/// How the engines of one kind and layer range were used.
struct EngineUse {
  /// The fraction of the time in which batches ran.
  double BusyFraction_ = 0;
  /// The fraction of the slots that batches filled.
  double FilledFraction_ = 0;
  /// Mean number of steps left waiting when a batch began, relative to the batch slots.
  double MeanQueuedBatches_ = 0;
};

/// Results of one simulated run, without the warm-up.
struct PipelineResult {
  /// Sequences per second.
  double Offered_ = 0;
  double Completed_ = 0;
  /// Completed by the deadline.
  double Good_ = 0;
  double RefusedFraction_ = 0;
  LatencyHistogram FirstToken_;
  LatencyHistogram BetweenTokens_;
  /// From the arrival to the last token.
  LatencyHistogram TotalTime_;
  /// Time to the first token of the highest priority class present.
  LatencyHistogram FirstTokenHigh_;
  /// Sequences per second that were completed by their deadline, by customer.
  std::map<std::string, double> GoodByCustomer_;
  /// Steps that waited at an engine when a batch began, relative to its batch slots.
  double QueueP99_ = 0;
  double QueueMax_ = 0;
  /// Sequences completed in each second of the run, with the warm-up.
  std::vector<std::uint32_t> CompletedPerSecond_;
  /// By engine kind and first layer.
  std::map<std::string, EngineUse> Kinds_;
  /// Simulated events, with the warm-up.
  std::uint64_t Events_ = 0;
};

/// Runs the routers' admission and chain planning over modelled engines in simulated time: each
/// engine processes batches of waiting steps; links delay and serialise tensors; reports reach the
/// routers late. Bound is the result of flowCapacity(). The same seed gives the same result.
PipelineResult simulatePipeline(const Experiment &Setup, const LoadCase &Case, double Bound,
                                PolicyKind Policy);

} // namespace rattancart
