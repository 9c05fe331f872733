#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Result.h"

#include <string>
#include <string_view>

namespace rattancart {

/// Parses a whole number with a unit: us, ms, s, m or h, for example "250ms".
/// Errors: BadDuration. Thread-safe.
Result<Duration> durationFromText(std::string_view Text);

} // namespace rattancart
