#include "Core/Routing/BaselinePolicies.h"

#include <algorithm>

namespace rattancart {

std::vector<const Endpoint *> StepwisePolicy::choose(const ChainQuery &Query,
                                                     std::mt19937_64 &Random) {
  std::vector<const Endpoint *> Chosen;
  std::vector<const Endpoint *> Engines;
  std::uint32_t Boundary = 0;
  while (Boundary < Query.Graph_.spec().LayerCount_) {
    Engines.clear();
    for (const LayerGroup &Group : Query.Graph_.groupsFrom(Boundary))
      Engines.insert(Engines.end(), Group.Engines_.begin(), Group.Engines_.end());
    Chosen.push_back(pick(Engines, Random));
    Boundary = Chosen.back()->Layers_.End_;
  }
  return Chosen;
}

const Endpoint *RandomPolicy::pick(const std::vector<const Endpoint *> &Engines,
                                   std::mt19937_64 &Random) {
  return Engines[std::uniform_int_distribution<std::size_t>(0, Engines.size() - 1)(Random)];
}

const Endpoint *RoundRobinPolicy::pick(const std::vector<const Endpoint *> &Engines,
                                       std::mt19937_64 &) {
  return Engines[Next_++ % Engines.size()];
}

const Endpoint *LeastLoadPolicy::pick(const std::vector<const Endpoint *> &Engines,
                                      std::mt19937_64 &) {
  return *std::min_element(Engines.begin(), Engines.end(), [](const auto *Left, const auto *Right) {
    return Left->Load_.Active_ + Left->Load_.Queued_ < Right->Load_.Active_ + Right->Load_.Queued_;
  });
}

} // namespace rattancart
