#pragma once

#include "Core/Admission/AdmissionController.h"
#include "Core/Routing/ChainPlanner.h"
#include "Core/Routing/EngineLoadEstimator.h"
#include "Load/PipelineSimulation.h"

#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

namespace rattancart {

/// The state of one simulated run. Not thread-safe.
class PipelineModel {
public:
  /// Precondition: Setup and Case outlive the model.
  PipelineModel(const Experiment &Setup, const LoadCase &Case, double Bound, PolicyKind Policy);

  PipelineResult run();

private:
  enum class EventKind : std::uint8_t { Arrival, Step, BatchEnd, Token, Report, ReportSeen, Tick };
  struct Event {
    TimePoint At_;
    std::uint64_t Order_;
    EventKind Kind_;
    std::uint32_t Index_;
    std::uint32_t Stage_;
    bool operator>(const Event &Other) const {
      return At_ != Other.At_ ? At_ > Other.At_ : Order_ > Other.Order_;
    }
  };
  struct Sequence {
    std::uint32_t Router_ = 0;
    std::uint32_t Customer_ = 0;
    AdmissionTicket Ticket_{};
    TimePoint ArrivedAt_{};
    TimePoint LastToken_{};
    std::uint32_t Tokens_ = 0;
    std::vector<std::uint32_t> Chain_;
  };
  struct WaitingStep {
    std::uint32_t Sequence_;
    std::uint32_t Stage_;
  };
  struct Engine {
    Endpoint Endpoint_;
    std::deque<WaitingStep> Waiting_;
    std::vector<WaitingStep> Batch_;
    std::uint32_t Sequences_ = 0;
    TimePoint LinkFreeAt_{};
    /// Time spent on batches after the warm-up, and steps run.
    Duration Busy_{};
    std::uint64_t Steps_ = 0;
    std::uint64_t Batches_ = 0;
    std::uint64_t Left_ = 0;
    LoadReport Pending_;
  };
  struct Router {
    EngineLoadEstimator Load_;
    std::unique_ptr<ChainPlanner> Planner_;
    std::unique_ptr<AdmissionController> Admission_;
    std::unordered_map<AdmissionTicket, std::uint32_t> Queued_;
  };

  void buildEngines();
  void buildRouters(PolicyKind Policy);
  void push(TimePoint At, EventKind Kind, std::uint32_t Index, std::uint32_t Stage = 0);
  void handle(const Event &Next);
  void arrive();
  void admit(std::uint32_t Index);
  void takeReady(std::uint32_t Router);
  void enqueue(std::uint32_t Index, std::uint32_t Stage);
  void startBatch(std::uint32_t Index);
  void endBatch(std::uint32_t Index);
  void passOn(Engine &From, const WaitingStep &Done);
  void takeToken(std::uint32_t Index);
  void finish(std::uint32_t Index);
  void report(std::uint32_t Index);
  bool counts(TimePoint At) const { return At >= Begin_ + Setup_.WarmUp_; }

  const Experiment &Setup_;
  const PipelineExperiment &Pipeline_;
  const LoadCase &Case_;
  double Rate_;
  std::mt19937_64 Random_;
  TimePoint Begin_{std::chrono::hours(1)};
  TimePoint Now_ = Begin_;
  std::uint64_t Order_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events_;
  std::vector<Engine> Engines_;
  std::unordered_map<EndpointId, std::uint32_t> EngineIndex_;
  EndpointTable Table_;
  std::vector<Router> Routers_;
  std::unordered_map<std::uint32_t, Sequence> Sequences_;
  std::uint32_t NextSequence_ = 0;
  std::discrete_distribution<std::uint32_t> PickCustomer_;
  PriorityClass Highest_{255};
  std::vector<double> QueueRatios_;
  std::uint64_t Arrived_ = 0;
  std::uint64_t Refused_ = 0;
  std::uint64_t Completed_ = 0;
  std::uint64_t Good_ = 0;
  std::vector<std::uint64_t> GoodOf_;
  PipelineResult Result_;
};

} // namespace rattancart
