#pragma once

#include "Core/Pipeline/ModelRequest.h"

#include <vector>

namespace rattancart {

/// The data of a model request, and the guards and actions of its state machine. Used by that state
/// machine only. Not thread-safe.
class ModelRequestData {
public:
  ModelRequestData(RequestId Id, TokenSequence Prompt, ModelRequestOptions Options);

  // Guards.

  bool isCurrent(const StepCall &Call) const { return Call == Call_; }
  /// Whether the engine's answer belongs to the current step.
  bool matches(const StepAnswered &Event) const;
  /// Whether the engine's answer has the last token of the answer to the caller.
  bool endsAnswer(const StepAnswered &Event) const;
  bool isLastStage() const { return Call_.Stage_ + 1 == Chain_.Stages_.size(); }
  /// Whether the fault may be due to the connection, so that the step is sent again on a new one.
  bool mayResend(StepFault Fault) const;
  bool hasAttemptLeft() const { return Call_.Attempt_.value() < Options_.MaxAttempts_; }
  bool mayRetryPlanning() const;
  bool uses(const EndpointId &Endpoint) const;

  // Actions.

  void plan();
  /// Searches for a chain again after a delay.
  void retryPlanning();
  void beginAttempt(const Chain &Planned);
  void sendNextStage(const TensorRef &Input);
  void deliver(const GeneratedToken &Token);
  void sendNextToken();
  /// Sends the current step again on a new connection.
  void resend();
  /// Excludes the endpoint at fault and cancels the attempt.
  void abandonAttempt(const StepFailed &Event);
  void abandonAttempt(const EndpointId &Lost);
  void cancelAttempt();
  void fail(std::error_code Error);
  void finish();
  void countStale() { ++StaleSteps_; }

  RequestId Id_;
  ModelRequestOptions Options_;
  TokenSequence Tokens_;
  std::uint32_t PromptTokens_;
  Chain Chain_;
  StepCall Call_;
  std::optional<TensorRef> Input_;
  std::vector<EndpointId> Excluded_;
  std::uint32_t PlanTries_ = 0;
  std::uint64_t StaleSteps_ = 0;
  std::vector<ModelEffect> Effects_;

private:
  void send(bool Fresh);
  const ChainStage &stage() const { return Chain_.Stages_[Call_.Stage_]; }
};

} // namespace rattancart
