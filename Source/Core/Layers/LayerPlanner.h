#pragma once

#include "Core/Membership/Endpoint.h"
#include "Core/Serving/ServingConfig.h"

#include <cstdint>
#include <vector>

namespace rattancart {

/// An engine and the state that the planner needs of it.
struct PlannedEngine {
  EndpointId Id_;
  const EngineKind *Kind_ = nullptr;
  /// Layers that it holds, or will hold once its pending order is carried out. Empty if none.
  LayerRange Layers_;
  /// Whether it may get an order now. An engine that may not is still loading its layers, so the
  /// planner does not rely on it for them yet.
  bool Movable_ = true;
};

/// The layers that an engine should hold.
struct LayerPlacement {
  EndpointId Engine_;
  LayerRange Layers_;
  /// Whether the placement covers layers that no engine of the data centre holds.
  bool FillsGap_ = false;
  /// Whether the plan assigns all layers from scratch, since the gaps can't be closed one by one.
  bool FromScratch_ = false;
};

/// The number of tokens that each stage of a data centre should have memory for, beside its layers.
///
/// This is the largest capacity at which the engines can hold the whole model and, a second time,
/// the layers of the engine with the most of them, so that the others can replace any one engine.
/// If that capacity is too small, it is the largest at which they can hold the model once. 0 if
/// they can't hold the model at all. Thread-safe.
double plannedTokenCapacity(const LayeredModel &Model, const std::vector<PlannedEngine> &Engines);

/// The number of layers that fit into an engine of Kind together with the KV cache of TokenCapacity
/// tokens. Thread-safe.
std::uint32_t layerCapacity(const LayeredModel &Model, const EngineKind &Kind,
                            double TokenCapacity);

/// Plans which layers the engines of one data centre should hold next.
///
/// After an engine is lost, layers that no engine holds are given to empty engines, or to engines
/// whose own layers are all held elsewhere too, so that as little as possible is loaded. Empty
/// engines that no gap needs become second copies of the layers that take the longest: they share
/// the work of the slow engines, of which a path has the most.
///
/// Against rising load, an engine that holds too many layers for the planned token capacity gives
/// up those that others hold, which needs no loading, and a redundant engine moves to the layers
/// with the least token capacity.
///
/// Layers that are held and needed stay where they are, so a new owner continues the plan of the
/// previous one. Deterministic and thread-safe.
///
/// Precondition: Kind_ of each engine is not null.
std::vector<LayerPlacement> planLayers(const LayeredModel &Model,
                                       const std::vector<PlannedEngine> &Engines);

} // namespace rattancart
