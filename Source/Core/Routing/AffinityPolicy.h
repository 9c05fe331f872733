#pragma once

#include "Core/Routing/CapacityPolicy.h"
#include "Core/Routing/PrefixIndex.h"

#include <span>

namespace rattancart {

struct AffinityPolicyOptions {
  CapacityPolicyOptions Capacity_;
  /// An engine that holds the prefix is preferred as long as it is at most this much fuller than
  /// the mean of the engines with the same layers. Zero: no affinity.
  double MaxUtilizationRatio_ = 2;
  /// Fullness that is always allowed, so that engines with little to do keep their prefixes.
  double AllowedFullness_ = 0.3;
  /// Holders that are less certain are not preferred.
  double MinConfidence_ = 0.3;
};

/// Chooses as CapacityPolicy does, and then exchanges each engine for one with the same layers that
/// is believed to hold the prompt's prefix, unless that one is too full already. A prefix that is
/// asked for more than its holders can bear thereby spreads to more engines.
/// Not thread-safe.
class AffinityPolicy final : public ChainPolicy {
public:
  /// Precondition: Index outlives the policy.
  AffinityPolicy(AffinityPolicyOptions Options, const PrefixIndex &Index)
      : Options_(Options), Capacity_(Options.Capacity_), Index_(Index) {}

  std::vector<const Endpoint *> choose(const ChainQuery &Query, std::mt19937_64 &Random) override;
  void setRouterCount(std::size_t Count) override { Capacity_.setRouterCount(Count); }

private:
  const Endpoint *preferred(const ChainQuery &Query, const LayerGroup &Group,
                            std::span<const PrefixHolder> Holders) const;
  double meanFullness(const ChainQuery &Query, const LayerGroup &Group) const;

  AffinityPolicyOptions Options_;
  CapacityPolicy Capacity_;
  const PrefixIndex &Index_;
};

} // namespace rattancart
