#include "Router/ModelSession.h"

#include "Core/Common/ErrorCode.h"
#include "Core/Common/Hash.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

constexpr Duration CancelTimeout = std::chrono::seconds(1);

ModelRequestOptions requestOptions(ModelRequestOptions Options, const ModelSpec &Spec) {
  Options.MaxTokens_ = Spec.MaxTokens_;
  return Options;
}

std::string prefixHash(const TokenSequence &Prompt, std::uint32_t Count) {
  std::string Text;
  for (std::uint32_t Index = 0; Index < std::min(Count, Prompt.size()); ++Index) {
    Text.append(Prompt.at(Index));
    Text.push_back(' ');
  }
  return std::to_string(stableHash(Text));
}

std::uint32_t statusFor(std::error_code Error) {
  if (Error == ErrorCode::DeadlineExceeded)
    return 504;
  return Error == ErrorCode::NoChain ? 503 : 502;
}

std::string answerText(const ModelRequest &Machine) {
  std::string Text;
  for (std::uint32_t Index = Machine.promptTokens(); Index < Machine.tokens().size(); ++Index) {
    if (!Text.empty())
      Text.push_back(' ');
    Text.append(Machine.tokens().at(Index));
  }
  return Text;
}

} // namespace

ModelSession::ModelSession(ModelHandlerContext &Shared, RoutedRequest Request, TokenSequence Prompt,
                           const ModelSpec &Spec)
    : Shared_(Shared), Request_(std::move(Request)),
      Spec_(Spec), Context_{Request_.Id_,
                            Spec.Model_,
                            Spec.Version_,
                            Spec.LayerCount_,
                            Request_.Route_->Priority_,
                            prefixHash(Prompt, Shared.Options_.PrefixTokens_),
                            std::min(Prompt.size(), Shared.Options_.PrefixTokens_)},
      Machine_(Request_.Id_, std::move(Prompt), requestOptions(Shared.Options_.Request_, Spec)),
      DeadlineTimer_(Shared.Services_.Loop_), PlanTimer_(Shared.Services_.Loop_) {
  // The state machine has the prompt as tokens, so the request's body is freed.
  Request_.Http_ = {};
}

void ModelSession::start(std::function<void()> OnOver) {
  OnOver_ = std::move(OnOver);
  const std::weak_ptr<ModelSession> Weak = weak_from_this();
  Request_.Responder_->onClosed([Weak] {
    if (const auto Self = Weak.lock()) {
      Self->Shared_.Services_.Log_.log(LogEvent::CallerGone,
                                       {{"request", Self->Request_.Id_.str()}});
      Self->dispatch(CallerGone{});
    }
  });
  const Duration Left = Request_.Deadline_ - Shared_.Services_.Clock_.now();
  DeadlineTimer_.after(std::max(Left, Duration::zero()), [Weak] {
    if (const auto Self = Weak.lock())
      Self->dispatch(DeadlinePassed{});
  });
  const auto KeepAlive = shared_from_this();
  Dispatching_ = true;
  performEffects(Machine_.start());
  handlePendingEvents();
}

void ModelSession::dispatch(ModelEvent Event) {
  PendingEvents_.push_back(std::move(Event));
  if (Dispatching_)
    return;
  const auto KeepAlive = shared_from_this();
  Dispatching_ = true;
  handlePendingEvents();
}

void ModelSession::handlePendingEvents() {
  while (!PendingEvents_.empty()) {
    const ModelEvent Next = std::move(PendingEvents_.front());
    PendingEvents_.pop_front();
    const std::uint64_t StaleBefore = Machine_.staleSteps();
    performEffects(Machine_.handle(Next));
    recordStaleSteps(StaleBefore);
  }
  Dispatching_ = false;
  if (Machine_.isOver())
    finish();
}

void ModelSession::recordStaleSteps(std::uint64_t Before) {
  if (Machine_.staleSteps() == Before)
    return;
  Shared_.Stats_.StaleSteps_ += Machine_.staleSteps() - Before;
  Shared_.Services_.Log_.log(
      LogEvent::StaleAnswerDropped,
      {{"request", Request_.Id_.str()}, {"attempt", Machine_.attempt().value()}});
}

void ModelSession::performEffects(const std::vector<ModelEffect> &Effects) {
  for (const ModelEffect &Effect : Effects)
    std::visit([this](const auto &Concrete) { perform(Concrete); }, Effect);
}

void ModelSession::perform(const PlanChain &Effect) {
  if (Effect.Delay_ <= Duration::zero())
    return planChain(Effect.Excluded_);
  PlanTimer_.after(Effect.Delay_, [Weak = weak_from_this(), Excluded = Effect.Excluded_] {
    if (const auto Self = Weak.lock())
      Self->planChain(Excluded);
  });
}

