#include "Tests/Core/Pipeline/ModelRequestSimulation.h"

#include "Core/Common/Hash.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

constexpr std::uint32_t Layers = 6;
const ModelVersion Version("3");
const ModelVersion OtherVersion("4");

/// The simulated model: the next token is a hash of the version and all tokens so far.
std::string nextToken(const ModelVersion &Of, const std::vector<std::string> &Tokens) {
  std::string Text = Of.str();
  for (const std::string &Token : Tokens)
    Text += " " + Token;
  return "w" + std::to_string(stableHash(Text));
}

std::vector<std::string> expectedAnswer(const SimulatedRequest &Each) {
  std::vector<std::string> Tokens = Each.Prompt_;
  std::vector<std::string> Answer;
  while (Answer.size() < Each.AnswerTokens_) {
    Answer.push_back(nextToken(Version, Tokens));
    Tokens.push_back(Answer.back());
  }
  return Answer;
}

} // namespace

ModelRequestSimulation::ModelRequestSimulation(std::uint64_t Seed, InjectedFault Fault)
    : Fault_(Fault), Random_(Seed), Spec_{ModelId("brief"), Version, Layers, 64, 64},
      Planner_(Table_, Load_, std::make_unique<ShortestPathPolicy>("router", ShortestPathOptions{}),
               Random_) {
  addEngines();
  for (std::size_t Index = 0; Index < 3; ++Index)
    addRequest(Index);
}

void ModelRequestSimulation::addEngines() {
  const LayerRange Ranges[] = {{0, 2}, {0, 2}, {2, 4}, {2, 4}, {4, 6}, {4, 6}, {2, 6}};
  for (std::size_t Index = 0; Index < std::size(Ranges); ++Index) {
    Engine Created;
    Created.Endpoint_.Id_ = EndpointId("e" + std::to_string(Index));
    Created.Endpoint_.Kind_ = EndpointKind::Engine;
    Created.Endpoint_.Address_ = NetAddress(Created.Endpoint_.Id_.str());
    Created.Endpoint_.Model_ = Spec_.Model_;
    Created.Endpoint_.Version_ = Version;
    Created.Endpoint_.Layers_ = Ranges[Index];
    Created.Endpoint_.Load_.StepTime_ = std::chrono::milliseconds(1 + pick(3));
    Created.Endpoint_.LoadSequence_ = 1;
    Table_.apply(Created.Endpoint_, TimePoint{});
    Engines_.emplace(Created.Endpoint_.Id_, Created);
  }
}

void ModelRequestSimulation::addRequest(std::size_t Index) {
  const RequestId Id("r" + std::to_string(Index));
  std::vector<std::string> Prompt;
  TokenSequence Tokens;
  // All prompts have the same length, so that an answer to another request differs only in its
  // request id.
  for (int Token = 0; Token < 3; ++Token) {
    Prompt.push_back("p" + std::to_string(Index) + std::to_string(Token));
    Tokens.append(Prompt.back());
  }
  ModelRequestOptions Options;
  Options.MaxAttempts_ = 6;
  Requests_.emplace_back(ModelRequest(Id, std::move(Tokens), Options));
  Requests_.back().Id_ = Id;
  Requests_.back().Prompt_ = Prompt;
  Requests_.back().AnswerTokens_ = static_cast<std::uint32_t>(1 + pick(6));
  for (const ModelEffect &Effect : Requests_.back().Machine_.start())
    carryOut(Index, Effect);
}

void ModelRequestSimulation::run(int Turns) {
  for (int Turn = 0; Turn < Turns; ++Turn)
    turn(true);
  for (auto &[Id, Each] : Engines_) {
    if (!Each.Alive_)
      restart(Each);
    Table_.apply(Each.Endpoint_, TimePoint{});
  }
  for (int Turn = 0; Turn < 5000; ++Turn)
    turn(false);
}

