#pragma once

#include "Core/Common/Ids.h"
#include "Core/Routing/Chain.h"

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

/// The events that the state machine of a model request takes and the effects that it asks for.
namespace rattancart {

/// One step as it was sent to a stage: the tokens [Position_, Position_ + Count_).
struct StepCall {
  AttemptNumber Attempt_{0};
  TokenPosition Position_{0};
  std::uint32_t Count_ = 0;
  /// Index into the chain.
  std::uint32_t Stage_ = 0;
  /// Counts the sends of this step, from 1.
  std::uint32_t Try_ = 1;
  bool operator==(const StepCall &) const = default;
};

/// Where a stage keeps its output, for the next stage to fetch.
struct TensorRef {
  std::string Ref_;
  NetAddress Address_;
};

/// The result of a step at the last stage.
struct GeneratedToken {
  std::string Text_;
  /// Whether this is the last token of the answer.
  bool End_ = false;
};

/// An engine's answer to a step. It names the step and the engine, so that an answer that belongs
/// to another step can be recognised.
struct StepOutput {
  RequestId Request_;
  AttemptNumber Attempt_{0};
  TokenPosition Position_{0};
  std::uint32_t Count_ = 0;
  EndpointId Engine_;
  /// Set unless it is the last stage.
  std::optional<TensorRef> Tensor_;
  /// Set only if it is the last stage.
  std::optional<GeneratedToken> Token_;
};

enum class StepFault : std::uint8_t {
  /// No connection could be opened.
  ConnectFailed,
  /// The connection was lost, or the answer could not be decoded.
  Connection,
  /// No answer arrived before the step's timeout.
  Silent,
  /// The engine answered with an internal error.
  EngineError,
  /// The engine takes no new work, or runs another model version.
  Refused,
  /// The engine could not fetch its input from the previous stage.
  InputLost,
  /// The engine no longer has the sequence up to this position.
  SequenceLost,
};

// Events.

/// A chain was found; Chain_ covers all layers.
struct ChainPlanned {
  Chain Chain_;
};
/// No chain was found.
struct ChainUnavailable {};
/// An answer to the step Call_ arrived.
struct StepAnswered {
  StepCall Call_;
  StepOutput Output_;
};
struct StepFailed {
  StepCall Call_;
  StepFault Fault_ = StepFault::Connection;
};
/// An endpoint is gone. Not sent for an endpoint that is leaving: it continues the sequences that
/// it has.
struct EndpointLost {
  EndpointId Endpoint_;
};
struct CallerGone {};
struct DeadlinePassed {};

using ModelEvent = std::variant<ChainPlanned, ChainUnavailable, StepAnswered, StepFailed,
                                EndpointLost, CallerGone, DeadlinePassed>;

// Effects.

/// Ask for a chain without the excluded endpoints, after the delay.
struct PlanChain {
  std::vector<EndpointId> Excluded_;
  Duration Delay_{};
};
/// Send a step to a stage. The tokens are those of ModelRequest::tokens() at the positions of
/// Call_.
struct SendStep {
  StepCall Call_;
  ChainStage Stage_;
  /// The previous stage's output; not set for the first stage.
  std::optional<TensorRef> Input_;
  /// Open a new connection for this step.
  bool FreshConnection_ = false;
  /// The step begins a sequence at this stage, so the sender must check that the endpoint may take
  /// new work.
  bool NewWork_ = false;
};
/// Tell all these stages to drop the attempt, and cancel its current step.
struct CancelAttempt {
  AttemptNumber Attempt_{0};
  std::vector<ChainStage> Stages_;
};
/// A step failed, perhaps because of its connection to the endpoint. The SendStep that follows
/// repeats it on a new connection.
struct RetryConnection {
  EndpointId Endpoint_;
};
/// The endpoint failed, after a retry on a new connection where one was allowed. Avoid it for a
/// while.
struct SuspectEndpoint {
  EndpointId Endpoint_;
};
/// Send the next token of the answer to the caller. Index_ counts the answer's tokens from 0.
struct DeliverToken {
  std::uint32_t Index_ = 0;
  std::string Text_;
};
/// The answer is complete.
struct FinishAnswer {};
/// The request failed; no more tokens follow.
struct FailRequest {
  std::error_code Error_;
};

using ModelEffect = std::variant<PlanChain, SendStep, CancelAttempt, RetryConnection,
                                 SuspectEndpoint, DeliverToken, FinishAnswer, FailRequest>;

} // namespace rattancart
