#pragma once

#include <string>
#include <string_view>

namespace rattancart {

/// The hash under which an operator's token is kept: 122 bits of its SHA-1, written as a UUID.
/// It can't be turned back, but a short token can be guessed; tokens are to be random.
/// Thread-safe.
std::string tokenHash(std::string_view Token);
/// Whether Token has the hash. Takes the same time wherever they differ. Thread-safe.
bool matchesTokenHash(std::string_view Token, std::string_view Hash);

} // namespace rattancart