void ModelRequestSimulation::turn(bool Faults) {
  if (Faults && pick(12) == 0)
    return injectFault();
  std::vector<std::size_t> Planning;
  for (std::size_t Index = 0; Index < Requests_.size(); ++Index)
    if (Requests_[Index].Plan_)
      Planning.push_back(Index);
  if (!Planning.empty() && (Messages_.empty() || pick(4) == 0))
    return plan(Planning[pick(Planning.size())]);
  if (!Messages_.empty())
    return deliverMessage(pick(Messages_.size()));
  timeOutStep();
}

void ModelRequestSimulation::injectFault() {
  const std::uint64_t Choice = pick(10);
  if (Choice < 4)
    return injectEngineFault(
        std::next(Engines_.begin(), static_cast<long>(pick(Engines_.size())))->second);
  if (Choice < 6)
    return timeOutStep();
  if (Choice == 6 && pick(10) == 0) {
    const std::size_t Index = pick(Requests_.size());
    Requests_[Index].Stopped_ = true;
    return handleEvent(Index,
                       pick(2) == 0 ? ModelEvent(CallerGone{}) : ModelEvent(DeadlinePassed{}));
  }
  if (Messages_.empty())
    return;
  const std::size_t Index = pick(Messages_.size());
  if (Choice == 7)
    Messages_.erase(Messages_.begin() + static_cast<long>(Index));
  else if (Choice == 8)
    Messages_.push_back(Messages_[Index]);
  else
    std::swap(Messages_[Index].Output_, Messages_[pick(Messages_.size())].Output_);
}

void ModelRequestSimulation::injectEngineFault(Engine &Target) {
  const std::uint64_t Choice = pick(6);
  Endpoint &Known = Target.Endpoint_;
  if (Choice == 0) {
    Target.Leaving_ = true;
  } else if (Choice == 1) {
    Table_.markLeaving(Known.Id_, Known.Incarnation_);
  } else if (Target.Alive_ && Choice < 5) {
    Target.Alive_ = false;
    Target.Sequences_.clear();
    if (pick(2) == 0) {
      Table_.markGone(Known.Id_, Known.Incarnation_);
      for (std::size_t Index = 0; Index < Requests_.size(); ++Index)
        handleEvent(Index, EndpointLost{Known.Id_});
    }
  } else {
    restart(Target);
    if (pick(3) == 0 && Fault_ != InjectedFault::VersionsMixed)
      Known.Version_ = OtherVersion;
    // The endpoint table learns of the restart now or at the end of the faults.
    if (pick(2) == 0)
      Table_.apply(Known, TimePoint{});
  }
}

void ModelRequestSimulation::restart(Engine &Target) {
  Target.Alive_ = true;
  Target.Leaving_ = false;
  Target.Sequences_.clear();
  Target.Cancelled_.clear();
  Target.Endpoint_.Incarnation_ = Target.Endpoint_.Incarnation_.next();
  Target.Endpoint_.Version_ = Version;
}

void ModelRequestSimulation::timeOutStep() {
  const std::size_t Index = pick(Requests_.size());
  if (!Requests_[Index].Machine_.chain().Stages_.empty())
    handleEvent(Index, StepFailed{Requests_[Index].Machine_.currentCall(), StepFault::Silent});
}

void ModelRequestSimulation::deliverMessage(std::size_t Index) {
  PipelineMessage Message = Messages_[Index];
  Messages_.erase(Messages_.begin() + static_cast<long>(Index));
  if (Message.Kind_ != PipelineMessage::Kind::Answer)
    return deliverToEngine(std::move(Message));
  if (Message.Fault_)
    return handleEvent(Message.Request_, StepFailed{Message.Step_.Call_, *Message.Fault_});
  handleEvent(
      Message.Request_,
      StepAnswered{Message.Step_.Call_, applyInjectedFault(Message.Request_, Message.Output_)});
}

