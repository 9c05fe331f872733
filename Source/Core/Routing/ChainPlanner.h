#pragma once

#include "Core/Common/Result.h"
#include "Core/Membership/EndpointTable.h"
#include "Core/Routing/ChainPolicy.h"

#include <memory>
#include <random>
#include <span>
#include <string>

namespace rattancart {

/// The sequence for which a chain is requested.
struct PlanRequest {
  const ModelSpec &Spec_;
  SequenceSize Size_;
  /// The hash of the prompt's beginning, as in ChainQuery.
  std::string Prefix_;
  /// Engines that must not be in the chain.
  std::span<const EndpointId> Excluded_;
};

/// Plans chains over the live engines of a model version. Not thread-safe.
class ChainPlanner {
public:
  /// Precondition: Endpoints, Load and Random outlive the planner; Policy is not null.
  ChainPlanner(const EndpointTable &Endpoints, const EngineLoadEstimator &Load,
               std::unique_ptr<ChainPolicy> Policy, std::mt19937_64 &Random);

  /// A chain that covers all layers once, without excluded engines and engines that accept no new
  /// work. Errors: NoChain.
  Result<Chain> plan(const PlanRequest &Request);
  /// The number of routers that send to the same engines, this one included. At least 1.
  void setRouterCount(std::size_t Count) { Policy_->setRouterCount(Count); }

private:
  const EndpointTable &Endpoints_;
  const EngineLoadEstimator &Load_;
  std::unique_ptr<ChainPolicy> Policy_;
  std::mt19937_64 &Random_;
};

} // namespace rattancart
