// Compares the planner's layouts for known data centres with baseline layouts and with the upper
// bound. Run by hand: build/bin/rattancart-bench-layouts
#include "Core/Layers/LayoutMetrics.h"
#include "Tests/Core/Layers/Deployments.h"

#include <fmt/format.h>

using namespace rattancart;

namespace {

void print(const char *DataCenter, const char *Name, const LayeredModel &Model,
           const std::vector<PlannedEngine> &Engines) {
  const double Tokens = tokensInFlight(Model, Engines);
  const double Bound = tokensInFlightBound(Model, Engines);
  const auto Time = tokenTime(Model, Engines);
  fmt::print("| {} | {} | {:.0f} | {:.2f} | {} | {} of {} |\n", DataCenter, Name, Tokens,
             Bound > 0 ? Tokens / Bound : 0,
             Time ? fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(*Time).count())
                  : "no path",
             countRedundantEngines(Model, Engines), Engines.size());
}

} // namespace

int main() {
  fmt::print(
      "| data centre | layout | tokens in flight | of the bound | ms a token, idle | engines "
      "that may each be lost |\n|---|---|---|---|---|---|\n");
  for (const test::Deployment &Case : test::deployments()) {
    if (!Case.FitsModel_)
      continue;
    const LayeredModel Model = test::makeModel(Case.Layers_);
    const auto Empty = test::makeEngines(Model, Case);
    print(Case.Name_, "planner", Model, test::settledLayout(Model, Empty));
    print(Case.Name_, "one path", Model, makeBaselineLayout(Baseline::OnePath, Model, Empty));
    print(Case.Name_, "equal split", Model, makeBaselineLayout(Baseline::EqualSplit, Model, Empty));
    print(Case.Name_, "greedy by speed", Model,
          makeBaselineLayout(Baseline::GreedyBySpeed, Model, Empty));
  }
  return 0;
}
