#include "Load/SimulateCommand.h"

#include "Core/Common/ErrorCode.h"
#include "Load/CallSimulation.h"
#include "Load/FlowCapacity.h"
#include "Load/LimitSimulation.h"
#include "Load/PipelineSimulation.h"
#include "Load/Report.h"

#include <fmt/format.h>

#include <array>
#include <cstdio>

namespace rattancart {

namespace {

constexpr std::array Policies{PolicyKind::Own, PolicyKind::ShortestPath, PolicyKind::LeastLoad,
                              PolicyKind::RoundRobin, PolicyKind::Random};
constexpr double TargetThroughputRatio = 0.95;

/// The table and the metrics that one command prints and writes.
struct Output {
  std::vector<std::string> Heading_;
  std::vector<std::vector<std::string>> Rows_;
  std::vector<Metric> Metrics_;

  std::error_code finish(const std::string &Prefix) const {
    fmt::print("{}\n{}", formatTable(Heading_, Rows_), formatMetrics(Metrics_));
    return Prefix.empty() ? std::error_code{}
                          : writeFile(Prefix + ".csv", formatCsv(Heading_, Rows_));
  }
};

std::string formatNumber(double Value) { return fmt::format("{:.4g}", Value); }

void addPipelineRow(Output &Out, const Experiment &Setup, const LoadCase &Case, PolicyKind Policy,
                    const PipelineResult &Result, double Bound) {
  const double Tokens = Setup.Pipeline_.NewTokens_;
  Out.Rows_.push_back({Case.Name_, std::string(policyName(Policy)), formatNumber(Result.Offered_),
                       formatNumber(Result.Completed_), formatNumber(Result.Completed_ / Bound),
                       formatNumber(Result.Good_ / Bound), formatNumber(Result.RefusedFraction_),
                       formatNumber(Result.FirstToken_.quantile(0.95)),
                       formatNumber(Result.FirstTokenHigh_.quantile(0.95)),
                       formatNumber(Result.BetweenTokens_.quantile(0.95) * 1e3),
                       formatNumber(Result.BetweenTokens_.quantile(0.99) * 1e3),
                       formatNumber(Result.QueueP99_), formatNumber(Result.QueueMax_),
                       formatNumber(Result.Completed_ * Tokens)});
  const std::string Name = fmt::format("{}.{}.{}", Setup.Name_, Case.Name_, policyName(Policy));
  Out.Metrics_.push_back({Name + ".throughput_to_bound", Result.Completed_ / Bound, "ratio"});
  Out.Metrics_.push_back({Name + ".goodput_to_bound", Result.Good_ / Bound, "ratio"});
  Out.Metrics_.push_back({Name + ".first_token_p95", Result.FirstToken_.quantile(0.95), "s"});
  Out.Metrics_.push_back(
      {Name + ".first_token_high_p95", Result.FirstTokenHigh_.quantile(0.95), "s"});
  Out.Metrics_.push_back(
      {Name + ".between_tokens_p95", Result.BetweenTokens_.quantile(0.95) * 1e3, "ms"});
  Out.Metrics_.push_back({Name + ".queue_p99", Result.QueueP99_, "batches"});
  if (Policy == PolicyKind::Own) {
    for (const auto &[Kind, Use] : Result.Kinds_) {
      Out.Metrics_.push_back({fmt::format("{}.busy.{}", Name, Kind), Use.BusyFraction_, "ratio"});
      Out.Metrics_.push_back(
          {fmt::format("{}.filled.{}", Name, Kind), Use.FilledFraction_, "ratio"});
      Out.Metrics_.push_back(
          {fmt::format("{}.queue.{}", Name, Kind), Use.MeanQueuedBatches_, "batches"});
    }
  }
  if (Result.GoodByCustomer_.size() < 2)
    return;
  for (const auto &[Customer, Good] : Result.GoodByCustomer_)
    Out.Metrics_.push_back({fmt::format("{}.good_of.{}", Name, Customer), Good, "1/s"});
}

std::error_code plotCase(const std::string &Prefix, const LoadCase &Case, double Bound,
                         const std::vector<std::pair<PolicyKind, PipelineResult>> &Results) {
  Plot Latency{Case.Name_ + ": time to first token",
               "ms",
               "part of sequences",
               PlotScale::Logarithmic,
               {},
               {}};
  Plot Throughput{Case.Name_ + ": throughput", "s", "sequences/s", PlotScale::Linear, {}, {}};
  std::vector<PlotBar> Bars;
  for (const auto &[Policy, Result] : Results) {
    const std::string Name(policyName(Policy));
    Latency.Series_.push_back(cumulativeDistribution(Name, Result.FirstToken_));
    PlotSeries Series{Name, {}, {}};
    for (std::size_t I = 0; I + 1 < Result.CompletedPerSecond_.size(); ++I) {
      Series.X_.push_back(static_cast<double>(I));
      Series.Y_.push_back(Result.CompletedPerSecond_[I]);
    }
    Throughput.Series_.push_back(std::move(Series));
    Bars.push_back({Name, Result.Completed_ / Bound});
  }
  const std::string Base = Prefix + "-" + Case.Name_;
  if (const auto Failure = writeFile(Base + "-latency.svg", formatPlot(Latency)))
    return Failure;
  if (const auto Failure = writeFile(Base + "-throughput.svg", formatPlot(Throughput)))
    return Failure;
  return writeFile(Base + "-ratio.svg", formatBars(Case.Name_ + ": throughput by the bound", Bars,
                                                   TargetThroughputRatio));
}

std::error_code simulatePipelines(const Experiment &Setup, const std::string &Prefix) {
  const double Bound = flowCapacity(Setup.Pipeline_);
  if (Bound <= 0)
    return ErrorCode::ExperimentInvalid;
  Output Out;
  Out.Heading_ = {"case",       "policy",  "offered/s", "done/s",   "done/bound",
                  "good/bound", "refused", "ttft95 s",  "high95 s", "itl95 ms",
                  "itl99 ms",   "queue99", "queuemax",  "tokens/s"};
  Out.Metrics_.push_back({Setup.Name_ + ".bound", Bound, "1/s"});
  for (const LoadCase &Case : Setup.Pipeline_.Cases_) {
    std::vector<std::pair<PolicyKind, PipelineResult>> Results;
    for (const PolicyKind Policy : Policies) {
      if (Case.OwnPolicyOnly_ && Policy != PolicyKind::Own)
        continue;
      fmt::print(stderr, "\r{}: {} {}          ", Setup.Name_, Case.Name_, policyName(Policy));
      Results.emplace_back(Policy, simulatePipeline(Setup, Case, Bound, Policy));
      addPipelineRow(Out, Setup, Case, Policy, Results.back().second, Bound);
    }
    if (Prefix.empty())
      continue;
    if (const auto Failure = plotCase(Prefix, Case, Bound, Results))
      return Failure;
  }
  fmt::print(stderr, "\n");
  return Out.finish(Prefix);
}

std::error_code simulateRetries(const Experiment &Setup, const std::string &Prefix) {
  Output Out;
  Out.Heading_ = {"retries",   "sent/call",    "to a dead one/s",
                  "succeeded", "first s sent", "first s succeeded"};
  for (const RetryMode Mode : {RetryMode::Budget, RetryMode::Unbounded}) {
    const CallResult Result = simulateCalls(Setup, Mode);
    const std::string Name = Mode == RetryMode::Budget ? "budget" : "unbounded";
    Out.Rows_.push_back(
        {Name, formatNumber(Result.SentPerCall_), formatNumber(Result.SentPerSecondToEachDead_),
         formatNumber(Result.SucceededFraction_), formatNumber(Result.FirstSecondSentPerCall_),
         formatNumber(Result.FirstSecondSucceededFraction_)});
    const std::string Base = Setup.Name_ + "." + Name;
    Out.Metrics_.push_back({Base + ".sent_per_call", Result.SentPerCall_, "ratio"});
    Out.Metrics_.push_back(
        {Base + ".sent_per_call_first_second", Result.FirstSecondSentPerCall_, "ratio"});
    Out.Metrics_.push_back({Base + ".succeeded", Result.SucceededFraction_, "ratio"});
    Out.Metrics_.push_back({Base + ".to_dead", Result.SentPerSecondToEachDead_, "1/s"});
  }
  return Out.finish(Prefix);
}

std::error_code simulateShares(const Experiment &Setup, const std::string &Prefix) {
  struct Row {
    const char *Name_;
    ShareMode Mode_;
    bool CutOff_;
  };
  Output Out;
  Out.Heading_ = {"shares", "admitted/limit", "worst 10 s/limit"};
  for (const Row &Each :
       {Row{"joined", ShareMode::Demand, false}, Row{"cut_off", ShareMode::Demand, true},
        Row{"equal_shares", ShareMode::Equal, false},
        Row{"whole_limit_each", ShareMode::Whole, false}}) {
    const LimitResult Result = simulateLimits(Setup, Each.Mode_, Each.CutOff_);
    Out.Rows_.push_back({Each.Name_, formatNumber(Result.MeanAdmittedRatio_),
                         formatNumber(Result.MaxAdmittedRatio_)});
    const std::string Base = Setup.Name_ + "." + Each.Name_;
    Out.Metrics_.push_back({Base + ".admitted_to_limit", Result.MeanAdmittedRatio_, "ratio"});
    Out.Metrics_.push_back({Base + ".worst_to_limit", Result.MaxAdmittedRatio_, "ratio"});
  }
  return Out.finish(Prefix);
}

} // namespace

std::error_code simulate(const Experiment &Setup, const std::string &Output) {
  switch (Setup.Kind_) {
  case ExperimentKind::Calls:
    return simulateRetries(Setup, Output);
  case ExperimentKind::Limits:
    return simulateShares(Setup, Output);
  case ExperimentKind::Pipeline:
  case ExperimentKind::Http:
    break;
  }
  return simulatePipelines(Setup, Output);
}

} // namespace rattancart
