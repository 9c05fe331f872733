#include "Load/PipelineSimulation.h"

#include "Core/Routing/BaselinePolicies.h"
#include "Core/Routing/CapacityPolicy.h"
#include "Core/Routing/ShortestPathPolicy.h"
#include "Load/PipelineModel.h"

#include <algorithm>
#include <string>

namespace rattancart {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(20);
const PoolId Pool("model");

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Seconds));
}

std::unique_ptr<ChainPolicy> makePolicy(PolicyKind Policy, const std::string &Router,
                                        double Routers) {
  switch (Policy) {
  case PolicyKind::Random:
    return std::make_unique<RandomPolicy>();
  case PolicyKind::RoundRobin:
    return std::make_unique<RoundRobinPolicy>();
  case PolicyKind::LeastLoad:
    return std::make_unique<LeastLoadPolicy>();
  case PolicyKind::ShortestPath:
    return std::make_unique<ShortestPathPolicy>(Router, ShortestPathOptions{});
  case PolicyKind::Own:
    break;
  }
  return std::make_unique<CapacityPolicy>(CapacityPolicyOptions{2, Routers});
}

AdmissionOptions admissionOptions(AdmissionMode Mode, double Slots) {
  AdmissionOptions Options;
  Options.MakeLimit_ = [Slots](const PoolId &) { return makeFixedConcurrency(Slots); };
  if (Mode == AdmissionMode::Arrival) {
    Options.Order_ = QueueOrder::Arrival;
    Options.RefuseEarly_ = false;
    Options.MaxQueued_ = 1'000'000;
  }
  return Options;
}

} // namespace

std::string_view policyName(PolicyKind Policy) {
  switch (Policy) {
  case PolicyKind::Random:
    return "random";
  case PolicyKind::RoundRobin:
    return "round_robin";
  case PolicyKind::LeastLoad:
    return "least_load";
  case PolicyKind::ShortestPath:
    return "shortest_path";
  case PolicyKind::Own:
    break;
  }
  return "own";
}

PipelineResult simulatePipeline(const Experiment &Setup, const LoadCase &Case, double Bound,
                                PolicyKind Policy) {
  return PipelineModel(Setup, Case, Bound, Policy).run();
}

PipelineModel::PipelineModel(const Experiment &Setup, const LoadCase &Case, double Bound,
                             PolicyKind Policy)
    : Setup_(Setup), Pipeline_(Setup.Pipeline_), Case_(Case),
      Rate_(Bound * Case.LoadPercent_ / 100), Random_(Setup.Seed_) {
  std::vector<double> Parts;
  for (const CustomerMix &Mix : Pipeline_.Customers_) {
    Parts.push_back(Mix.RelativeRate_);
    HighestPriority_ = std::min(HighestPriority_, Mix.Priority_);
  }
  PickCustomer_ = std::discrete_distribution<std::uint32_t>(Parts.begin(), Parts.end());
  GoodByCustomer_.resize(Parts.size());
  buildEngines();
  buildRouters(Policy);
}

void PipelineModel::buildEngines() {
  for (const EngineGroup &Group : Pipeline_.Groups_) {
    for (std::uint32_t I = 0; I < Group.Count_; ++I) {
      Endpoint Content;
      Content.Id_ = EndpointId(Group.Kind_ + "-" + std::to_string(Group.Layers_.Begin_) + "-" +
                               std::to_string(I));
      Content.Kind_ = EndpointKind::Engine;
      Content.Model_ = Pipeline_.Model_.Model_;
      Content.Version_ = Pipeline_.Model_.Version_;
      Content.Layers_ = Group.Layers_;
      Content.Load_ = Group.Speed_;
      const auto Index = static_cast<std::uint32_t>(Engines_.size());
      EngineIndex_[Content.Id_] = Index;
      Table_.apply(Content, Now_);
      Engines_.push_back({});
      Engines_.back().Endpoint_ = Content;
      std::uniform_int_distribution<std::int64_t> Offset(0, Pipeline_.ReportInterval_.count());
      schedule(Now_ + Duration(Offset(Random_)), EventKind::Report, Index);
    }
  }
}

