#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

/// A 64-bit hash that is the same on every machine and in every version. Thread-safe.
std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed = 0);

/// The indices of the Count nodes with the highest rendezvous weight for Key, best first.
/// Removing a node moves only the keys it held. Thread-safe.
std::vector<std::size_t> rendezvousOrder(std::string_view Key, std::span<const std::string> Nodes,
                                         std::size_t Count);

} // namespace rattancart
