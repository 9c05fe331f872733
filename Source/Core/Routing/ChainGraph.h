#pragma once

#include "Core/Membership/Endpoint.h"
#include "Core/Settings/SettingsView.h"

#include <cstdint>
#include <functional>
#include <span>
#include <vector>

namespace rattancart {

/// Engines that hold the same layers.
struct LayerGroup {
  LayerRange Layers_;
  std::vector<const Endpoint *> Engines_;
};

/// The graph of a model version's layer boundaries, with engines as the edges between them. It
/// contains only engines that are part of a complete chain, so that a path from boundary 0 never
/// reaches a dead end. Holds pointers to the endpoints that it was built from. Immutable, thus
/// thread-safe.
class ChainGraph {
public:
  /// Leaves out engines whose range is empty or exceeds [0, Spec.LayerCount_), and those for which
  /// IsExcluded returns true. Precondition: all engines are of the model version Spec and outlive
  /// the graph.
  ChainGraph(const ModelSpec &Spec, std::span<const Endpoint *const> Engines,
             const std::function<bool(const Endpoint &)> &IsExcluded);

  /// Whether there is no complete chain.
  bool empty() const { return Groups_.empty(); }
  /// The groups, ordered by the first layer and then the end of their range.
  std::span<const LayerGroup> groups() const { return Groups_; }
  /// The groups whose layers begin at Boundary.
  std::span<const LayerGroup> groupsFrom(std::uint32_t Boundary) const;
  const ModelSpec &spec() const { return Spec_; }

private:
  void removeDeadEnds();

  ModelSpec Spec_;
  std::vector<LayerGroup> Groups_;
};

} // namespace rattancart
