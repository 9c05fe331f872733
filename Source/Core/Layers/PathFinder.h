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
  /// Over 1 where the engine is slower than its kind.
  double Slowdown_ = 1;
  /// Memory in tokens times layers that is taken, and all there is.
  double UsedTokenLayers_ = 0;
  double TotalTokenLayers_ = 0;
  /// Multiplies the engine's time; drawn at random for each request, so that gateways that know
  /// the same do not all choose the same of two copies.
  double Spread_ = 1;
  /// Whether the request may be sent to it; otherwise it only takes it from another engine.
  bool MayBeFirst_ = true;
};

/// Layers that one engine runs of a request.
struct PathStage {
  EndpointId Engine_;
  LayerRange Layers_;
};

/// Engines that together run each layer once and in order.
struct LayerPath {
  std::vector<PathStage> Stages_;
  /// Expected time of the whole request on it.
  Duration Cost_{};
};

/// What a request needs of a path.
struct PathDemand {
  double PromptTokens_ = 0;
  double AnswerTokens_ = 0;
};

/// Longest path that the engines take.
inline constexpr std::size_t MaxPathStages = 32;

/// Finds the path of one data centre with the least expected time for a request.
///
/// Answers uneven load: an engine's time grows as its memory fills, and an engine without room for
/// the request's tokens is no candidate, since it would turn the request away or preempt another
/// in the middle of its stream. Thread-safe.
///
/// Precondition: Kind_ of each candidate is not null.
std::optional<LayerPath> findPath(const LayeredModel &Model,
                                  const std::vector<StageCandidate> &Candidates,
                                  const PathDemand &Demand);

/// The layer for which the candidates have the least room.
struct BottleneckLayer {
  std::uint32_t Layer_ = 0;
  /// Tokens that one engine holding it could still take, and that it has.
  double FreeTokens_ = 0;
  double UsedTokens_ = 0;
  EndpointId Engine_;
};

/// Precondition: the candidates hold the whole model. Thread-safe.
BottleneckLayer findBottleneckLayer(const LayeredModel &Model,
                                    const std::vector<StageCandidate> &Candidates);

/// Whether the candidates hold every layer, whatever their room. Thread-safe.
bool holdWholeModel(const LayeredModel &Model, const std::vector<StageCandidate> &Candidates);

} // namespace rattancart
