#include "Core/Layers/PathFinder.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace rattancart {

namespace {

constexpr double Infinite = std::numeric_limits<double>::infinity();
constexpr double SecondsPerNano = 1e-9;
/// Time, in s, to pass a token from one engine to the next within one data centre: link delay and
/// wake-up.
constexpr double HopSeconds = 0.0002;
/// Part of an engine's memory that is reserved for requests whose answer is longer than expected.
constexpr double ReservedMemoryShare = 0.1;
/// A path has many stages, and one slow engine delays all of its events. A higher power of the
/// slowdown makes such engines a last resort.
constexpr double SlowdownExponent = 3;
/// An engine with fewer free slots may be full before its next report.
constexpr double MinFreeSlotShare = 0.05;
/// Lower limit of the free share in the cost of an engine, which limits the cost.
constexpr double MinFreeShare = 0.02;

double seconds(Duration Time) { return static_cast<double>(Time.count()) * SecondsPerNano; }

/// Memory that requests may still use; unlimited if the engine's memory is not known.
double freeTokenLayers(const StageCandidate &Engine) {
  if (Engine.TotalTokenLayers_ <= 0)
    return Infinite;
  return Engine.TotalTokenLayers_ * (1 - ReservedMemoryShare) - Engine.UsedTokenLayers_;
}

/// The part of an engine's memory that is free for requests; 1 if the memory is not known.
double freeShare(const StageCandidate &Engine) {
  if (Engine.TotalTokenLayers_ <= 0)
    return 1;
  return std::clamp(freeTokenLayers(Engine) / Engine.TotalTokenLayers_, MinFreeShare, 1.0);
}

bool mayBeFirst(const StageCandidate &Engine) {
  return Engine.MayBeFirst_ && Engine.FreeSlotShare_ >= MinFreeSlotShare;
}

/// The cost of running one layer of a request on an engine: the expected seconds, raised by the
/// engine's slowdown and by its lack of free memory.
double layerCost(const LayeredModel &Model, const StageCandidate &Engine,
                 const PathDemand &Demand) {
  const double Step = seconds(Model.Step_) * Engine.Kind_->StepFactor_ * Demand.AnswerTokens_;
  const double Read =
      Demand.PromptTokens_ / Model.PromptTokensPerSecond_ * Engine.Kind_->PrefillFactor_;
  const double Slowdown = std::pow(std::max(1.0, Engine.Slowdown_), SlowdownExponent);
  return (Step + Read) * Slowdown * Engine.RandomFactor_ / (freeShare(Engine) * Model.Layers_);
}

/// The number of layers for which the engine has memory for that many tokens beside the part of it
/// that is kept for others.
std::uint32_t layersThatFit(const StageCandidate &Engine, double Tokens, double KeptShare) {
  const double Free = freeTokenLayers(Engine) - KeptShare * Engine.TotalTokenLayers_;
  if (Free == Infinite)
    return Engine.Layers_.End_;
  return Free <= 0 || Tokens <= 0 ? 0 : static_cast<std::uint32_t>(Free / Tokens);
}

/// The best path found so far that ends at a boundary between two layers.
struct Node {
  double Cost_ = Infinite;
  std::size_t Previous_ = 0;
  std::size_t Engine_ = 0;
  std::size_t Hops_ = 0;
};

/// Dynamic programming over the boundaries between layers, from the first layer to the last.
class PathSearch {
public:
  PathSearch(const LayeredModel &Model, const std::vector<StageCandidate> &Candidates,
             const PathDemand &Demand)
      : Model_(Model), Candidates_(Candidates), Demand_(Demand) {
    Boundaries_ = {0, Model.Layers_};
    for (const StageCandidate &Engine : Candidates) {
      Boundaries_.push_back(std::min(Engine.Layers_.Begin_, Model.Layers_));
      Boundaries_.push_back(std::min(Engine.Layers_.End_, Model.Layers_));
    }
    std::sort(Boundaries_.begin(), Boundaries_.end());
    Boundaries_.erase(std::unique(Boundaries_.begin(), Boundaries_.end()), Boundaries_.end());
    Nodes_.resize(Boundaries_.size());
    Nodes_.front().Cost_ = 0;
  }

