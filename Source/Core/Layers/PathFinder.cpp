#include "Core/Layers/PathFinder.h"

#include <algorithm>
#include <limits>

namespace rattancart {

namespace {

constexpr double Infinite = std::numeric_limits<double>::infinity();
constexpr double SecondsPerNano = 1e-9;
/// Hand-on of a token between two engines of one data centre, in s: link delay and wake-up.
constexpr double HandOnSeconds = 0.0002;
/// Part of an engine's memory that is kept for requests whose answer is longer than expected.
constexpr double RoomReserve = 0.1;
/// An engine whose memory is full counts this many times slower than an empty one.
constexpr double FullSlowdown = 3;

double seconds(Duration Time) { return static_cast<double>(Time.count()) * SecondsPerNano; }

/// Expected seconds that a request spends in one layer of an engine.
double layerSeconds(const LayeredModel &Model, const StageCandidate &Engine,
                    const PathDemand &Demand) {
  const double Step = seconds(Model.Step_) * Engine.Kind_->StepFactor_ * Demand.AnswerTokens_;
  const double Read =
      Demand.PromptTokens_ / Model.PromptTokensPerSecond_ * Engine.Kind_->ReadFactor_;
  const double Filled =
      Engine.TotalTokenLayers_ > 0 ? Engine.UsedTokenLayers_ / Engine.TotalTokenLayers_ : 0;
  const double Load = 1 + (FullSlowdown - 1) * std::clamp(Filled, 0.0, 1.0);
  return (Step + Read) * std::max(1.0, Engine.Slowdown_) * Load * Engine.Spread_ / Model.Layers_;
}

/// Memory that requests may still take; an engine whose memory is not known has all it needs.
double freeTokenLayers(const StageCandidate &Engine) {
  if (Engine.TotalTokenLayers_ <= 0)
    return Infinite;
  return Engine.TotalTokenLayers_ * (1 - RoomReserve) - Engine.UsedTokenLayers_;
}

/// Layers of the request that the engine has room for.
std::uint32_t layersWithRoom(const StageCandidate &Engine, double Tokens) {
  const double Free = freeTokenLayers(Engine);
  if (Free == Infinite)
    return Engine.Layers_.End_;
  return Free <= 0 || Tokens <= 0 ? 0 : static_cast<std::uint32_t>(Free / Tokens);
}

/// The best way found to the point between two layers.
struct Node {
  double Cost_ = Infinite;
  std::size_t From_ = 0;
  std::size_t Engine_ = 0;
  std::size_t Hops_ = 0;
};

class Search {
public:
  Search(const LayeredModel &Model, const std::vector<StageCandidate> &Candidates,
         const PathDemand &Demand)
      : Model_(Model), Candidates_(Candidates), Demand_(Demand) {
    Points_ = {0, Model.Layers_};
    for (const StageCandidate &Engine : Candidates) {
      Points_.push_back(std::min(Engine.Layers_.Begin_, Model.Layers_));
      Points_.push_back(std::min(Engine.Layers_.End_, Model.Layers_));
    }
    std::sort(Points_.begin(), Points_.end());
    Points_.erase(std::unique(Points_.begin(), Points_.end()), Points_.end());
    Nodes_.resize(Points_.size());
    Nodes_.front().Cost_ = 0;
  }

  std::optional<LayerPath> run() {
    for (const StageCandidate &Engine : Candidates_) {
      PerLayer_.push_back(layerSeconds(Model_, Engine, Demand_));
      Room_.push_back(layersWithRoom(Engine, Demand_.PromptTokens_ + Demand_.AnswerTokens_));
    }
    for (std::size_t Point = 0; Point + 1 < Points_.size(); ++Point)
      if (Nodes_[Point].Cost_ < Infinite && Nodes_[Point].Hops_ < MaxPathStages)
        for (std::size_t Engine = 0; Engine < Candidates_.size(); ++Engine)
          extend(Point, Engine);
    if (Nodes_.back().Cost_ == Infinite)
      return std::nullopt;
    return trace();
  }

private:
  void extend(std::size_t Point, std::size_t Engine) {
    const LayerRange Held = Candidates_[Engine].Layers_;
    if (Point == 0 && !Candidates_[Engine].MayBeFirst_)
      return;
    if (Points_[Point] < Held.Begin_ || Points_[Point] >= Held.End_ || used(Point, Engine))
      return;
    for (std::size_t Next = Point + 1; Next < Points_.size() && Points_[Next] <= Held.End_;
         ++Next) {
      const std::uint32_t Count = Points_[Next] - Points_[Point];
      if (Count > Room_[Engine])
        return;
      const double Cost = Nodes_[Point].Cost_ + Count * PerLayer_[Engine] +
                          HandOnSeconds * (1 + Demand_.AnswerTokens_);
      if (Cost < Nodes_[Next].Cost_)
        Nodes_[Next] = {Cost, Point, Engine, Nodes_[Point].Hops_ + 1};
    }
  }

  /// An engine may stand in a path only once.
  bool used(std::size_t Point, std::size_t Engine) const {
    for (; Point != 0; Point = Nodes_[Point].From_)
      if (Nodes_[Point].Engine_ == Engine)
        return true;
    return false;
  }

  LayerPath trace() const {
    LayerPath Path;
    Path.Cost_ = Duration(static_cast<std::int64_t>(Nodes_.back().Cost_ / SecondsPerNano));
    for (std::size_t Point = Nodes_.size() - 1; Point != 0; Point = Nodes_[Point].From_)
      Path.Stages_.push_back(
          {Candidates_[Nodes_[Point].Engine_].Id_, {Points_[Nodes_[Point].From_], Points_[Point]}});
    std::reverse(Path.Stages_.begin(), Path.Stages_.end());
    return Path;
  }

  const LayeredModel &Model_;
  const std::vector<StageCandidate> &Candidates_;
  const PathDemand &Demand_;
  std::vector<std::uint32_t> Points_;
  std::vector<Node> Nodes_;
  std::vector<double> PerLayer_;
  std::vector<std::uint32_t> Room_;
};

} // namespace

std::optional<LayerPath> findPath(const LayeredModel &Model,
                                  const std::vector<StageCandidate> &Candidates,
                                  const PathDemand &Demand) {
  if (Model.Layers_ == 0 || Candidates.empty())
    return std::nullopt;
  return Search(Model, Candidates, Demand).run();
}

BottleneckLayer findBottleneckLayer(const LayeredModel &Model,
                                    const std::vector<StageCandidate> &Candidates) {
  BottleneckLayer Scarcest;
  Scarcest.FreeTokens_ = Infinite;
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
    if (Best.FreeTokens_ < Scarcest.FreeTokens_)
      Scarcest = Best;
  }
  return Scarcest;
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
