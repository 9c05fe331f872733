#pragma once

#include "Core/Common/Result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace rattancart {

/// Compresses Text, with Base as a dictionary: what Text and Base have in common takes almost no
/// bytes. The result is a Zstandard frame. Thread-safe. Errors: PatchFailed.
Result<std::string> compressWith(std::string_view Base, std::string_view Text);

/// Restores a text of at most MaxBytes that compressWith() compressed with the same Base.
/// Thread-safe. Errors: PatchFailed if the frame is damaged, needs another base or is too large.
Result<std::string> restoreWith(std::string_view Base, std::string_view Frame,
                                std::size_t MaxBytes);

} // namespace rattancart
