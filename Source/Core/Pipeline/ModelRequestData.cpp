#include "Core/Pipeline/ModelRequestData.h"

#include "Core/Common/ErrorCode.h"

#include <algorithm>
#include <utility>

namespace rattancart {

ModelRequestData::ModelRequestData(RequestId Id, TokenSequence Prompt, ModelRequestOptions Options)
    : Id_(std::move(Id)), Options_(Options), Tokens_(std::move(Prompt)),
      PromptTokens_(Tokens_.size()) {}

bool ModelRequestData::matches(const StepAnswered &Event) const {
  const StepOutput &Output = Event.Output_;
  if (Output.Request_ != Id_ || Output.Attempt_ != Call_.Attempt_ ||
      Output.Position_ != Call_.Position_ || Output.Count_ != Call_.Count_)
    return false;
  if (Chain_.Stages_.empty() || Output.Engine_ != stage().Endpoint_)
    return false;
  return isLastStage() ? Output.Token_.has_value() : Output.Tensor_.has_value();
}

bool ModelRequestData::endsAnswer(const StepAnswered &Event) const {
  if (!Event.Output_.Token_)
    return false;
  const std::uint32_t Produced = Tokens_.size() - PromptTokens_ + 1;
  return Event.Output_.Token_->End_ || Produced >= Options_.MaxTokens_;
}

bool ModelRequestData::mayResend(StepFault Fault) const {
  const bool MayBeConnection = Fault == StepFault::Connection || Fault == StepFault::Silent ||
                               Fault == StepFault::EngineError;
  return MayBeConnection && Call_.Try_ < Options_.MaxStepTries_;
}

bool ModelRequestData::mayRetryPlanning() const {
  // If the first search finds no chain, the request fails at once: the caller can send it
  // elsewhere.
  return Call_.Attempt_.value() > 0 && PlanTries_ < Options_.MaxPlanTries_;
}

bool ModelRequestData::uses(const EndpointId &Endpoint) const {
  return std::any_of(Chain_.Stages_.begin(), Chain_.Stages_.end(),
                     [&](const ChainStage &Stage) { return Stage.Endpoint_ == Endpoint; });
}

void ModelRequestData::plan() {
  PlanTries_ = 1;
  Effects_.push_back(PlanChain{Excluded_, Duration::zero()});
}

void ModelRequestData::retryPlanning() {
  // Without the excluded endpoints there is no chain, so they are allowed again.
  Excluded_.clear();
  const Duration Delay = Options_.PlanRetryDelay_ * (1U << std::min(PlanTries_ - 1, 10U));
  ++PlanTries_;
  Effects_.push_back(PlanChain{Excluded_, Delay});
}

void ModelRequestData::beginAttempt(const Chain &Planned) {
  Chain_ = Planned;
  Call_ = {Call_.Attempt_.next(), TokenPosition(0), Tokens_.size(), 0, 1};
  Input_.reset();
  send(false);
}

void ModelRequestData::sendNextStage(const TensorRef &Input) {
  Input_ = Input;
  ++Call_.Stage_;
  Call_.Try_ = 1;
  send(false);
}

void ModelRequestData::deliver(const GeneratedToken &Token) {
  Effects_.push_back(DeliverToken{Tokens_.size() - PromptTokens_, Token.Text_});
  Tokens_.append(Token.Text_);
}

void ModelRequestData::sendNextToken() {
  Call_ = {Call_.Attempt_, TokenPosition(Tokens_.size() - 1), 1, 0, 1};
  Input_.reset();
  send(false);
}

void ModelRequestData::resend() {
  Effects_.push_back(RetryConnection{stage().Endpoint_});
  ++Call_.Try_;
  send(true);
}

void ModelRequestData::send(bool Fresh) {
  Effects_.push_back(SendStep{Call_, stage(), Input_, Fresh, Call_.Position_.value() == 0});
}

void ModelRequestData::abandonAttempt(const StepFailed &Event) {
  // An engine that lost the sequence can take a new attempt. All other engines at fault are
  // excluded from the next chain.
  if (Event.Fault_ != StepFault::SequenceLost) {
    const bool PreviousAtFault = Event.Fault_ == StepFault::InputLost && Call_.Stage_ > 0;
    const std::uint32_t AtFault = PreviousAtFault ? Call_.Stage_ - 1 : Call_.Stage_;
    Excluded_.push_back(Chain_.Stages_[AtFault].Endpoint_);
    if (Event.Fault_ != StepFault::Refused)
      Effects_.push_back(SuspectEndpoint{Excluded_.back()});
  }
  cancelAttempt();
}

void ModelRequestData::abandonAttempt(const EndpointId &Lost) {
  Excluded_.push_back(Lost);
  cancelAttempt();
}

void ModelRequestData::cancelAttempt() {
  if (!Chain_.Stages_.empty())
    Effects_.push_back(CancelAttempt{Call_.Attempt_, std::move(Chain_.Stages_)});
  Chain_.Stages_.clear();
  Input_.reset();
}

void ModelRequestData::fail(std::error_code Error) {
  cancelAttempt();
  Effects_.push_back(FailRequest{Error});
}

void ModelRequestData::finish() {
  // The stages keep the KV cache of the sequence until they are told to drop it.
  cancelAttempt();
  Effects_.push_back(FinishAnswer{});
}

} // namespace rattancart