void ModelSession::planChain(const std::vector<EndpointId> &Excluded) {
  std::vector<EndpointId> Avoided = Shared_.Suspects_.current(Shared_.Services_.Clock_.now());
  Avoided.insert(Avoided.end(), Excluded.begin(), Excluded.end());
  const std::uint32_t Left =
      Spec_.MaxTokens_ - std::min(Machine_.producedTokens(), Spec_.MaxTokens_ - 1);
  PlanRequest Wanted{Spec_, {Machine_.tokens().size(), Left}, Context_.Prefix_, Avoided};
  auto Planned = Shared_.Planner_.plan(Wanted);
  if (!Planned && Avoided.size() > Excluded.size()) {
    // A chain with suspected engines is better than none.
    Wanted.Excluded_ = Excluded;
    Planned = Shared_.Planner_.plan(Wanted);
  }
  if (!Planned)
    return dispatch(ChainUnavailable{});
  ++Shared_.Stats_.Attempts_;
  for (const ChainStage &Stage : Planned->Stages_)
    if (const Endpoint *Engine = Shared_.Services_.Endpoints_.find(Stage.Endpoint_))
      Shared_.Load_.onSequenceStarted(*Engine);
  Shared_.Services_.Log_.log(LogEvent::AttemptStarted, {{"request", Request_.Id_.str()},
                                                        {"attempt", Machine_.attempt().value() + 1},
                                                        {"stages", Planned->Stages_.size()}});
  dispatch(ChainPlanned{std::move(*Planned)});
}

void ModelSession::perform(const SendStep &Effect) {
  HttpSendOptions Options;
  Options.Use_ = Effect.FreshConnection_ ? ConnectionUse::Fresh : ConnectionUse::Pooled;
  Options.ConnectTimeout_ = Shared_.Options_.ConnectTimeout_;
  Options.ResponseTimeout_ = Shared_.StepTimeouts_.timeout(Effect.Call_.Count_);
  if (Effect.NewWork_) {
    Options.BeforeSend_ = [&Endpoints = Shared_.Services_.Endpoints_, Stage = Effect.Stage_] {
      const Endpoint *Engine = Endpoints.find(Stage.Endpoint_);
      return Engine && Engine->Incarnation_ == Stage.Incarnation_ &&
             Endpoints.mayTakeWork(Stage.Endpoint_);
    };
  }
  ++Shared_.Stats_.Steps_;
  StepSent_ = true;
  if (Effect.Call_.Try_ == 1)
    StepStartedAt_ = Shared_.Services_.Clock_.now();
  HttpCall_ = Shared_.Services_.Client_.send(
      Effect.Stage_.Address_, encodeStep(Context_, Effect, Machine_.tokens()), std::move(Options),
      [Weak = weak_from_this(), Call = Effect.Call_](HttpResult Exchange) {
        if (const auto Self = Weak.lock())
          Self->onStepResult(Call, std::move(Exchange));
      });
}

void ModelSession::onStepResult(const StepCall &Call, HttpResult Exchange) {
  if (!(Call == Machine_.currentCall()))
    return;
  HttpCall_.reset();
  if (Exchange.Error_ || Exchange.Response_.Status_ != 200)
    return dispatch(StepFailed{Call, classifyStepFault(Exchange)});
  auto Output = decodeStepOutput(Exchange.Response_.Body_);
  if (!Output)
    return dispatch(StepFailed{Call, StepFault::Connection});
  Shared_.StepTimeouts_.record(Call.Count_, Shared_.Services_.Clock_.now() - StepStartedAt_);
  Shared_.Suspects_.remove(Output->Engine_);
  if (Call.Position_.value() == 0)
    Shared_.Prefixes_.recordUse(Machine_.chain().Stages_[Call.Stage_].Endpoint_, Context_.Prefix_);
  dispatch(StepAnswered{Call, std::move(*Output)});
}

void ModelSession::perform(const CancelAttempt &Effect) {
  if (HttpCall_)
    Shared_.Services_.Client_.cancel(*std::exchange(HttpCall_, std::nullopt));
  HttpSendOptions Options;
  Options.ConnectTimeout_ = Shared_.Options_.ConnectTimeout_;
  Options.ResponseTimeout_ = CancelTimeout;
  for (const ChainStage &Stage : Effect.Stages_) {
    Shared_.Load_.onSequenceEnded(Stage.Endpoint_);
    Shared_.Services_.Client_.send(Stage.Address_, encodeCancel(Request_.Id_, Effect.Attempt_),
                                   Options, [](const HttpResult &) {});
  }
}

void ModelSession::perform(const RetryConnection &Effect) {
  ++Shared_.Stats_.ConnectionRetries_;
  Shared_.Services_.Log_.log(LogEvent::StageSuspected, {{"request", Request_.Id_.str()},
                                                        {"endpoint", Effect.Endpoint_.str()}});
  // Idle connections to this engine may have gone silent together with the failed one.
  if (const Endpoint *Engine = Shared_.Services_.Endpoints_.find(Effect.Endpoint_))
    Shared_.Services_.Client_.closeIdle(Engine->Address_);
}

void ModelSession::perform(const SuspectEndpoint &Effect) {
  ++Shared_.Stats_.Suspicions_;
  Shared_.Suspects_.add(Effect.Endpoint_, Shared_.Services_.Clock_.now());
  Shared_.Services_.Log_.log(LogEvent::AttemptFailed, {{"request", Request_.Id_.str()},
                                                       {"attempt", Machine_.attempt().value()},
                                                       {"endpoint", Effect.Endpoint_.str()}});
}

