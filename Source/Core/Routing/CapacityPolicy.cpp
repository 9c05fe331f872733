#include "Core/Routing/CapacityPolicy.h"

#include <algorithm>
#include <limits>

namespace rattancart {

namespace {

constexpr double MinSeconds = 1e-6;
/// The part of its capacity that a group outside the maximum flow is drawn with.
constexpr double LeastPart = 0.02;
/// How fast the expected wait grows with the square of the fullness, in steps.
constexpr double QueueGrowth = 0.3;

double seconds(Duration Time) { return std::chrono::duration<double>(Time).count(); }

/// One group as an edge between two boundaries.
struct FlowEdge {
  std::uint32_t From_;
  std::uint32_t To_;
  double Left_;
  double Flow_ = 0;
};

/// Finds a path that can carry more, shortest first, forwards over what is left of an edge and
/// backwards over its flow. Returns the edge that leads to each boundary, or none.
std::vector<std::ptrdiff_t> findPath(const std::vector<FlowEdge> &Edges, std::uint32_t Boundaries) {
  std::vector<std::ptrdiff_t> Via(Boundaries, -1);
  std::vector<std::uint32_t> Queue{0};
  std::vector<bool> Seen(Boundaries, false);
  Seen[0] = true;
  for (std::size_t Head = 0; Head < Queue.size(); ++Head) {
    const std::uint32_t At = Queue[Head];
    for (std::size_t I = 0; I < Edges.size(); ++I) {
      const FlowEdge &Edge = Edges[I];
      const bool Forward = Edge.From_ == At && Edge.Left_ > MinSeconds;
      const bool Backward = Edge.To_ == At && Edge.Flow_ > MinSeconds;
      const std::uint32_t Next = Forward ? Edge.To_ : Edge.From_;
      if ((!Forward && !Backward) || Seen[Next])
        continue;
      Seen[Next] = true;
      Via[Next] = static_cast<std::ptrdiff_t>(I);
      Queue.push_back(Next);
    }
  }
  return Via;
}

void maximiseFlow(std::vector<FlowEdge> &Edges, std::uint32_t Layers) {
  while (true) {
    const auto Via = findPath(Edges, Layers + 1);
    if (Via[Layers] < 0)
      return;
    const auto Walk = [&](const auto &Visit) {
      for (std::uint32_t At = Layers; At != 0;) {
        FlowEdge &Edge = Edges[static_cast<std::size_t>(Via[At])];
        const bool Forward = Edge.To_ == At;
        Visit(Edge, Forward);
        At = Forward ? Edge.From_ : Edge.To_;
      }
    };
    double More = std::numeric_limits<double>::infinity();
    Walk([&](const FlowEdge &Edge, bool Forward) {
      More = std::min(More, Forward ? Edge.Left_ : Edge.Flow_);
    });
    Walk([&](FlowEdge &Edge, bool Forward) {
      Edge.Flow_ += Forward ? More : -More;
      Edge.Left_ -= Forward ? More : -More;
    });
  }
}

} // namespace

double engineCapacity(const ChainQuery &Query, const Endpoint &Engine) {
  const LoadReport &Load = Engine.Load_;
  const double Busy = Query.Size_.NewTokens_ * std::max(MinSeconds, seconds(Load.StepTime_)) /
                          std::max(1U, Load.BatchSlots_) +
                      Query.Size_.PromptTokens_ * seconds(Load.PrefillTime_);
  const ModelSpec &Spec = Query.Graph_.spec();
  if (Engine.Layers_.End_ >= Spec.LayerCount_ || Load.LinkBytesPerSecond_ <= 0)
    return 1 / Busy;
  const double Bytes = static_cast<double>(Spec.ActivationBytes_) *
                       (Query.Size_.PromptTokens_ + Query.Size_.NewTokens_);
  return std::min(1 / Busy, Load.LinkBytesPerSecond_ / std::max(1.0, Bytes));
}

double CapacityPolicy::fullness(const ChainQuery &Query, const Endpoint &Engine) const {
  const double Reported = Engine.Load_.Active_;
  const double Since = Query.Load_.estimate(Engine) - Reported - Engine.Load_.Queued_;
  const double Part = static_cast<double>(Engine.Layers_.End_ - Engine.Layers_.Begin_) /
                      Query.Graph_.spec().LayerCount_;
  return std::max(0.0, Reported + Since * Options_.Routers_) * Part /
         std::max(1U, Engine.Load_.BatchSlots_);
}

double CapacityPolicy::cost(const ChainQuery &Query, const Endpoint &Engine) const {
  const LoadReport &Load = Engine.Load_;
  const double Full = fullness(Query, Engine);
  // A step waits for half of the batch before it, and the longer the fuller the engine is.
  return seconds(Load.StepTime_) * (1 + 0.5 * Full + QueueGrowth * Full * Full) +
         seconds(Load.LinkDelay_);
}

void CapacityPolicy::updateFlow(const ChainQuery &Query) {
  std::vector<double> Capacities;
  std::vector<LayerRange> Ranges;
  for (const LayerGroup &Group : Query.Graph_.groups()) {
    double Sum = 0;
    for (const Endpoint *Engine : Group.Engines_)
      Sum += engineCapacity(Query, *Engine);
    Capacities.push_back(Sum);
    Ranges.push_back(Group.Layers_);
  }
  if (Capacities == Capacities_ && Ranges == Ranges_)
    return;
  std::vector<FlowEdge> Edges;
  for (std::size_t I = 0; I < Ranges.size(); ++I)
    Edges.push_back({Ranges[I].Begin_, Ranges[I].End_, Capacities[I]});
  maximiseFlow(Edges, Query.Graph_.spec().LayerCount_);
  Flow_.clear();
  for (const FlowEdge &Edge : Edges)
    Flow_.push_back(Edge.Flow_);
  Capacities_ = std::move(Capacities);
  Ranges_ = std::move(Ranges);
}

std::vector<const Endpoint *> CapacityPolicy::draw(const ChainQuery &Query,
                                                   std::mt19937_64 &Random) const {
  std::vector<const Endpoint *> Chosen;
  const auto All = Query.Graph_.groups();
  for (std::uint32_t At = 0; At < Query.Graph_.spec().LayerCount_;) {
    const auto From = Query.Graph_.groupsFrom(At);
    const auto Offset = static_cast<std::size_t>(From.data() - All.data());
    const Endpoint *Best = nullptr;
    double BestRank = std::numeric_limits<double>::infinity();
    // The least of exponential variables whose rates are the weights is a weighted draw.
    std::exponential_distribution<double> Exponential(1.0);
    for (std::size_t I = 0; I < From.size(); ++I) {
      const double Flow = Flow_[Offset + I] / Capacities_[Offset + I];
      for (const Endpoint *Engine : From[I].Engines_) {
        const double Weight = engineCapacity(Query, *Engine) * std::max(LeastPart, Flow);
        const double Rank = Exponential(Random) / Weight;
        if (Rank >= BestRank)
          continue;
        BestRank = Rank;
        Best = Engine;
      }
    }
    Chosen.push_back(Best);
    At = Best->Layers_.End_;
  }
  return Chosen;
}

std::vector<const Endpoint *> CapacityPolicy::choose(const ChainQuery &Query,
                                                     std::mt19937_64 &Random) {
  updateFlow(Query);
  std::vector<const Endpoint *> Best;
  double BestCost = std::numeric_limits<double>::infinity();
  for (std::size_t I = 0; I < std::max<std::size_t>(1, Options_.Draws_); ++I) {
    auto Chain = draw(Query, Random);
    double Cost = 0;
    for (const Endpoint *Engine : Chain)
      Cost += cost(Query, *Engine);
    if (Cost >= BestCost)
      continue;
    BestCost = Cost;
    Best = std::move(Chain);
  }
  return Best;
}

} // namespace rattancart
