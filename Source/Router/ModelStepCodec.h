#pragma once

#include "Core/Common/Result.h"
#include "Core/Pipeline/ModelRequestEvents.h"
#include "Core/Pipeline/TokenSequence.h"
#include "Core/Settings/SettingsView.h"
#include "Net/HttpClient.h"

#include <string>

/// The engine protocol of docs/PROTOCOLS.md in the core's types.
namespace rattancart {

/// What all steps of one request have in common.
struct StepContext {
  RequestId Request_;
  ModelId Model_;
  ModelVersion Version_;
  std::uint32_t LayerCount_ = 0;
  PriorityClass Priority_{0};
  /// Names the beginning of the prompt in prefix caches.
  std::string Prefix_;
  /// The tokens that the prefix covers.
  std::uint32_t PrefixTokens_ = 0;
};

/// The request of one step. The first stage gets its tokens from Tokens. Thread-safe.
HttpRequest encodeStep(const StepContext &Context, const SendStep &Step,
                       const TokenSequence &Tokens);
/// The request that drops an attempt. Thread-safe.
HttpRequest encodeCancel(const RequestId &Request, AttemptNumber Attempt);
/// Decodes a 200 answer to a step. Errors: MalformedResponse. Thread-safe.
Result<StepOutput> decodeStepOutput(const std::string &Body);
/// What a failed exchange or an answer other than 200 says of a step. Precondition: it is one.
/// Thread-safe.
StepFault classifyStepFault(const HttpResult &Exchange);

} // namespace rattancart
