#include "Load/FlowCapacity.h"

#include <boost/graph/adjacency_list.hpp>
#include <boost/graph/edmonds_karp_max_flow.hpp>

#include <algorithm>
#include <cmath>

namespace rattancart {

namespace {

/// Unit of the integer flow computation, in sequences per second.
constexpr double FlowUnit = 1e-6;

using Traits = boost::adjacency_list_traits<boost::vecS, boost::vecS, boost::directedS>;
using FlowGraph = boost::adjacency_list<
    boost::vecS, boost::vecS, boost::directedS, boost::no_property,
    boost::property<
        boost::edge_capacity_t, long,
        boost::property<boost::edge_residual_capacity_t, long,
                        boost::property<boost::edge_reverse_t, Traits::edge_descriptor>>>>;

void addEdge(FlowGraph &Graph, std::uint32_t From, std::uint32_t To, long Capacity) {
  const auto Forward = boost::add_edge(From, To, Graph).first;
  const auto Reverse = boost::add_edge(To, From, Graph).first;
  boost::put(boost::edge_capacity, Graph, Forward, Capacity);
  boost::put(boost::edge_capacity, Graph, Reverse, 0L);
  boost::put(boost::edge_reverse, Graph, Forward, Reverse);
  boost::put(boost::edge_reverse, Graph, Reverse, Forward);
}

} // namespace

double engineCapacity(const PipelineExperiment &Setup, const EngineGroup &Group) {
  const LoadReport &Speed = Group.Speed_;
  const double Step = std::chrono::duration<double>(Speed.StepTime_).count();
  const double Prefill = std::chrono::duration<double>(Speed.PrefillTime_).count();
  const double Busy = Setup.NewTokens_ * Step / Speed.BatchSlots_ + Setup.PromptTokens_ * Prefill;
  if (Group.Layers_.End_ >= Setup.Model_.LayerCount_)
    return 1 / Busy;
  const double Bytes = static_cast<double>(Setup.Model_.ActivationBytes_) *
                       (Setup.PromptTokens_ + Setup.NewTokens_ - 1);
  return std::min(1 / Busy, Speed.LinkBytesPerSecond_ / Bytes);
}

double flowCapacity(const PipelineExperiment &Setup) {
  FlowGraph Graph(Setup.Model_.LayerCount_ + 1);
  for (const EngineGroup &Group : Setup.Groups_)
    addEdge(Graph, Group.Layers_.Begin_, Group.Layers_.End_,
            std::lround(engineCapacity(Setup, Group) * Group.Count_ / FlowUnit));
  const long Flow = boost::edmonds_karp_max_flow(Graph, 0, Setup.Model_.LayerCount_);
  return static_cast<double>(Flow) * FlowUnit;
}

} // namespace rattancart