void ModelSession::perform(const DeliverToken &Effect) {
  if (Request_.Route_->Delivery_ != Delivery::Stream)
    return;
  HttpResponder &Responder = *Request_.Responder_;
  if (!Streaming_) {
    Streaming_ = true;
    HttpResponse Head;
    Head.Headers_.add("Content-Type", "text/plain; charset=utf-8");
    // The caller may rely on this outcome only once it got the last chunk.
    Head.Headers_.add("x-rattancart-outcome", std::string(outcomeName(Outcome::Done)));
    Head.Headers_.add("x-rattancart-request", Request_.Id_.str());
    Responder.startChunked(std::move(Head));
  }
  Responder.sendChunk(Effect.Index_ == 0 ? Effect.Text_ : " " + Effect.Text_);
  if (Responder.queuedBytes() <= Shared_.Options_.MaxStreamBacklogBytes_)
    return;
  ++Shared_.Stats_.SlowReaders_;
  Responder.abort();
  dispatch(CallerGone{});
}

void ModelSession::perform(const FinishAnswer &) {
  ++Shared_.Stats_.Finished_;
  // The caller may have gone away or been disconnected for reading too slowly.
  if (!Request_.Responder_->isOpen())
    return;
  End_ = {200, Outcome::Done, 0};
  if (Streaming_)
    return Request_.Responder_->finishChunked();
  boost::json::object Body;
  Body["text"] = answerText(Machine_);
  Body["tokens"] = Machine_.producedTokens();
  Body["model"] = Context_.Model_.str();
  Body["version"] = Context_.Version_.str();
  CallerAnswer Answer;
  Answer.Body_ = boost::json::serialize(Body);
  sendAnswer(*Request_.Responder_, Request_.Id_, Answer);
}

void ModelSession::perform(const FailRequest &Effect) {
  ++Shared_.Stats_.Failed_;
  Shared_.Services_.Log_.log(LogEvent::BriefFailed, {{"request", Request_.Id_.str()},
                                                     {"error", Effect.Error_.value()},
                                                     {"attempts", Machine_.attempt().value()}});
  // The connection is aborted, since a cut answer must not look like a complete one.
  if (Streaming_)
    return Request_.Responder_->abort();
  CallerAnswer Answer;
  Answer.Status_ = statusFor(Effect.Error_);
  Answer.Outcome_ = StepSent_ ? Outcome::Unknown : Outcome::NotRun;
  Answer.Error_ = Effect.Error_;
  End_ = {Answer.Status_, Answer.Outcome_, 0};
  sendAnswer(*Request_.Responder_, Request_.Id_, Answer);
}

void ModelSession::checkEndpoints() {
  std::vector<EndpointId> Lost;
  for (const ChainStage &Stage : Machine_.chain().Stages_) {
    const Endpoint *Engine = Shared_.Services_.Endpoints_.find(Stage.Endpoint_);
    if (!Engine || Engine->State_ == EndpointState::Gone ||
        Engine->Incarnation_ != Stage.Incarnation_)
      Lost.push_back(Stage.Endpoint_);
  }
  // One lost endpoint is enough to end the attempt; the next plan leaves out the others too.
  if (Lost.empty())
    return;
  Shared_.Prefixes_.forget(Lost.front());
  dispatch(EndpointLost{Lost.front()});
}

void ModelSession::finish() {
  if (!OnOver_)
    return;
  if (Machine_.stateName() == "cancelled")
    ++Shared_.Stats_.Cancelled_;
  DeadlineTimer_.cancel();
  PlanTimer_.cancel();
  Shared_.Services_.Log_.log(LogEvent::RequestFinished, {{"request", Request_.Id_.str()},
                                                         {"state", Machine_.stateName()},
                                                         {"tokens", Machine_.producedTokens()}});
  End_.Tokens_ = Machine_.producedTokens();
  if (Request_.OnFinished_)
    Request_.OnFinished_(End_);
  std::exchange(OnOver_, nullptr)();
}

boost::json::object ModelSession::state() const {
  boost::json::object Dump;
  Dump["request"] = Request_.Id_.str();
  Dump["route"] = Request_.Route_->Id_.str();
  Dump["customer"] = Request_.Customer_.str();
  Dump["state"] = Machine_.stateName();
  Dump["attempt"] = Machine_.attempt().value();
  Dump["prompt_tokens"] = Machine_.promptTokens();
  Dump["produced_tokens"] = Machine_.producedTokens();
  Dump["position"] = Machine_.currentCall().Position_.value();
  Dump["stage"] = Machine_.currentCall().Stage_;
  Dump["step_try"] = Machine_.currentCall().Try_;
  Dump["stale_steps"] = Machine_.staleSteps();
  Dump["backlog_bytes"] = Request_.Responder_->queuedBytes();
  boost::json::array Stages;
  for (const ChainStage &Stage : Machine_.chain().Stages_)
    Stages.emplace_back(Stage.Endpoint_.str());
  Dump["chain"] = std::move(Stages);
  return Dump;
}

} // namespace rattancart
