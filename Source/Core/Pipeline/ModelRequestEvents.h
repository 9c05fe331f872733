#pragma once

#include "Core/Common/Ids.h"
#include "Core/Routing/Chain.h"

#include <cstdint>
#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

/// The events that a model request takes and the effects that it asks for.
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

/// Where a stage keeps its output for the next one.
struct TensorRef {
  std::string Ref_;
  NetAddress Address_;
};

/// What the last stage made of a step.
struct GeneratedToken {
  std::string Text_;
  /// The answer ends with this token.
  bool End_ = false;
};

/// An engine's answer to a step, with what it says about itself.
struct StepOutput {
  RequestId Request_;
  AttemptNumber Attempt_{0};
  TokenPosition Position_{0};
  std::uint32_t Count_ = 0;
  EndpointId Engine_;
  /// Set by all stages but the last.
  std::optional<TensorRef> Tensor_;
  /// Set by the last stage.
  std::optional<GeneratedToken> Token_;
};

enum class StepFault : std::uint8_t {
  /// No connection could be opened.
  ConnectFailed,
  /// The connection was lost, or the answer can't be read.
  Connection,
  /// No answer in time.
  Silent,
  /// The engine answered with an error of its own.
  EngineError,
  /// The engine takes no new work, or is of another version.
  Refused,
  /// The engine could not get its input from the previous stage.
  InputLost,
  /// The engine does not know the sequence up to this position any more.
  SequenceLost,
};

// Events.

/// A chain was found; Chain_ covers all layers.
struct ChainPlanned {
  Chain Chain_;
};
/// No chain exists at the moment.
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
/// An endpoint is gone; a leaving one goes on with the sequences that it has.
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
/// Send a step to a stage. Its tokens are those of the request at the call's positions.
struct SendStep {
  StepCall Call_;
  ChainStage Stage_;
  /// The previous stage's output; none for the first stage.
  std::optional<TensorRef> Input_;
  /// Use a connection opened for this step.
  bool FreshConnection_ = false;
  /// The step begins a sequence at this stage: check that the endpoint may take new work when the
  /// step is sent.
  bool NewWork_ = false;
};
/// Drop the attempt at all these stages; also ends a step under way.
struct CancelAttempt {
  AttemptNumber Attempt_{0};
  std::vector<ChainStage> Stages_;
};
/// A connection to the endpoint failed and a new one is tried.
struct RetryConnection {
  EndpointId Endpoint_;
};
/// The endpoint failed on a new connection too; avoid it for a while.
struct SuspectEndpoint {
  EndpointId Endpoint_;
};
/// Hand the next token of the answer to the caller. Index_ counts from 0.
struct DeliverToken {
  std::uint32_t Index_ = 0;
  std::string Text_;
};
/// The answer is complete.
struct FinishAnswer {};
/// The request failed; nothing more is delivered.
struct FailRequest {
  std::error_code Error_;
};

using ModelEffect = std::variant<PlanChain, SendStep, CancelAttempt, RetryConnection,
                                 SuspectEndpoint, DeliverToken, FinishAnswer, FailRequest>;

} // namespace rattancart
