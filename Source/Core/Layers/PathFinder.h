#pragma once

#include "Core/Membership/Endpoint.h"
#include "Core/Serving/ServingConfig.h"

#include <optional>
#include <vector>

namespace rattancart {

/// An engine that may be a stage of a path.
struct StageCandidate {
  EndpointId Id_;
  const EngineKind *Kind_ = nullptr;
  LayerRange Layers_;
  /// Over 1 if the engine is slower than is usual for its kind.
  double Slowdown_ = 1;
  /// Memory that is in use, and all memory, in tokens times layers. A total of 0 means unknown.
  double UsedTokenLayers_ = 0;
  double TotalTokenLayers_ = 0;
  /// Multiplies the engine's cost. Drawn at random for each request, so that gateways with the same
  /// information do not all choose the same of two copies.
  double RandomFactor_ = 1;
  /// The part of the engine's slots that is free. Only a request's first engine needs a slot.
  double FreeSlotShare_ = 1;
  /// Whether the gateway may send the request to it; otherwise it can only be a later stage, which
  /// receives the request from another engine.
  bool MayBeFirst_ = true;
};

/// The layers of a request that one engine runs.
struct PathStage {
  EndpointId Engine_;
  LayerRange Layers_;
};

/// Engines that together run each layer exactly once, in order.
struct LayerPath {
  std::vector<PathStage> Stages_;
  /// Cost of the path by which it was chosen: the expected time of the whole request if all engines
  /// are empty and no random factors are set.
  Duration Cost_{};
  /// The smallest part of an engine's memory that is free for requests, over all engines.
  double FreeShare_ = 1;
};

/// The size of a request, from which the time and memory that it needs follow.
struct PathDemand {
  double PromptTokens_ = 0;
  double AnswerTokens_ = 0;
  /// The part of each engine's memory that the request must leave free for more urgent ones.
  double KeptShare_ = 0;
  /// Whether callers compete for the engines' memory, so that what other gateways may send at the
  /// same time counts as memory in use.
  bool Contended_ = false;
};

/// The longest path that engines accept.
inline constexpr std::size_t MaxPathStages = 32;

/// Finds the path with the least expected time for a request among the engines of one data centre.
///
/// To even out the load, an engine's expected time grows with its memory use. An engine without
/// free memory for the request's tokens is never chosen, since it would refuse the request or
/// preempt another one in the middle of its stream. Thread-safe.
///
/// Precondition: Kind_ of each candidate is not null.
std::optional<LayerPath> findPath(const LayeredModel &Model,
                                  const std::vector<StageCandidate> &Candidates,
                                  const PathDemand &Demand);

/// The layer with the least free memory.
struct BottleneckLayer {
  std::uint32_t Layer_ = 0;
  /// Of the engine that has the most free memory for this layer: the tokens that it can still take,
  /// and those that it holds.
  double FreeTokens_ = 0;
  double UsedTokens_ = 0;
  EndpointId Engine_;
};

/// The layer for which the candidates have the least free memory. Thread-safe.
///
/// Precondition: the candidates hold the whole model.
BottleneckLayer findBottleneckLayer(const LayeredModel &Model,
                                    const std::vector<StageCandidate> &Candidates);

/// Whether the candidates hold every layer, regardless of their free memory. Thread-safe.
bool holdWholeModel(const LayeredModel &Model, const std::vector<StageCandidate> &Candidates);

} // namespace rattancart