void PipelineModel::buildRouters(PolicyKind Policy) {
  double Slots = 0;
  for (const Engine &Each : Engines_)
    Slots += Each.Endpoint_.Load_.BatchSlots_;
  const double SlotsPerRouter = Slots * Pipeline_.SlotsFactor_ / Pipeline_.Routers_;
  auto View = std::make_shared<SettingsView>();
  for (const CustomerMix &Mix : Pipeline_.Customers_)
    View->Limits_[Mix.Customer_].Weight_ = Mix.Weight_;
  Routers_.resize(Pipeline_.Routers_);
  for (std::uint32_t I = 0; I < Pipeline_.Routers_; ++I) {
    Router &Each = Routers_[I];
    Each.Planner_ = std::make_unique<ChainPlanner>(
        Table_, Each.Load_, makePolicy(Policy, "router-" + std::to_string(I), Pipeline_.Routers_),
        Random_);
    Each.Admission_ =
        std::make_unique<AdmissionController>(admissionOptions(Case_.Admission_, SlotsPerRouter));
    Each.Admission_->setView(View, Now_);
    schedule(Now_ + TickInterval * I / Pipeline_.Routers_, EventKind::Tick, I);
  }
}

void PipelineModel::schedule(TimePoint At, EventKind Kind, std::uint32_t Index,
                             std::uint32_t Stage) {
  Events_.push({At, Order_++, Kind, Index, Stage});
}

PipelineResult PipelineModel::run() {
  schedule(Now_, EventKind::Arrival, 0);
  const TimePoint End = Begin_ + Setup_.Duration_;
  while (!Events_.empty() && Events_.top().At_ < End) {
    const Event Next = Events_.top();
    Events_.pop();
    Now_ = Next.At_;
    handle(Next);
    ++Result_.Events_;
  }
  const double Seconds = std::chrono::duration<double>(Setup_.Duration_ - Setup_.WarmUp_).count();
  Result_.Offered_ = static_cast<double>(Arrived_) / Seconds;
  Result_.Completed_ = static_cast<double>(Completed_) / Seconds;
  Result_.Good_ = static_cast<double>(Good_) / Seconds;
  Result_.RefusedFraction_ =
      Arrived_ == 0 ? 0 : static_cast<double>(Refused_) / static_cast<double>(Arrived_);
  for (std::size_t I = 0; I < GoodByCustomer_.size(); ++I)
    Result_.GoodByCustomer_[Pipeline_.Customers_[I].Customer_.str()] =
        static_cast<double>(GoodByCustomer_[I]) / Seconds;
  std::size_t At = 0;
  for (const EngineGroup &Group : Pipeline_.Groups_) {
    EngineUse &Use = Result_.Kinds_[Group.Kind_ + "-" + std::to_string(Group.Layers_.Begin_)];
    for (std::uint32_t I = 0; I < Group.Count_; ++I, ++At) {
      const Engine &Each = Engines_[At];
      Use.BusyFraction_ +=
          std::chrono::duration<double>(Each.Busy_).count() / Seconds / Group.Count_;
      if (Each.Batches_ == 0)
        continue;
      Use.MeanQueuedBatches_ += static_cast<double>(Each.LeftWaiting_) /
                                static_cast<double>(Each.Batches_) / Group.Speed_.BatchSlots_ /
                                Group.Count_;
      Use.FilledFraction_ += static_cast<double>(Each.Steps_) / static_cast<double>(Each.Batches_) /
                             Group.Speed_.BatchSlots_ / Group.Count_;
    }
  }
  std::sort(QueueRatios_.begin(), QueueRatios_.end());
  if (!QueueRatios_.empty()) {
    Result_.QueueP99_ = QueueRatios_[QueueRatios_.size() * 99 / 100];
    Result_.QueueMax_ = QueueRatios_.back();
  }
  return std::move(Result_);
}

void PipelineModel::handle(const Event &Next) {
  switch (Next.Kind_) {
  case EventKind::Arrival:
    return onArrival();
  case EventKind::Step:
    return enqueue(Next.Index_, Next.Stage_);
  case EventKind::BatchEnd:
    return endBatch(Next.Index_);
  case EventKind::Token:
    return onToken(Next.Index_);
  case EventKind::Report:
    return report(Next.Index_);
  case EventKind::ReportReceived: {
    Engine &Each = Engines_[Next.Index_];
    Endpoint Update = Each.Endpoint_;
    Update.Load_ = Each.PendingReport_;
    Update.LoadSequence_ = ++Each.Endpoint_.LoadSequence_;
    Table_.apply(Update, Now_);
    return;
  }
  case EventKind::Tick:
    processQueue(Next.Index_);
    schedule(Now_ + TickInterval, EventKind::Tick, Next.Index_);
    return;
  }
}

