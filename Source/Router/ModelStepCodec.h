#pragma once

#include "Core/Common/Result.h"
#include "Core/Pipeline/ModelRequestEvents.h"
#include "Core/Pipeline/TokenSequence.h"
#include "Core/Settings/SettingsView.h"
#include "Net/HttpClient.h"

#include <string>

/// Converts between the engine protocol of docs/PROTOCOLS.md and the types of the core.
namespace rattancart {

/// The values that are the same in all steps of one request.
struct StepContext {
  RequestId Request_;
  ModelId Model_;
  ModelVersion Version_;
  std::uint32_t LayerCount_ = 0;
  PriorityClass Priority_{0};
  /// Identifies the beginning of the prompt in the engines' prefix caches.
  std::string Prefix_;
  /// The number of tokens that the prefix covers.
  std::uint32_t PrefixTokens_ = 0;
};

/// The HTTP request of one step. The first stage gets its input from Tokens. Thread-safe.
HttpRequest encodeStep(const StepContext &Context, const SendStep &Step,
                       const TokenSequence &Tokens);
/// The HTTP request that makes an engine drop an attempt. Thread-safe.
HttpRequest encodeCancel(const RequestId &Request, AttemptNumber Attempt);
/// Decodes a 200 answer to a step. Errors: MalformedResponse. Thread-safe.
Result<StepOutput> decodeStepOutput(const std::string &Body);
/// Classifies why a step failed. Precondition: the exchange failed or its status is not 200.
/// Thread-safe.
StepFault classifyStepFault(const HttpResult &Exchange);

} // namespace rattancart
