#pragma once

#include "Core/Routing/ChainPolicy.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace rattancart {

struct CapacityPolicyOptions {
  /// Chains that are drawn for one request; the one with the least expected time is chosen.
  std::size_t CandidateCount_ = 2;
  /// Routers that send to the same engines. Each knows only its own sends since the last load
  /// report, and assumes that the other routers sent as many.
  double RouterCount_ = 1;
};

/// Draws chains at random in proportion to the maximum flow through the layer graph.
///
/// At saturation only a division by the maximum flow uses the capacity of every engine. The flow
/// does not depend on the load in the reports, so routers with the same stale report don't all
/// choose the same engines. Of the few chains drawn, the one with the least expected time by the
/// load reports is chosen. Not thread-safe.
class CapacityPolicy final : public ChainPolicy {
public:
  explicit CapacityPolicy(CapacityPolicyOptions Options) : Options_(Options) {}

  std::vector<const Endpoint *> choose(const ChainQuery &Query, std::mt19937_64 &Random) override;
  void setRouterCount(std::size_t Count) override {
    Options_.RouterCount_ = static_cast<double>(Count);
  }

  /// The sequences at the engine divided by its batch slots, weighted with its fraction of the
  /// model's layers, since a sequence is in only one stage of its chain at a time. About 1 when the
  /// engine's batches are just always full.
  double utilization(const ChainQuery &Query, const Endpoint &Engine) const;
  /// The expected time of one token at the engine and over its link, in seconds.
  double cost(const ChainQuery &Query, const Endpoint &Engine) const;

private:
  /// Recomputes the flow if the groups or their capacities have changed.
  void updateFlow(const ChainQuery &Query);
  /// Draws one chain, with each group weighted by its flow.
  std::vector<const Endpoint *> draw(const ChainQuery &Query, std::mt19937_64 &Random) const;

  CapacityPolicyOptions Options_;
  /// The flow of each group of the last graph, and the capacities and the layers from which it was
  /// computed.
  std::vector<double> Flow_;
  std::vector<double> Capacities_;
  std::vector<LayerRange> Ranges_;
};

/// The number of sequences of the query's size that an engine can serve per second with full
/// batches.
double engineCapacity(const ChainQuery &Query, const Endpoint &Engine);

} // namespace rattancart
