#include "Core/Routing/ChainPlanner.h"

#include "Core/Common/ErrorCode.h"

#include <algorithm>
#include <utility>

namespace rattancart {

ChainPlanner::ChainPlanner(const EndpointTable &Endpoints, const EngineLoadEstimator &Load,
                           std::unique_ptr<ChainPolicy> Policy, std::mt19937_64 &Random)
    : Endpoints_(Endpoints), Load_(Load), Policy_(std::move(Policy)), Random_(Random) {}

Result<Chain> ChainPlanner::plan(const PlanRequest &Request) {
  const auto Engines = Endpoints_.liveEngines(Request.Spec_.Model_, Request.Spec_.Version_);
  const ChainGraph Graph(Request.Spec_, Engines, [&](const Endpoint &Engine) {
    return std::find(Request.Excluded_.begin(), Request.Excluded_.end(), Engine.Id_) !=
           Request.Excluded_.end();
  });
  if (Graph.empty())
    return Error{ErrorCode::NoChain, Request.Spec_.Model_.str() + " version " +
                                         Request.Spec_.Version_.str() + ", " +
                                         std::to_string(Engines.size()) + " live engines"};
  Chain Planned;
  for (const Endpoint *Engine :
       Policy_->choose({Graph, Load_, Request.Size_, Request.Prefix_}, Random_))
    Planned.Stages_.push_back(
        {Engine->Id_, Engine->Incarnation_, Engine->Address_, Engine->Layers_});
  return Planned;
}

} // namespace rattancart
