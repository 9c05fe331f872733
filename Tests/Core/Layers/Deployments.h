#pragma once

#include "Core/Layers/LayerPlanner.h"

#include <ostream>
#include <string>
#include <vector>

namespace rattancart::test {

/// Some engines of one kind.
struct EngineGroup {
  const char *Kind_;
  int Count_;
};

/// The engines of one data centre.
struct Deployment {
  const char *Name_;
  std::uint32_t Layers_;
  std::vector<EngineGroup> Engines_;
  /// Whether the engines can hold the model, and whether they still can without any one of them.
  bool FitsModel_;
  bool FitsModelAfterOneLoss_;
};

inline std::ostream &operator<<(std::ostream &Out, const Deployment &Case) {
  return Out << Case.Name_;
}

/// A model with 1750 MB per layer and 7375 bytes per token and layer.
inline LayeredModel makeModel(std::uint32_t Layers) {
  LayeredModel Model;
  Model.Id_ = ModelId("m");
  Model.Layers_ = Layers;
  Model.LayerMb_ = 1750;
  Model.TokenBytes_ = 7375.0 * Layers;
  Model.LoadTime_ = std::chrono::seconds(14);
  Model.ConcurrentLoads_ = 6;
  Model.Step_ = std::chrono::microseconds(850);
  Model.PromptTokensPerSecond_ = 196'000;
  Model.MeanPromptTokens_ = 770;
  Model.MeanAnswerTokens_ = 174;
  Model.Kinds_ = {{"h100", 72'000, 1.4, 1},   {"a100s", 36'000, 3.1, 3.2},
                  {"l4", 21'600, 16, 8.2},    {"t4", 14'400, 15, 15},
                  {"a100", 72'000, 2.4, 3.2}, {"l40s", 43'200, 5.6, 2.7},
                  {"v100", 14'400, 5.3, 7.9}, {"huge", 400'000, 1, 1}};
  return Model;
}

/// The engines of a deployment, without layers. Each id is the kind and a number.
inline std::vector<PlannedEngine> makeEngines(const LayeredModel &Model, const Deployment &Case) {
  std::vector<PlannedEngine> Engines;
  for (const EngineGroup &Group : Case.Engines_)
    for (int I = 0; I < Group.Count_; ++I) {
      PlannedEngine Engine;
      Engine.Id_ = EndpointId(std::string(Group.Kind_) + "-" + std::to_string(I));
      Engine.Kind_ = Model.kind(Group.Kind_);
      Engines.push_back(Engine);
    }
  return Engines;
}

/// The layout that results when the engines carry out all plans until nothing changes.
inline std::vector<PlannedEngine> settledLayout(const LayeredModel &Model,
                                                std::vector<PlannedEngine> Engines) {
  for (std::size_t Round = 0; Round < Engines.size() + 3; ++Round)
    for (const LayerPlacement &Each : planLayers(Model, Engines))
      for (PlannedEngine &Engine : Engines)
        if (Engine.Id_ == Each.Engine_)
          Engine.Layers_ = Each.Layers_;
  return Engines;
}

/// Data centres with several times as many engines as one copy of the model needs.
inline const std::vector<Deployment> &largeDeployments() {
  static const std::vector<Deployment> All = {
      {"karratha grown", 80, {{"h100", 1}, {"a100s", 2}, {"l4", 13}, {"t4", 18}}, true, true},
      {"port-hedland grown", 80, {{"h100", 1}, {"a100s", 2}, {"l4", 20}, {"t4", 9}}, true, true},
      {"newman grown", 80, {{"a100s", 4}, {"l4", 11}, {"t4", 17}}, true, true},
      {"suva-a grown", 80, {{"h100", 4}, {"t4", 10}, {"l4", 11}}, true, true},
      {"nadi-b grown", 80, {{"h100", 3}, {"t4", 14}, {"l4", 16}}, true, true},
      {"lautoka-c grown", 80, {{"h100", 2}, {"t4", 24}, {"l4", 9}}, true, true},
      {"port-hedland large", 80, {{"h100", 1}, {"a100s", 4}, {"l4", 25}, {"t4", 12}}, true, true},
      {"onslow large", 80, {{"h100", 1}, {"a100s", 4}, {"l4", 25}, {"t4", 12}}, true, true},
      {"newman large", 80, {{"a100s", 6}, {"l4", 14}, {"t4", 24}}, true, true},
  };
  return All;
}

/// The data centres of two sites whose callers compete for the engines' memory.
inline const std::vector<Deployment> &contendedDeployments() {
  static const std::vector<Deployment> All = {
      {"lockside a", 80, {{"a100", 4}, {"l40s", 6}, {"l4", 14}}, true, true},
      {"lockside b", 80, {{"a100", 2}, {"l40s", 9}, {"l4", 22}}, true, true},
      {"lockside c", 80, {{"a100", 2}, {"l40s", 15}, {"l4", 12}}, true, true},
      {"rhannau a", 80, {{"a100", 3}, {"v100", 14}, {"l4", 16}}, true, true},
      {"rhannau b", 80, {{"a100", 2}, {"v100", 24}, {"l4", 9}}, true, true},
      {"rhannau c", 80, {{"a100", 4}, {"v100", 10}, {"l4", 11}}, true, true},
  };
  return All;
}

/// Data centres of known sites, and others that test the limits of the planner.
inline const std::vector<Deployment> &deployments() {
  static const std::vector<Deployment> All = {
      {"karratha", 80, {{"h100", 1}, {"a100s", 1}, {"l4", 5}, {"t4", 7}}, true, true},
      {"port-hedland", 80, {{"a100s", 1}, {"l4", 8}, {"t4", 3}}, true, true},
      {"newman", 80, {{"a100s", 2}, {"l4", 4}, {"t4", 7}}, true, true},
      {"no fast kind", 80, {{"l4", 6}, {"t4", 12}}, true, true},
      {"one kind", 80, {{"l4", 14}}, true, true},
      {"holds everything", 80, {{"huge", 3}}, true, true},
      {"few layers", 12, {{"l4", 2}, {"t4", 2}}, true, true},
      {"many layers", 126, {{"h100", 3}, {"l4", 12}}, true, true},
      {"just enough", 80, {{"l4", 8}}, true, false},
      {"too little memory", 80, {{"t4", 6}}, false, false},
      {"none", 80, {}, false, false},
  };
  return All;
}

} // namespace rattancart::test
