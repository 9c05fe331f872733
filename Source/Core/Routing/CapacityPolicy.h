#pragma once

#include "Core/Routing/ChainPolicy.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rattancart {

struct CapacityPolicyOptions {
  /// Chains that are drawn for one request; the one of the least expected time is taken.
  std::size_t Draws_ = 2;
  /// Routers that send to the same engines. Each sees only its own sends since the last report
  /// and takes the others' to be alike.
  double Routers_ = 1;
};

/// Draws chains in proportion to the maximum flow through the layer graph.
///
/// At saturation the flow is the only division that fills every engine; it does not depend on load
/// reports, so routers with the same stale report do not choose alike. Of few drawn chains the one
/// with the least expected time by the reports is taken.
/// Not thread-safe.
class CapacityPolicy final : public ChainPolicy {
public:
  explicit CapacityPolicy(CapacityPolicyOptions Options) : Options_(Options) {}

  std::vector<const Endpoint *> choose(const ChainQuery &Query, std::mt19937_64 &Random) override;
  void setRouterCount(std::size_t Count) override {
    Options_.Routers_ = static_cast<double>(Count);
  }

  /// Sequences at the engine by what it can batch, as part of all the stages of a chain; about 1
  /// when its batches just stay full.
  double fullness(const ChainQuery &Query, const Endpoint &Engine) const;
  /// The expected time of one token at the engine and over its link, in seconds.
  double cost(const ChainQuery &Query, const Endpoint &Engine) const;

private:
  void updateFlow(const ChainQuery &Query);
  std::vector<const Endpoint *> draw(const ChainQuery &Query, std::mt19937_64 &Random) const;

  CapacityPolicyOptions Options_;
  /// The flow of each group of the last graph, and the capacities that it was computed from.
  std::vector<double> Flow_;
  std::vector<double> Capacities_;
  std::vector<LayerRange> Ranges_;
};

/// Sequences of this size that an engine can serve a second with its batches full.
double engineCapacity(const ChainQuery &Query, const Endpoint &Engine);

} // namespace rattancart
