#pragma once

#include "Core/Common/Result.h"
#include "Core/Pipeline/TokenSequence.h"
#include "Net/Http.h"

#include <cstddef>

namespace rattancart {

/// Reads the prompt of a model request: {"prompt":"text"}, or plain text if the content type says
/// so or the body does not begin with "{". The tokens are the words between white space.
/// Errors: MalformedBody if the prompt has no token or more than MaxTokens, or if it is not valid
/// JSON or UTF-8.
/// Thread-safe.
Result<TokenSequence> parsePrompt(const HttpRequest &Request, std::size_t MaxTokens);

} // namespace rattancart
