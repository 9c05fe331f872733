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
  /// How often a step is sent to a stage before the endpoint is suspected.
  std::uint32_t MaxStepTries_ = 2;
  /// How often a chain is searched for a later attempt before the request fails. A first attempt
  /// without a chain fails at once.
  std::uint32_t MaxPlanTries_ = 8;
  /// The delay before the second search for a chain; doubles each time.
  Duration PlanRetryDelay_ = std::chrono::milliseconds(50);
  /// The answer ends after this many tokens even if the engine did not end it.
  std::uint32_t MaxTokens_ = 256;
};

/// The state machine of one model request, without I/O.
///
/// Each attempt runs the sequence on one chain. If a stage fails, the attempt is cancelled at all
/// its stages. The next attempt runs the prompt and the tokens already produced on a new chain and
/// continues after them, so that no token is produced twice. An answer whose request, attempt,
/// position or stage is not that of the current step is discarded and counted.
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
  /// Takes one event. The effects must be carried out in order. Events that don't fit the state,
  /// for example after the end, have no effect.
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
  /// The current step; meaningful only while chain() has stages.
  const StepCall &currentCall() const;
  /// The chain of the current attempt; without stages if there is none.
  const Chain &chain() const;
  /// The number of answers that were discarded because they belong to another step.
  std::uint64_t staleSteps() const;
  /// The bytes that the request uses on the heap, without the allocator's overhead.
  std::size_t heapBytes() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace rattancart
