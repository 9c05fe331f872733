#pragma once

#include "Core/Routing/CapacityPolicy.h"
#include "Core/Routing/PrefixIndex.h"

#include <span>

namespace rattancart {

struct AffinityPolicyOptions {
  CapacityPolicyOptions Capacity_;
  /// An engine that holds the prefix is preferred while its utilization is at most this many times
  /// the mean of the engines with the same layers. Zero turns affinity off.
  double MaxUtilizationRatio_ = 2;
  /// Up to this utilization a holder is always preferred, so that prefixes stay on engines while
  /// load is low.
  double AlwaysAllowedUtilization_ = 0.3;
  /// Holders with a lower confidence are not preferred.
  double MinConfidence_ = 0.3;
};

/// Chooses a chain with CapacityPolicy, and then replaces each engine by one with the same layers
/// that is believed to hold the prompt's prefix, unless the holder's utilization is too high. A
/// prefix that is requested more often than its holders can serve thereby spreads to more engines.
/// Not thread-safe.
class AffinityPolicy final : public ChainPolicy {
public:
  /// Precondition: Index outlives the policy.
  AffinityPolicy(AffinityPolicyOptions Options, const PrefixIndex &Index)
      : Options_(Options), Capacity_(Options.Capacity_), Index_(Index) {}

  std::vector<const Endpoint *> choose(const ChainQuery &Query, std::mt19937_64 &Random) override;
  void setRouterCount(std::size_t Count) override { Capacity_.setRouterCount(Count); }

private:
  /// The least utilized holder in the group, or null if there is none or its utilization is too
  /// high.
  const Endpoint *findPreferredHolder(const ChainQuery &Query, const LayerGroup &Group,
                                      std::span<const PrefixHolder> Holders) const;
  double meanUtilization(const ChainQuery &Query, const LayerGroup &Group) const;

  AffinityPolicyOptions Options_;
  CapacityPolicy Capacity_;
  const PrefixIndex &Index_;
};

} // namespace rattancart