void PipelineModel::onArrival() {
  schedule(Now_ + toDuration(std::exponential_distribution<double>(Rate_)(Random_)),
           EventKind::Arrival, 0);
  const std::uint32_t Index = NextSequence_++;
  Sequence Fresh;
  Fresh.Router_ = static_cast<std::uint32_t>(Random_() % Pipeline_.Routers_);
  Fresh.Customer_ = PickCustomer_(Random_);
  Fresh.ArrivedAt_ = Now_;
  const CustomerMix &Mix = Pipeline_.Customers_[Fresh.Customer_];
  Router &At = Routers_[Fresh.Router_];
  const AdmissionRequest Request{Mix.Customer_,
                                 Pool,
                                 Mix.Priority_,
                                 static_cast<double>(Pipeline_.NewTokens_),
                                 static_cast<double>(Pipeline_.NewTokens_),
                                 Now_ + Pipeline_.Deadline_};
  const AdmissionDecision Decision = At.Admission_->submit(Request, Now_);
  Arrived_ += isMeasured(Now_) ? 1 : 0;
  if (Decision.State_ == AdmissionState::Refused) {
    Refused_ += isMeasured(Now_) ? 1 : 0;
    return;
  }
  Fresh.Ticket_ = Decision.Ticket_;
  Sequences_.emplace(Index, std::move(Fresh));
  if (Decision.State_ == AdmissionState::Admitted)
    admit(Index);
  else
    At.Queued_[Decision.Ticket_] = Index;
}

void PipelineModel::processQueue(std::uint32_t Index) {
  Router &At = Routers_[Index];
  const QueueUpdate Ready = At.Admission_->processQueues(Now_);
  for (const DroppedRequest &Gone : Ready.Dropped_) {
    Refused_ += isMeasured(Now_) ? 1 : 0;
    Sequences_.erase(At.Queued_.at(Gone.Ticket_));
    At.Queued_.erase(Gone.Ticket_);
  }
  for (const AdmissionTicket Ticket : Ready.Admitted_) {
    const std::uint32_t Started = At.Queued_.at(Ticket);
    At.Queued_.erase(Ticket);
    admit(Started);
  }
}

void PipelineModel::admit(std::uint32_t Index) {
  Sequence &Each = Sequences_.at(Index);
  Router &At = Routers_[Each.Router_];
  const auto Chain = At.Planner_->plan(
      {Pipeline_.Model_, {Pipeline_.PromptTokens_, Pipeline_.NewTokens_}, {}, {}});
  for (const ChainStage &Stage : Chain->Stages_) {
    const std::uint32_t EngineNumber = EngineIndex_.at(Stage.Endpoint_);
    At.Load_.onSequenceStarted(*Table_.find(Stage.Endpoint_));
    ++Engines_[EngineNumber].Sequences_;
    Each.Chain_.push_back(EngineNumber);
  }
  schedule(Now_ + Pipeline_.RouterDelay_, EventKind::Step, Index, 0);
}

void PipelineModel::enqueue(std::uint32_t Index, std::uint32_t Stage) {
  const std::uint32_t EngineNumber = Sequences_.at(Index).Chain_[Stage];
  Engines_[EngineNumber].Waiting_.push_back({Index, Stage});
  if (Engines_[EngineNumber].Batch_.empty())
    startBatch(EngineNumber);
}

void PipelineModel::startBatch(std::uint32_t Index) {
  Engine &Here = Engines_[Index];
  const LoadReport &Speed = Here.Endpoint_.Load_;
  Duration Time = Speed.StepTime_;
  while (!Here.Waiting_.empty() && Here.Batch_.size() < Speed.BatchSlots_) {
    const WaitingStep Next = Here.Waiting_.front();
    Here.Waiting_.pop_front();
    if (Sequences_.at(Next.Sequence_).Tokens_ == 0)
      Time += Speed.PrefillTime_ * Pipeline_.PromptTokens_;
    Here.Batch_.push_back(Next);
  }
  if (isMeasured(Now_) && Order_ % 16 == 0)
    QueueRatios_.push_back(static_cast<double>(Here.Waiting_.size()) / Speed.BatchSlots_);
  if (isMeasured(Now_)) {
    Here.Busy_ += Time;
    Here.Steps_ += Here.Batch_.size();
    ++Here.Batches_;
    Here.LeftWaiting_ += Here.Waiting_.size();
  }
  schedule(Now_ + Time, EventKind::BatchEnd, Index);
}