StepOutput ModelRequestSimulation::applyInjectedFault(std::size_t Request,
                                                      StepOutput Output) const {
  const StepCall &Current = Requests_[Request].Machine_.currentCall();
  if (Fault_ == InjectedFault::AttemptNotChecked)
    Output.Attempt_ = Current.Attempt_;
  if (Fault_ == InjectedFault::RequestNotChecked)
    Output.Request_ = Requests_[Request].Id_;
  if (Fault_ == InjectedFault::PositionNotChecked) {
    Output.Position_ = Current.Position_;
    Output.Count_ = Current.Count_;
  }
  return Output;
}

void ModelRequestSimulation::deliverToEngine(PipelineMessage Message) {
  Engine &Receiver = engine(Message.Endpoint_);
  if (Message.Kind_ == PipelineMessage::Kind::Cancel) {
    const RequestId &Id = Requests_[Message.Request_].Id_;
    AttemptNumber &Highest = Receiver.Cancelled_[Id];
    Highest = std::max(Highest, Message.Attempt_);
    const auto It = Receiver.Sequences_.find(Id);
    if (It != Receiver.Sequences_.end() && It->second.Attempt_ <= Message.Attempt_)
      Receiver.Sequences_.erase(It);
    return;
  }
  Message.Fault_ = Receiver.Alive_ ? runStep(Receiver, Message, Message.Output_)
                                   : std::optional(pick(2) == 0 ? StepFault::ConnectFailed
                                                                : StepFault::Connection);
  Message.Kind_ = PipelineMessage::Kind::Answer;
  Messages_.push_back(std::move(Message));
}

std::vector<std::string> ModelRequestSimulation::inputOf(const PipelineMessage &Message) const {
  const SimulatedRequest &From = Requests_[Message.Request_];
  const StepCall &Call = Message.Step_.Call_;
  std::vector<std::string> Tokens;
  for (std::uint32_t Index = 0; Index < Call.Count_; ++Index)
    Tokens.emplace_back(From.Machine_.tokens().at(Call.Position_.value() + Index));
  if (Fault_ == InjectedFault::NoReplay && Call.Position_.value() == 0)
    Tokens.resize(From.Prompt_.size());
  return Tokens;
}

bool ModelRequestSimulation::fetch(const TensorRef &Input, std::vector<std::string> &Tokens) const {
  const auto It = Tensors_.find(Input.Ref_);
  if (It == Tensors_.end() || !Engines_.at(EndpointId(Input.Address_.str())).Alive_)
    return false;
  Tokens = It->second;
  return true;
}

