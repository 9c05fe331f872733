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

/// The layer boundaries of a model version with the engines that lead from one to another. Only
/// engines that lie on a whole chain are in it, so that a walk from 0 never meets a dead end.
/// Holds pointers to the endpoints that it was built from. Immutable, thus thread-safe.
class ChainGraph {
public:
  /// Engines whose range does not fit [0, Spec.LayerCount_), and those that IsExcluded names,
  /// are left out. Precondition: all are of the model version Spec, and outlive the graph.
  ChainGraph(const ModelSpec &Spec, std::span<const Endpoint *const> Engines,
             const std::function<bool(const Endpoint &)> &IsExcluded);

  /// Whether there is no whole chain.
  bool empty() const { return Groups_.empty(); }
  /// The groups, ordered by the begin and then the end of their layers.
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
