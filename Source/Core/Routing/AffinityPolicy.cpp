#include "Core/Routing/AffinityPolicy.h"

#include <algorithm>
#include <limits>

namespace rattancart {

std::vector<const Endpoint *> AffinityPolicy::choose(const ChainQuery &Query,
                                                     std::mt19937_64 &Random) {
  std::vector<const Endpoint *> Chosen = Capacity_.choose(Query, Random);
  if (Query.Prefix_.empty() || Options_.MaxUtilizationRatio_ <= 0)
    return Chosen;
  const std::span<const PrefixHolder> Holders = Index_.holders(Query.Prefix_);
  if (Holders.empty())
    return Chosen;
  for (const Endpoint *&Engine : Chosen) {
    for (const LayerGroup &Group : Query.Graph_.groupsFrom(Engine->Layers_.Begin_)) {
      if (!(Group.Layers_ == Engine->Layers_))
        continue;
      if (const Endpoint *Holder = findPreferredHolder(Query, Group, Holders))
        Engine = Holder;
      break;
    }
  }
  return Chosen;
}

const Endpoint *AffinityPolicy::findPreferredHolder(const ChainQuery &Query,
                                                    const LayerGroup &Group,
                                                    std::span<const PrefixHolder> Holders) const {
  const Endpoint *Best = nullptr;
  double BestUtilization = std::numeric_limits<double>::infinity();
  for (const Endpoint *Engine : Group.Engines_) {
    const bool Holds = std::any_of(Holders.begin(), Holders.end(), [&](const PrefixHolder &Holder) {
      return Holder.Engine_ == Engine->Id_ && Holder.Confidence_ >= Options_.MinConfidence_;
    });
    if (!Holds)
      continue;
    const double Utilization = Capacity_.utilization(Query, *Engine);
    if (Utilization >= BestUtilization)
      continue;
    Best = Engine;
    BestUtilization = Utilization;
  }
  if (!Best)
    return nullptr;
  const double Allowed = std::max(Options_.AlwaysAllowedUtilization_,
                                  Options_.MaxUtilizationRatio_ * meanUtilization(Query, Group));
  return BestUtilization <= Allowed ? Best : nullptr;
}

double AffinityPolicy::meanUtilization(const ChainQuery &Query, const LayerGroup &Group) const {
  double Sum = 0;
  for (const Endpoint *Engine : Group.Engines_)
    Sum += Capacity_.utilization(Query, *Engine);
  return Sum / static_cast<double>(Group.Engines_.size());
}

} // namespace rattancart