std::optional<StepFault> ModelRequestSimulation::runStep(Engine &Receiver,
                                                         const PipelineMessage &Message,
                                                         StepOutput &Output) {
  const RequestId &Id = Requests_[Message.Request_].Id_;
  const StepCall &Call = Message.Step_.Call_;
  if (Message.Step_.Stage_.Incarnation_ != Receiver.Endpoint_.Incarnation_ &&
      Fault_ != InjectedFault::IncarnationNotChecked)
    return StepFault::Refused;
  SequenceState &State = Receiver.Sequences_[Id];
  if (State.Attempt_ == Call.Attempt_ && State.Last_ && State.Last_->Position_ == Call.Position_ &&
      State.Last_->Count_ == Call.Count_) {
    Output = *State.LastOutput_;
    if (Fault_ == InjectedFault::RepeatRunAgain)
      History_.push_back({Id, Call.Attempt_, Call.Position_.value(), Receiver.Endpoint_.Layers_,
                          Receiver.Endpoint_.Version_});
    return std::nullopt;
  }
  if (Call.Attempt_ < State.Attempt_ || Call.Attempt_ <= Receiver.Cancelled_[Id])
    return StepFault::SequenceLost;
  // An engine of another version refuses the step, unless this check is disabled.
  if (Receiver.Endpoint_.Version_ != Version && Fault_ != InjectedFault::VersionsMixed)
    return StepFault::Refused;
  if (Call.Position_.value() == 0 && State.Attempt_ < Call.Attempt_) {
    if (Receiver.Leaving_)
      return StepFault::Refused;
    State = {Call.Attempt_, {}, std::nullopt, std::nullopt};
  }
  if (State.Attempt_ != Call.Attempt_ || State.Tokens_.size() != Call.Position_.value())
    return StepFault::SequenceLost;
  std::vector<std::string> Tokens;
  if (!Message.Step_.Input_)
    Tokens = inputOf(Message);
  else if (!fetch(*Message.Step_.Input_, Tokens))
    return StepFault::InputLost;

  for (std::uint32_t Index = 0; Index < Call.Count_; ++Index)
    History_.push_back(
        {Id, Call.Attempt_, Call.Position_.value() + Index, Receiver.Endpoint_.Layers_,
         Fault_ == InjectedFault::VersionsMixed && Receiver.Endpoint_.Incarnation_.value() > 0
             ? OtherVersion
             : Receiver.Endpoint_.Version_});
  State.Tokens_.insert(State.Tokens_.end(), Tokens.begin(), Tokens.end());
  Output = {Id, Call.Attempt_, Call.Position_, Call.Count_, Receiver.Endpoint_.Id_, {}, {}};
  if (Receiver.Endpoint_.Layers_.End_ == Layers) {
    const std::size_t Produced =
        Call.Position_.value() + Call.Count_ + 1 - Requests_[Message.Request_].Prompt_.size();
    Output.Token_ = GeneratedToken{nextToken(Version, State.Tokens_),
                                   Produced == Requests_[Message.Request_].AnswerTokens_};
  } else {
    Output.Tensor_ = TensorRef{"t" + std::to_string(NextRef_++), Receiver.Endpoint_.Address_};
    Tensors_[Output.Tensor_->Ref_] = Tokens;
  }
  // With NoReplay, fewer tokens were run than the call says; the sequence continues as if all were.
  State.Tokens_.resize(Call.Position_.value() + Call.Count_);
  State.Last_ = Call;
  State.LastOutput_ = Output;
  return std::nullopt;
}

void ModelRequestSimulation::handleEvent(std::size_t Request, const ModelEvent &Event) {
  for (const ModelEffect &Effect : Requests_[Request].Machine_.handle(Event))
    carryOut(Request, Effect);
}

void ModelRequestSimulation::carryOut(std::size_t Request, const ModelEffect &Effect) {
  SimulatedRequest &Each = Requests_[Request];
  if (const auto *Plan = std::get_if<PlanChain>(&Effect)) {
    Each.Plan_ = *Plan;
  } else if (const auto *Step = std::get_if<SendStep>(&Effect)) {
    send(Request, *Step);
  } else if (const auto *Cancel = std::get_if<CancelAttempt>(&Effect)) {
    for (const ChainStage &Stage : Cancel->Stages_) {
      Load_.onSequenceEnded(Stage.Endpoint_);
      PipelineMessage Message;
      Message.Kind_ = PipelineMessage::Kind::Cancel;
      Message.Request_ = Request;
      Message.Attempt_ = Cancel->Attempt_;
      Message.Endpoint_ = Stage.Endpoint_;
      Messages_.push_back(Message);
    }
  } else if (const auto *Token = std::get_if<DeliverToken>(&Effect)) {
    Each.Delivered_.push_back(Token->Text_);
    Each.DeliveredBy_.push_back(Each.Machine_.attempt());
  } else if (std::holds_alternative<FinishAnswer>(Effect)) {
    Each.EndedComplete_ = true;
  } else if (std::holds_alternative<FailRequest>(Effect)) {
    Each.Failed_ = true;
    Each.EndedComplete_ = Fault_ == InjectedFault::CutAnswerEndedAsComplete;
  }
}