void PipelineModel::endBatch(std::uint32_t Index) {
  Engine &Here = Engines_[Index];
  for (const WaitingStep &Done : std::exchange(Here.Batch_, {}))
    sendToNextStage(Here, Done);
  if (!Here.Waiting_.empty())
    startBatch(Index);
}

void PipelineModel::sendToNextStage(Engine &From, const WaitingStep &Done) {
  const Sequence &Each = Sequences_.at(Done.Sequence_);
  if (Done.Stage_ + 1 == Each.Chain_.size())
    return schedule(Now_ + Pipeline_.RouterDelay_, EventKind::Token, Done.Sequence_);
  // The engine notifies the router of its output, and the router tells the next stage, which then
  // fetches the tensor.
  const LoadReport &Link = From.Endpoint_.Load_;
  const std::uint32_t Tokens = Each.Tokens_ == 0 ? Pipeline_.PromptTokens_ : 1;
  const TimePoint Asked = Now_ + 2 * Pipeline_.RouterDelay_;
  From.LinkFreeAt_ = std::max(From.LinkFreeAt_, Asked) +
                     toDuration(static_cast<double>(Pipeline_.Model_.ActivationBytes_) * Tokens /
                                Link.LinkBytesPerSecond_);
  schedule(From.LinkFreeAt_ + Link.LinkDelay_, EventKind::Step, Done.Sequence_, Done.Stage_ + 1);
}

void PipelineModel::onToken(std::uint32_t Index) {
  Sequence &Each = Sequences_.at(Index);
  ++Each.Tokens_;
  if (isMeasured(Each.ArrivedAt_)) {
    if (Each.Tokens_ > 1)
      Result_.BetweenTokens_.add(Now_ - Each.LastToken_);
    else
      Result_.FirstToken_.add(Now_ - Each.ArrivedAt_);
    if (Each.Tokens_ == 1 && Pipeline_.Customers_[Each.Customer_].Priority_ == HighestPriority_)
      Result_.FirstTokenHigh_.add(Now_ - Each.ArrivedAt_);
  }
  Each.LastToken_ = Now_;
  if (Each.Tokens_ >= Pipeline_.NewTokens_)
    return finish(Index);
  schedule(Now_ + Pipeline_.RouterDelay_, EventKind::Step, Index, 0);
}

void PipelineModel::finish(std::uint32_t Index) {
  const Sequence Each = std::move(Sequences_.at(Index));
  Sequences_.erase(Index);
  Router &At = Routers_[Each.Router_];
  for (const std::uint32_t EngineNumber : Each.Chain_) {
    At.Load_.onSequenceEnded(Engines_[EngineNumber].Endpoint_.Id_);
    --Engines_[EngineNumber].Sequences_;
  }
  const bool InTime = Now_ - Each.ArrivedAt_ <= Pipeline_.Deadline_;
  const auto Second =
      static_cast<std::size_t>(std::chrono::duration<double>(Now_ - Begin_).count());
  if (Result_.CompletedPerSecond_.size() <= Second)
    Result_.CompletedPerSecond_.resize(Second + 1);
  ++Result_.CompletedPerSecond_[Second];
  if (isMeasured(Now_)) {
    ++Completed_;
    Good_ += InTime ? 1 : 0;
    GoodByCustomer_[Each.Customer_] += InTime ? 1 : 0;
    Result_.TotalTime_.add(Now_ - Each.ArrivedAt_);
  }
  At.Admission_->finish(
      Each.Ticket_,
      {InTime ? AdmissionOutcome::Result::Succeeded : AdmissionOutcome::Result::Overloaded,
       static_cast<double>(Pipeline_.NewTokens_), static_cast<double>(Pipeline_.NewTokens_)},
      Now_);
  processQueue(Each.Router_);
}

void PipelineModel::report(std::uint32_t Index) {
  Engine &Each = Engines_[Index];
  Each.PendingReport_ = Each.Endpoint_.Load_;
  Each.PendingReport_.Active_ = Each.Sequences_;
  Each.PendingReport_.Queued_ = static_cast<std::uint32_t>(Each.Waiting_.size());
  schedule(Now_ + std::min(Pipeline_.ReportLag_, Pipeline_.ReportInterval_),
           EventKind::ReportReceived, Index);
  schedule(Now_ + Pipeline_.ReportInterval_, EventKind::Report, Index);
}

} // namespace rattancart
