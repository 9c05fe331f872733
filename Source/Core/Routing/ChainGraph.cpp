#include "Core/Routing/ChainGraph.h"

#include <algorithm>
#include <tuple>

namespace rattancart {

namespace {

bool isOrderedBefore(const LayerRange &Left, const LayerRange &Right) {
  return std::tie(Left.Begin_, Left.End_) < std::tie(Right.Begin_, Right.End_);
}

} // namespace

ChainGraph::ChainGraph(const ModelSpec &Spec, std::span<const Endpoint *const> Engines,
                       const std::function<bool(const Endpoint &)> &IsExcluded)
    : Spec_(Spec) {
  for (const Endpoint *Engine : Engines) {
    const LayerRange &Layers = Engine->Layers_;
    if (Layers.Begin_ >= Layers.End_ || Layers.End_ > Spec.LayerCount_ || IsExcluded(*Engine))
      continue;
    auto Place = std::lower_bound(Groups_.begin(), Groups_.end(), Layers,
                                  [](const LayerGroup &Group, const LayerRange &Key) {
                                    return isOrderedBefore(Group.Layers_, Key);
                                  });
    if (Place == Groups_.end() || !(Place->Layers_ == Layers))
      Place = Groups_.insert(Place, LayerGroup{Layers, {}});
    Place->Engines_.push_back(Engine);
  }
  removeDeadEnds();
}

void ChainGraph::removeDeadEnds() {
  std::vector<bool> ReachableFromStart(Spec_.LayerCount_ + 1);
  std::vector<bool> LeadsToEnd(Spec_.LayerCount_ + 1);
  ReachableFromStart[0] = true;
  LeadsToEnd[Spec_.LayerCount_] = true;
  // A group begins before it ends, so one pass in each direction is enough.
  for (const LayerGroup &Group : Groups_)
    if (ReachableFromStart[Group.Layers_.Begin_])
      ReachableFromStart[Group.Layers_.End_] = true;
  for (auto Group = Groups_.rbegin(); Group != Groups_.rend(); ++Group)
    if (LeadsToEnd[Group->Layers_.End_])
      LeadsToEnd[Group->Layers_.Begin_] = true;
  std::erase_if(Groups_, [&](const LayerGroup &Group) {
    return !ReachableFromStart[Group.Layers_.Begin_] || !LeadsToEnd[Group.Layers_.End_];
  });
}

std::span<const LayerGroup> ChainGraph::groupsFrom(std::uint32_t Boundary) const {
  const auto First = std::lower_bound(
      Groups_.begin(), Groups_.end(), Boundary,
      [](const LayerGroup &Group, std::uint32_t Key) { return Group.Layers_.Begin_ < Key; });
  auto Last = First;
  while (Last != Groups_.end() && Last->Layers_.Begin_ == Boundary)
    ++Last;
  return {First, Last};
}

} // namespace rattancart
