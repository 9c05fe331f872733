#pragma once

#include "Core/Pipeline/ModelRequestEvents.h"
#include "Core/Pipeline/TokenSequence.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace rattancart {

struct ModelRequestOptions {
  std::uint32_t MaxAttempts_ = 4;
  /// Sends of one step to one stage before the endpoint is suspected.
  std::uint32_t MaxStepTries_ = 2;
  /// Plannings without a chain, once tokens may have been handed out, before the request fails.
  std::uint32_t MaxPlanTries_ = 8;
  /// Wait before the second planning; doubles each time.
  Duration PlanRetryDelay_ = std::chrono::milliseconds(50);
  /// The answer ends after this many tokens even without an end mark.
  std::uint32_t MaxTokens_ = 256;
};

/// The life of one model request: a state machine without I/O.
///
/// Each attempt drives the sequence through one chain. An attempt whose stage fails is cancelled at
/// all its stages; the next one runs the prompt and the tokens already produced on a new chain and
/// goes on behind them, so that no token is produced twice. An answer whose request, attempt,
/// position or stage is not that of the step under way is dropped and counted.
/// Not thread-safe.
class ModelRequest {
public:
  /// Precondition: Prompt has at least one token.
  ModelRequest(RequestId Id, TokenSequence Prompt, ModelRequestOptions Options);
  ~ModelRequest();
  ModelRequest(ModelRequest &&) noexcept;
  ModelRequest &operator=(ModelRequest &&) noexcept;

  /// Starts the request. Precondition: called once, before handle.
  std::vector<ModelEffect> start();
  /// Takes one event; the effects are to be carried out in their order. Events that do not fit the
  /// state, as after the end, have no effect.
  std::vector<ModelEffect> handle(const ModelEvent &Event);

  /// Whether the request finished, failed or was cancelled.
  bool isOver() const;
  /// The state's name, for the state dump.
  std::string_view stateName() const;
  /// The prompt followed by the tokens produced so far.
  const TokenSequence &tokens() const;
  std::uint32_t promptTokens() const;
  /// Tokens produced so far.
  std::uint32_t producedTokens() const;
  AttemptNumber attempt() const;
  /// The step under way, if a chain is planned.
  const StepCall &currentCall() const;
  const Chain &chain() const;
  /// Answers that were dropped because they belong to another step.
  std::uint64_t staleSteps() const;
  /// The bytes that the request holds on the heap, apart from the allocator's own.
  std::size_t heapBytes() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace rattancart
