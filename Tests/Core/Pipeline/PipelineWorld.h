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

/// A mechanism that a run is made without, to show that the checks see it.
enum class PlantedFault {
  None,
  /// Answers of an earlier attempt are taken for the current one's.
  AttemptNotChecked,
  /// Answers of an earlier position are taken for the current one's.
  PositionNotChecked,
  /// Answers of another request are taken for one's own.
  RequestNotChecked,
  /// A new attempt runs the prompt without the tokens already produced.
  NoReplay,
  /// A cut answer is closed as a whole one.
  CutClosedAsWhole,
  /// Chains mix model versions.
  VersionsMixed,
  /// An engine runs a repeated step again.
  RepeatRunAgain,
  /// A restarted engine takes steps that were meant for its earlier run.
  IncarnationNotChecked,
  /// New attempts are sent without asking whether the endpoint may take them.
  LeavingNotChecked,
};

/// One layer range run for one position, as the engine recorded it.
struct LayerRun {
  RequestId Request_;
  AttemptNumber Attempt_;
  std::uint32_t Position_ = 0;
  LayerRange Layers_;
  ModelVersion Version_;
};

/// A caller's request with what was handed to the caller.
struct WorldRequest {
  explicit WorldRequest(ModelRequest Machine) : Machine_(std::move(Machine)) {}

  RequestId Id_;
  std::vector<std::string> Prompt_;
  std::uint32_t AnswerTokens_ = 0;
  ModelRequest Machine_;
  std::vector<std::string> Delivered_;
  /// The attempt that produced each delivered token.
  std::vector<AttemptNumber> DeliveredBy_;
  bool ClosedWhole_ = false;
  bool Failed_ = false;
  bool Stopped_ = false;
  std::optional<PlanChain> Plan_;
};

/// Routers' core code against engines without I/O. Each turn does one of the things that can
/// happen next, drawn from the seed: a message arrives, late, twice or at the wrong request, or is
/// lost; an engine dies, comes back, changes its version, leaves; a step is declared silent.
class PipelineWorld {
public:
  PipelineWorld(std::uint64_t Seed, PlantedFault Fault);

  /// Runs one schedule: Turns with faults, then until nothing is left to do without new ones.
  void run(int Turns);
  /// The first violation of what must hold, or an empty string.
  std::string check() const;
  const std::vector<WorldRequest> &requests() const { return Requests_; }

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
  /// A message on its way: a step, its answer, or a cancellation.
  struct Flight {
    enum class Kind { Step, Answer, Cancel } Kind_ = Kind::Step;
    std::size_t Request_ = 0;
    SendStep Step_;
    AttemptNumber Attempt_{0};
    EndpointId Endpoint_;
    std::optional<StepFault> Fault_;
    StepOutput Output_;
  };

  std::uint64_t pick(std::uint64_t Bound) { return Random_() % Bound; }
  Engine &engine(const EndpointId &Id) { return Engines_.at(Id); }
  void addEngines();
  void addRequest(std::size_t Index);
  void turn(bool Faults);
  void disturb();
  void disturbEngine(Engine &Target);
  void restart(Engine &Target);
  void declareSilent();
  void arrive(std::size_t Index);
  void atEngine(Flight Item);
  std::optional<StepFault> runStep(Engine &At, const Flight &Item, StepOutput &Output);
  std::vector<std::string> inputOf(const Flight &Item) const;
  bool fetch(const TensorRef &Input, std::vector<std::string> &Tokens) const;
  void give(std::size_t Request, const ModelEvent &Event);
  void carryOut(std::size_t Request, const ModelEffect &Effect);
  void send(std::size_t Request, const SendStep &Step);
  void plan(std::size_t Request);
  StepOutput asPlanted(std::size_t Request, StepOutput Output) const;
  std::string checkRequest(const WorldRequest &Each) const;
  std::string checkLineage(const WorldRequest &Each, std::size_t Index) const;

  PlantedFault Fault_;
  std::mt19937_64 Random_;
  ModelSpec Spec_;
  EndpointTable Table_;
  EngineLoadEstimator Load_;
  ChainPlanner Planner_;
  std::map<EndpointId, Engine> Engines_;
  std::vector<WorldRequest> Requests_;
  std::vector<Flight> Flights_;
  std::map<std::string, std::vector<std::string>> Tensors_;
  std::vector<LayerRun> History_;
  std::string WorkForLeaving_;
  std::uint64_t NextRef_ = 0;
};

} // namespace rattancart
