#pragma once

#include "Core/Common/Result.h"
#include "Core/Pipeline/TokenSequence.h"
#include "Net/Http.h"

#include <cstddef>

namespace rattancart {

/// Reads the prompt of a model request: {"prompt":"text"}, or plain text if the content type says
/// so or the body does not begin with "{". Words between white space are the tokens.
/// Errors: MalformedBody if it has no token, more than MaxTokens, or is not valid JSON or UTF-8.
/// Thread-safe.
Result<TokenSequence> parsePrompt(const HttpRequest &Request, std::size_t MaxTokens);

} // namespace rattancart
