#pragma once

#include "History/Event.h"

#include <string>
#include <string_view>
#include <system_error>

namespace rattancart::history {

/// Adds JSON lines to a history. Empty lines and events of unknown kinds are passed over.
/// Errors: MalformedBody, with the line's number. Not thread-safe.
std::error_code readLines(std::string_view Text, History &Into, std::string &Detail);

} // namespace rattancart::history
