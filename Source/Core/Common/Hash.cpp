#include "Core/Common/Hash.h"

#include <xxhash.h>

#include <algorithm>
#include <numeric>

namespace rattancart {

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

std::vector<std::size_t> rendezvousOrder(std::string_view Key, std::span<const std::string> Nodes,
                                         std::size_t Count) {
  const std::uint64_t KeyHash = stableHash(Key);
  std::vector<std::uint64_t> Weights;
  Weights.reserve(Nodes.size());
  for (const std::string &Node : Nodes)
    Weights.push_back(stableHash(Node, KeyHash));

  std::vector<std::size_t> Order(Nodes.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  const std::size_t Kept = std::min(Count, Order.size());
  std::partial_sort(Order.begin(), Order.begin() + static_cast<std::ptrdiff_t>(Kept), Order.end(),
                    [&](std::size_t A, std::size_t B) {
                      return Weights[A] != Weights[B] ? Weights[A] > Weights[B]
                                                      : Nodes[A] < Nodes[B];
                    });
  Order.resize(Kept);
  return Order;
}

} // namespace rattancart
