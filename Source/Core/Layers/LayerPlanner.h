#pragma once

#include "Core/Membership/Endpoint.h"
#include "Core/Serving/ServingConfig.h"

#include <cstdint>
#include <vector>

namespace rattancart {

/// An engine as the planner sees it.
struct PlannedEngine {
  EndpointId Id_;
  const EngineKind *Kind_ = nullptr;
  /// Layers that it holds, or will hold once its order under way is done. Empty if none.
  LayerRange Layers_;
  /// Whether it may get an order now. An engine that may not is about to hold its layers, and can't
  /// be counted on for them yet.
  bool Movable_ = true;
};

/// Layers that an engine should hold.
struct LayerPlacement {
  EndpointId Engine_;
  LayerRange Layers_;
  /// Whether layers are covered that no engine of the data centre holds.
  bool FillsGap_ = false;
};

/// Room for tokens that each stage of a data centre should have, by its engines' memory: the
/// largest that leaves enough memory for one whole model and the layers of its largest engine a
/// second time, so that any one engine can be replaced by the others; or the largest for one whole
/// model, if that would leave too little room. 0 if the engines can't hold the model at all.
/// Thread-safe.
double plannedTokenCapacity(const LayeredModel &Model, const std::vector<PlannedEngine> &Engines);

/// Layers that an engine of Kind holds beside room for that many tokens. Thread-safe.
std::uint32_t layerCapacity(const LayeredModel &Model, const EngineKind &Kind,
                            double TokenCapacity);

/// Finds what the engines of one data centre should hold next.
///
/// Answers losses: layers that no engine holds are given to empty engines, or to engines whose own
/// layers are all held elsewhere too, at the least loading. Empty engines that no gap needs become
/// second copies of the layers that take the longest: they share the work of the slow engines, of
/// which a path has the most. Answers rising load: an engine that holds more
/// layers than leave the planned room gives up those that others hold, which needs no loading, and
/// an engine that nobody needs moves to the layers with the least room for tokens.
/// What is held and needed stays, so a new owner continues the plan of the last one. Deterministic
/// and thread-safe.
///
/// Precondition: Kind_ of each engine is not null.
std::vector<LayerPlacement> planLayers(const LayeredModel &Model,
                                       const std::vector<PlannedEngine> &Engines);

} // namespace rattancart