void ModelRequestSimulation::send(std::size_t Request, const SendStep &Step) {
  PipelineMessage Message;
  Message.Request_ = Request;
  Message.Step_ = Step;
  Message.Endpoint_ = Step.Stage_.Endpoint_;
  const Endpoint *Known = Table_.find(Message.Endpoint_);
  const bool MayTake =
      Table_.mayTakeWork(Message.Endpoint_) && Known->Incarnation_ == Step.Stage_.Incarnation_;
  if (Step.NewWork_ && !MayTake) {
    if (Fault_ != InjectedFault::LeavingNotChecked) {
      Message.Kind_ = PipelineMessage::Kind::Answer;
      Message.Fault_ = StepFault::Refused;
    } else if (!Step.FreshConnection_) {
      WorkSentToLeaving_ = Requests_[Request].Id_.str() + " sent to " + Message.Endpoint_.str();
    }
  }
  Messages_.push_back(std::move(Message));
}

void ModelRequestSimulation::plan(std::size_t Request) {
  SimulatedRequest &Each = Requests_[Request];
  const PlanChain Wanted = *std::exchange(Each.Plan_, std::nullopt);
  const auto Planned = Planner_.plan({Spec_, {3, 6}, "", Wanted.Excluded_});
  if (!Planned)
    return handleEvent(Request, ChainUnavailable{});
  for (const ChainStage &Stage : Planned->Stages_)
    Load_.onSequenceStarted(*Table_.find(Stage.Endpoint_));
  handleEvent(Request, ChainPlanned{*Planned});
}

std::string ModelRequestSimulation::check() const {
  if (!WorkSentToLeaving_.empty())
    return "new work for a leaving endpoint: " + WorkSentToLeaving_;
  for (const SimulatedRequest &Each : Requests_) {
    std::string Violation = checkRequest(Each);
    if (!Violation.empty())
      return Each.Id_.str() + ": " + Violation;
  }
  return {};
}

std::string ModelRequestSimulation::checkRequest(const SimulatedRequest &Each) const {
  const std::vector<std::string> Expected = expectedAnswer(Each);
  if (Each.Delivered_.size() > Expected.size() ||
      !std::equal(Each.Delivered_.begin(), Each.Delivered_.end(), Expected.begin()))
    return "a delivered token is not the expected one";
  if (Each.EndedComplete_ && Each.Delivered_.size() != Expected.size())
    return "an incomplete answer was ended as a complete one";
  if (!Each.Machine_.isOver())
    return "the request is still " + std::string(Each.Machine_.stateName());
  if (!Each.EndedComplete_ && !Each.Failed_ && !Each.Stopped_)
    return "the request ended without an answer";
  for (std::size_t Index = 0; Index < Each.Delivered_.size(); ++Index) {
    std::string Violation = checkTokenLayers(Each, Index);
    if (!Violation.empty())
      return "token " + std::to_string(Index) + ": " + Violation;
  }
  return {};
}

std::string ModelRequestSimulation::checkTokenLayers(const SimulatedRequest &Each,
                                                     std::size_t Index) const {
  const std::size_t Positions = Each.Prompt_.size() + Index;
  std::vector<std::uint32_t> NextLayers(Positions, 0);
  for (const LayerRun &Run : History_) {
    if (Run.Request_ != Each.Id_ || Run.Attempt_ != Each.DeliveredBy_[Index] ||
        Run.Position_ >= Positions)
      continue;
    if (Run.Version_ != Version)
      return "layers of another version ran";
    if (Run.Layers_.Begin_ != NextLayers[Run.Position_])
      return "a layer ran twice, was left out or ran out of order";
    NextLayers[Run.Position_] = Run.Layers_.End_;
    if (Run.Position_ > 0 && NextLayers[Run.Position_ - 1] < Run.Layers_.End_)
      return "a position ran before the previous position";
  }
  const bool Complete = std::all_of(NextLayers.begin(), NextLayers.end(),
                                    [](std::uint32_t At) { return At == Layers; });
  return Complete ? "" : "not all layers ran";
}

} // namespace rattancart
