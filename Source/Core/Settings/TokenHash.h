#pragma once

#include <string>
#include <string_view>

namespace rattancart {

/// The hash under which an operator's token is stored: 122 bits of its SHA-1, written as a UUID.
/// The hash can't be reversed, but a short token can be guessed, so tokens should be random.
/// Thread-safe.
std::string tokenHash(std::string_view Token);
/// Whether Token has this hash. The comparison takes the same time wherever the two differ.
/// Thread-safe.
bool matchesTokenHash(std::string_view Token, std::string_view Hash);

} // namespace rattancart
