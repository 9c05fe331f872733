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

/// One discrete-event simulation of a pipeline experiment. Not thread-safe.
class PipelineModel {
public:
  /// Bound is the result of flowCapacity(). Precondition: Setup and Case outlive the model.
  PipelineModel(const Experiment &Setup, const LoadCase &Case, double Bound, PolicyKind Policy);

  PipelineResult run();

private:
  enum class EventKind : std::uint8_t {
    Arrival,
    Step,
    BatchEnd,
    Token,
    Report,
    ReportReceived,
    Tick
  };
  struct Event {
    TimePoint At_;
    /// Order among events at the same time.
    std::uint64_t Order_;
    EventKind Kind_;
    /// Of the sequence, engine or router, by the kind of event.
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
    /// Time spent on batches since the warm-up; the counters below start then too.
    Duration Busy_{};
    std::uint64_t Steps_ = 0;
    std::uint64_t Batches_ = 0;
    /// Steps that were left waiting when a batch began, summed over the batches.
    std::uint64_t LeftWaiting_ = 0;
    /// The last report that was sent; the routers receive it later.
    LoadReport PendingReport_;
  };
  struct Router {
    EngineLoadEstimator Load_;
    std::unique_ptr<ChainPlanner> Planner_;
    std::unique_ptr<AdmissionController> Admission_;
    std::unordered_map<AdmissionTicket, std::uint32_t> Queued_;
  };

  void buildEngines();
  void buildRouters(PolicyKind Policy);
  void schedule(TimePoint At, EventKind Kind, std::uint32_t Index, std::uint32_t Stage = 0);
  void handle(const Event &Next);
  void onArrival();
  void admit(std::uint32_t Index);
  void processQueue(std::uint32_t Router);
  void enqueue(std::uint32_t Index, std::uint32_t Stage);
  void startBatch(std::uint32_t Index);
  void endBatch(std::uint32_t Index);
  void sendToNextStage(Engine &From, const WaitingStep &Done);
  void onToken(std::uint32_t Index);
  void finish(std::uint32_t Index);
  void report(std::uint32_t Index);
  bool isMeasured(TimePoint At) const { return At >= Begin_ + Setup_.WarmUp_; }

  const Experiment &Setup_;
  const PipelineExperiment &Pipeline_;
  const LoadCase &Case_;
  /// Arrivals per second.
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
  PriorityClass HighestPriority_{255};
  /// Samples of the waiting steps at the begin of a batch, relative to the batch slots.
  std::vector<double> QueueRatios_;
  std::uint64_t Arrived_ = 0;
  std::uint64_t Refused_ = 0;
  std::uint64_t Completed_ = 0;
  std::uint64_t Good_ = 0;
  std::vector<std::uint64_t> GoodByCustomer_;
  PipelineResult Result_;
};

} // namespace rattancart
