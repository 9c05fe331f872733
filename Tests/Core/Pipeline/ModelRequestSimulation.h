#pragma once

#include "Core/Membership/EndpointTable.h"
#include "Core/Pipeline/ModelRequest.h"
#include "Core/Routing/ChainPlanner.h"
#include "Core/Routing/ShortestPathPolicy.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rattancart {

/// A mechanism that is disabled in a run, to show that check() detects its absence.
enum class InjectedFault {
  None,
  /// Answers of an earlier attempt are accepted as those of the current one.
  AttemptNotChecked,
  /// Answers for another position are accepted as those of the current one.
  PositionNotChecked,
  /// Answers of another request are accepted.
  RequestNotChecked,
  /// A new attempt runs the prompt without the tokens already produced.
  NoReplay,
  /// The answer of a failed request is ended as if it were complete.
  CutAnswerEndedAsComplete,
  /// Engines of different model versions work on one request.
  VersionsMixed,
  /// An engine executes a repeated step again instead of repeating its answer.
  RepeatRunAgain,
  /// A restarted engine accepts steps that were sent to its earlier incarnation.
  IncarnationNotChecked,
  /// New attempts are sent without a check whether the endpoint may take new work.
  LeavingNotChecked,
};

/// A range of layers that an engine executed for one position.
struct LayerRun {
  RequestId Request_;
  AttemptNumber Attempt_;
  std::uint32_t Position_ = 0;
  LayerRange Layers_;
  ModelVersion Version_;
};

/// A caller's request and what was sent to the caller.
struct SimulatedRequest {
  explicit SimulatedRequest(ModelRequest Machine) : Machine_(std::move(Machine)) {}

  RequestId Id_;
  std::vector<std::string> Prompt_;
  std::uint32_t AnswerTokens_ = 0;
  ModelRequest Machine_;
  std::vector<std::string> Delivered_;
  /// The attempt that produced each delivered token.
  std::vector<AttemptNumber> DeliveredBy_;
  /// Whether the answer was ended as a complete one.
  bool EndedComplete_ = false;
  bool Failed_ = false;
  /// Whether the caller left or the deadline passed.
  bool Stopped_ = false;
  std::optional<PlanChain> Plan_;
};

/// Runs model requests, as routers do, against simulated engines. Each turn does one thing that can
/// happen next, chosen by a random generator: a message is delivered, late, twice or to the wrong
/// request, or is lost; an engine stops, restarts, changes its version or begins to leave; a step
/// times out.
class ModelRequestSimulation {
public:
  ModelRequestSimulation(std::uint64_t Seed, InjectedFault Fault);

  /// Runs one schedule: Turns with faults, then enough turns without new faults to end all
  /// requests.
  void run(int Turns);
  /// The first violation that is found, or an empty string.
  std::string check() const;
  const std::vector<SimulatedRequest> &requests() const { return Requests_; }

private:
  struct SequenceState {
    AttemptNumber Attempt_{0};
    std::vector<std::string> Tokens_;
    std::optional<StepCall> Last_;
    std::optional<StepOutput> LastOutput_;
  };
  struct Engine {
    Endpoint Endpoint_;
    bool Alive_ = true;
    bool Leaving_ = false;
    std::map<RequestId, SequenceState> Sequences_;
    std::map<RequestId, AttemptNumber> Cancelled_;
  };
  /// A message that was sent and not delivered yet: a step, its answer or a cancellation.
  struct PipelineMessage {
    enum class Kind { Step, Answer, Cancel } Kind_ = Kind::Step;
    std::size_t Request_ = 0;
    SendStep Step_;
    AttemptNumber Attempt_{0};
    EndpointId Endpoint_;
    std::optional<StepFault> Fault_;
    StepOutput Output_;
  };

  /// A random number below Bound.
  std::uint64_t pick(std::uint64_t Bound) { return Random_() % Bound; }
  Engine &engine(const EndpointId &Id) { return Engines_.at(Id); }
  void addEngines();
  void addRequest(std::size_t Index);
  void turn(bool Faults);
  void injectFault();
  void injectEngineFault(Engine &Target);
  void restart(Engine &Target);
  void timeOutStep();
  void deliverMessage(std::size_t Index);
  void deliverToEngine(PipelineMessage Message);
  std::optional<StepFault> runStep(Engine &Receiver, const PipelineMessage &Message,
                                   StepOutput &Output);
  std::vector<std::string> inputOf(const PipelineMessage &Message) const;
  bool fetch(const TensorRef &Input, std::vector<std::string> &Tokens) const;
  void handleEvent(std::size_t Request, const ModelEvent &Event);
  void carryOut(std::size_t Request, const ModelEffect &Effect);
  void send(std::size_t Request, const SendStep &Step);
  void plan(std::size_t Request);
  /// The output as the request sees it if a check of it is disabled.
  StepOutput applyInjectedFault(std::size_t Request, StepOutput Output) const;
  std::string checkRequest(const SimulatedRequest &Each) const;
  /// Checks that the attempt that delivered the token at Index ran every layer once for each
  /// position before it, in order and in one version.
  std::string checkTokenLayers(const SimulatedRequest &Each, std::size_t Index) const;

  InjectedFault Fault_;
  std::mt19937_64 Random_;
  ModelSpec Spec_;
  EndpointTable Table_;
  EngineLoadEstimator Load_;
  ChainPlanner Planner_;
  std::map<EndpointId, Engine> Engines_;
  std::vector<SimulatedRequest> Requests_;
  std::vector<PipelineMessage> Messages_;
  std::map<std::string, std::vector<std::string>> Tensors_;
  std::vector<LayerRun> History_;
  std::string WorkSentToLeaving_;
  std::uint64_t NextRef_ = 0;
};

} // namespace rattancart
