#pragma once

#include "History/Event.h"

#include <string>
#include <string_view>
#include <system_error>

namespace rattancart::history {

/// Adds events, one JSON object per line, to a history. Skips empty lines. Of an
/// event of an unknown kind, keeps only the text.
/// Errors: MalformedBody, with the line's number in Detail. Not thread-safe.
std::error_code readLines(std::string_view Text, History &Into, std::string &Detail);

} // namespace rattancart::history
