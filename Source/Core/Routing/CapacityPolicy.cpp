#include "Core/Routing/CapacityPolicy.h"

#include <algorithm>
#include <limits>

namespace rattancart {

namespace {

/// The least step time in seconds, and the least flow that counts as more than zero.
constexpr double Epsilon = 1e-6;
/// A group outside the maximum flow is drawn with this fraction of its capacity as weight.
constexpr double MinFlowFraction = 0.02;
/// The expected wait in steps for each unit of the squared utilization.
constexpr double QueueGrowth = 0.3;

double seconds(Duration Time) { return std::chrono::duration<double>(Time).count(); }

/// A layer group as an edge between two layer boundaries.
struct FlowEdge {
  std::uint32_t From_;
  std::uint32_t To_;
  double Residual_;
  double Flow_ = 0;
};

/// Finds the shortest augmenting path by breadth-first search: forwards over edges with residual
/// capacity and backwards over edges with flow. Returns for each boundary the index of the edge by
/// which it was reached, or -1.
std::vector<std::ptrdiff_t> findAugmentingPath(const std::vector<FlowEdge> &Edges,
                                               std::uint32_t Boundaries) {
  std::vector<std::ptrdiff_t> IncomingEdge(Boundaries, -1);
  std::vector<std::uint32_t> Queue{0};
  std::vector<bool> Visited(Boundaries, false);
  Visited[0] = true;
  for (std::size_t Head = 0; Head < Queue.size(); ++Head) {
    const std::uint32_t Boundary = Queue[Head];
    for (std::size_t I = 0; I < Edges.size(); ++I) {
      const FlowEdge &Edge = Edges[I];
      const bool Forward = Edge.From_ == Boundary && Edge.Residual_ > Epsilon;
      const bool Backward = Edge.To_ == Boundary && Edge.Flow_ > Epsilon;
      const std::uint32_t Next = Forward ? Edge.To_ : Edge.From_;
      if ((!Forward && !Backward) || Visited[Next])
        continue;
      Visited[Next] = true;
      IncomingEdge[Next] = static_cast<std::ptrdiff_t>(I);
      Queue.push_back(Next);
    }
  }
  return IncomingEdge;
}

/// Computes the maximum flow from boundary 0 to boundary Layers (Edmonds-Karp).
void maximiseFlow(std::vector<FlowEdge> &Edges, std::uint32_t Layers) {
  while (true) {
    const auto IncomingEdge = findAugmentingPath(Edges, Layers + 1);
    if (IncomingEdge[Layers] < 0)
      return;
    const auto ForEachEdgeOfPath = [&](const auto &Visit) {
      for (std::uint32_t Boundary = Layers; Boundary != 0;) {
        FlowEdge &Edge = Edges[static_cast<std::size_t>(IncomingEdge[Boundary])];
        const bool Forward = Edge.To_ == Boundary;
        Visit(Edge, Forward);
        Boundary = Forward ? Edge.From_ : Edge.To_;
      }
    };
    double Augmentation = std::numeric_limits<double>::infinity();
    ForEachEdgeOfPath([&](const FlowEdge &Edge, bool Forward) {
      Augmentation = std::min(Augmentation, Forward ? Edge.Residual_ : Edge.Flow_);
    });
    ForEachEdgeOfPath([&](FlowEdge &Edge, bool Forward) {
      Edge.Flow_ += Forward ? Augmentation : -Augmentation;
      Edge.Residual_ -= Forward ? Augmentation : -Augmentation;
    });
  }
}

} // namespace

double engineCapacity(const ChainQuery &Query, const Endpoint &Engine) {
  const LoadReport &Load = Engine.Load_;
  const double SecondsPerSequence = Query.Size_.NewTokens_ *
                                        std::max(Epsilon, seconds(Load.StepTime_)) /
                                        std::max(1U, Load.BatchSlots_) +
                                    Query.Size_.PromptTokens_ * seconds(Load.PrefillTime_);
  const ModelSpec &Spec = Query.Graph_.spec();
  if (Engine.Layers_.End_ >= Spec.LayerCount_ || Load.LinkBytesPerSecond_ <= 0)
    return 1 / SecondsPerSequence;
  const double Bytes = static_cast<double>(Spec.ActivationBytes_) *
                       (Query.Size_.PromptTokens_ + Query.Size_.NewTokens_);
  return std::min(1 / SecondsPerSequence, Load.LinkBytesPerSecond_ / std::max(1.0, Bytes));
}

double CapacityPolicy::utilization(const ChainQuery &Query, const Endpoint &Engine) const {
  const double Reported = Engine.Load_.Active_;
  const double SinceReport = Query.Load_.estimate(Engine) - Reported - Engine.Load_.Queued_;
  const double LayerFraction = static_cast<double>(Engine.Layers_.End_ - Engine.Layers_.Begin_) /
                               Query.Graph_.spec().LayerCount_;
  return std::max(0.0, Reported + SinceReport * Options_.RouterCount_) * LayerFraction /
         std::max(1U, Engine.Load_.BatchSlots_);
}

double CapacityPolicy::cost(const ChainQuery &Query, const Endpoint &Engine) const {
  const LoadReport &Load = Engine.Load_;
  const double Utilization = utilization(Query, Engine);
  // A step waits on average for half of the running batch, and longer the higher the utilization
  // is.
  return seconds(Load.StepTime_) *
             (1 + 0.5 * Utilization + QueueGrowth * Utilization * Utilization) +
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
  for (std::uint32_t Boundary = 0; Boundary < Query.Graph_.spec().LayerCount_;) {
    const auto From = Query.Graph_.groupsFrom(Boundary);
    const auto Offset = static_cast<std::size_t>(From.data() - All.data());
    const Endpoint *Best = nullptr;
    double BestRank = std::numeric_limits<double>::infinity();
    // Drawing an exponential variable for each engine with its weight as the rate, and taking the
    // least, picks engines in proportion to their weights.
    std::exponential_distribution<double> Exponential(1.0);
    for (std::size_t I = 0; I < From.size(); ++I) {
      const double Flow = Flow_[Offset + I] / Capacities_[Offset + I];
      for (const Endpoint *Engine : From[I].Engines_) {
        const double Weight = engineCapacity(Query, *Engine) * std::max(MinFlowFraction, Flow);
        const double Rank = Exponential(Random) / Weight;
        if (Rank >= BestRank)
          continue;
        BestRank = Rank;
        Best = Engine;
      }
    }
    Chosen.push_back(Best);
    Boundary = Best->Layers_.End_;
  }
  return Chosen;
}

std::vector<const Endpoint *> CapacityPolicy::choose(const ChainQuery &Query,
                                                     std::mt19937_64 &Random) {
  updateFlow(Query);
  std::vector<const Endpoint *> Best;
  double BestCost = std::numeric_limits<double>::infinity();
  for (std::size_t I = 0; I < std::max<std::size_t>(1, Options_.CandidateCount_); ++I) {
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