  std::optional<LayerPath> run() {
    for (const StageCandidate &Engine : Candidates_) {
      CostPerLayer_.push_back(layerCost(Model_, Engine, Demand_));
      LayersThatFit_.push_back(
          layersThatFit(Engine, Demand_.PromptTokens_ + Demand_.AnswerTokens_, Demand_.KeptShare_));
    }
    for (std::size_t Boundary = 0; Boundary + 1 < Boundaries_.size(); ++Boundary)
      if (Nodes_[Boundary].Cost_ < Infinite && Nodes_[Boundary].Hops_ < MaxPathStages)
        for (std::size_t Engine = 0; Engine < Candidates_.size(); ++Engine)
          extend(Boundary, Engine);
    if (Nodes_.back().Cost_ == Infinite)
      return std::nullopt;
    return reconstructPath();
  }

private:
  void extend(std::size_t Boundary, std::size_t Engine) {
    const LayerRange Held = Candidates_[Engine].Layers_;
    if (Boundary == 0 && !mayBeFirst(Candidates_[Engine]))
      return;
    if (Boundaries_[Boundary] < Held.Begin_ || Boundaries_[Boundary] >= Held.End_ ||
        isOnPath(Boundary, Engine))
      return;
    for (std::size_t Next = Boundary + 1;
         Next < Boundaries_.size() && Boundaries_[Next] <= Held.End_; ++Next) {
      const std::uint32_t Count = Boundaries_[Next] - Boundaries_[Boundary];
      if (Count > LayersThatFit_[Engine])
        return;
      const double Cost = Nodes_[Boundary].Cost_ +
                          Count * CostPerLayer_[Engine] * slotFactor(Boundary, Engine) +
                          HopSeconds * (1 + Demand_.AnswerTokens_);
      if (Cost < Nodes_[Next].Cost_)
        Nodes_[Next] = {Cost, Boundary, Engine, Nodes_[Boundary].Hops_ + 1};
    }
  }

  /// Multiplies the cost of a path's first engine that has less slots free than memory.
  double slotFactor(std::size_t Boundary, std::size_t Engine) const {
    const StageCandidate &First = Candidates_[Engine];
    return Boundary == 0 ? std::max(1.0, freeShare(First) / First.FreeSlotShare_) : 1;
  }

  /// Whether the best path to Boundary contains the engine already; it may do so only once.
  bool isOnPath(std::size_t Boundary, std::size_t Engine) const {
    for (; Boundary != 0; Boundary = Nodes_[Boundary].Previous_)
      if (Nodes_[Boundary].Engine_ == Engine)
        return true;
    return false;
  }

  LayerPath reconstructPath() const {
    LayerPath Path;
    Path.Cost_ = Duration(static_cast<std::int64_t>(Nodes_.back().Cost_ / SecondsPerNano));
    for (std::size_t Boundary = Nodes_.size() - 1; Boundary != 0;
         Boundary = Nodes_[Boundary].Previous_) {
      const StageCandidate &Engine = Candidates_[Nodes_[Boundary].Engine_];
      Path.Stages_.push_back(
          {Engine.Id_, {Boundaries_[Nodes_[Boundary].Previous_], Boundaries_[Boundary]}});
      Path.FreeShare_ = std::min(Path.FreeShare_, freeShare(Engine));
      if (Nodes_[Boundary].Previous_ == 0)
        Path.FreeShare_ = std::min(Path.FreeShare_, Engine.FreeSlotShare_);
    }
    std::reverse(Path.Stages_.begin(), Path.Stages_.end());
    return Path;
  }

  const LayeredModel &Model_;
  const std::vector<StageCandidate> &Candidates_;
  const PathDemand &Demand_;
  std::vector<std::uint32_t> Boundaries_;
  std::vector<Node> Nodes_;
  std::vector<double> CostPerLayer_;
  std::vector<std::uint32_t> LayersThatFit_;
};

} // namespace

std::optional<LayerPath> findPath(const LayeredModel &Model,
                                  const std::vector<StageCandidate> &Candidates,
                                  const PathDemand &Demand) {
  if (Model.Layers_ == 0 || Candidates.empty())
    return std::nullopt;
  return PathSearch(Model, Candidates, Demand).run();
}

BottleneckLayer findBottleneckLayer(const LayeredModel &Model,
                                    const std::vector<StageCandidate> &Candidates) {
  BottleneckLayer Bottleneck;
  Bottleneck.FreeTokens_ = Infinite;
  for (std::uint32_t Layer = 0; Layer < Model.Layers_; ++Layer) {
    BottleneckLayer Best{Layer, -Infinite, 0, {}};
    for (const StageCandidate &Engine : Candidates) {
      const std::uint32_t Held = Engine.Layers_.End_ - Engine.Layers_.Begin_;
      if (Layer < Engine.Layers_.Begin_ || Layer >= Engine.Layers_.End_)
        continue;
      const double Free = freeTokenLayers(Engine) / Held;
      if (Free > Best.FreeTokens_)
        Best = {Layer, Free, Engine.UsedTokenLayers_ / Held, Engine.Id_};
    }
    if (Best.FreeTokens_ < Bottleneck.FreeTokens_)
      Bottleneck = Best;
  }
  return Bottleneck;
}

bool holdWholeModel(const LayeredModel &Model, const std::vector<StageCandidate> &Candidates) {
  std::vector<LayerRange> Ranges;
  Ranges.reserve(Candidates.size());
  for (const StageCandidate &Engine : Candidates)
    Ranges.push_back(Engine.Layers_);
  std::sort(Ranges.begin(), Ranges.end(),
            [](LayerRange A, LayerRange B) { return A.Begin_ < B.Begin_; });
  std::uint32_t Reached = 0;
  for (const LayerRange Range : Ranges) {
    if (Range.Begin_ > Reached)
      return false;
    Reached = std::max(Reached, Range.End_);
  }
  return Model.Layers_ > 0 && Reached >= Model.Layers_;
}

} // namespace rattancart
