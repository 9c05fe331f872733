#include "BenchTimer.h"

#include "Core/Pipeline/ModelRequest.h"
#include "Core/Routing/AffinityPolicy.h"
#include "Core/Routing/ChainPlanner.h"
#include "Core/Routing/RouteTable.h"

#include <fmt/core.h>
#include <malloc.h>

#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace rattancart;

namespace {

constexpr int Customers = 8300;
constexpr int Models = 16;
constexpr int Engines = 1300;
constexpr std::uint32_t Layers = 64;
constexpr std::uint32_t StagesPerModel = 4;

/// One route for each customer's path and one for each model.
SettingsViewPtr makeView() {
  auto View = std::make_shared<SettingsView>();
  View->Routes_.reserve(Customers + Models);
  for (int Index = 0; Index < Customers + Models; ++Index) {
    Route Result;
    Result.Id_ = RouteId(fmt::format("route-{}", Index));
    Result.Match_.Method_ = "POST";
    Result.Match_.PathPrefix_ = Index < Customers ? fmt::format("/teams/{}/briefs", Index)
                                                  : fmt::format("/models/{}", Index - Customers);
    View->Routes_.push_back(std::move(Result));
  }
  return View;
}

void benchRoutes() {
  const RouteTable Table(makeView());
  std::vector<std::string> Paths;
  Paths.reserve(1024);
  for (int Index = 0; Index < 1024; ++Index)
    Paths.push_back(fmt::format("/teams/{}/briefs/new", Index * 8));
  std::size_t Next = 0;
  std::size_t Found = 0;
  measure("route_match", [&] {
    Found += Table.match({"router.example:8080", "POST", Paths[Next++ % Paths.size()]}) != nullptr;
  });
  if (Found == 0)
    fmt::print(stderr, "no route was found\n");
}

ModelSpec makeSpec(int Model) {
  return {ModelId(fmt::format("model-{}", Model)), ModelVersion("1"), Layers, 8192, 256};
}

void addEngines(EndpointTable &Table, std::mt19937_64 &Random) {
  constexpr std::uint32_t Span = Layers / StagesPerModel;
  for (int Index = 0; Index < Engines; ++Index) {
    Endpoint Engine;
    Engine.Id_ = EndpointId(fmt::format("engine-{}", Index));
    Engine.Kind_ = EndpointKind::Engine;
    Engine.Address_ = NetAddress(fmt::format("10.0.{}.{}:9000", Index / 250, Index % 250));
    // One large model and fifteen small ones.
    const int Model = Index % 2 == 0 ? 0 : Index / 2 % Models;
    Engine.Model_ = makeSpec(Model).Model_;
    Engine.Version_ = ModelVersion("1");
    const std::uint32_t Stage = static_cast<std::uint32_t>(Random() % StagesPerModel);
    Engine.Layers_ = {Stage * Span, (Stage + 1) * Span};
    Engine.Load_.StepTime_ = std::chrono::milliseconds(2 + Random() % 20);
    Engine.Load_.PrefillTime_ = std::chrono::microseconds(100 + Random() % 400);
    Engine.Load_.BatchSlots_ = 16;
    Engine.Load_.Active_ = static_cast<std::uint32_t>(Random() % 24);
    Engine.Load_.LinkBytesPerSecond_ = 1e8;
    Engine.LoadSequence_ = 1;
    Table.apply(Engine, TimePoint{});
  }
}

void benchPlanning() {
  std::mt19937_64 Random(1);
  EndpointTable Table;
  addEngines(Table, Random);
  const EngineLoadEstimator Load;
  PrefixIndex Index(4096);
  for (int Number = 0; Number < 4096; ++Number)
    Index.recordUse(EndpointId(fmt::format("engine-{}", Number % Engines)),
                    fmt::format("prefix-{}", Number));
  ChainPlanner Planner(Table, Load,
                       std::make_unique<AffinityPolicy>(AffinityPolicyOptions{}, Index), Random);
  const ModelSpec Large = makeSpec(0);
  const ModelSpec Small = makeSpec(5);
  std::size_t Stages = 0;
  std::uint32_t Prompt = 0;
  // Prompts differ in length, as callers' do.
  const auto Size = [&] { return SequenceSize{100 + ++Prompt % 100, 250}; };
  measure("plan_chain_large_model", [&] {
    Stages += Planner.plan({Large, Size(), "prefix-2", {}})->Stages_.size();
  });
  measure("plan_chain_small_model", [&] {
    Stages += Planner.plan({Small, Size(), "prefix-2", {}})->Stages_.size();
  });
  if (Stages == 0)
    fmt::print(stderr, "no chain was planned\n");
}

Chain makeChain() {
  Chain Result;
  for (std::uint32_t Stage = 0; Stage < StagesPerModel; ++Stage)
    Result.Stages_.push_back({EndpointId(fmt::format("engine-{}", Stage)),
                              Incarnation(1),
                              NetAddress(fmt::format("10.0.0.{}:9000", Stage)),
                              {Stage * 16, Stage * 16 + 16}});
  return Result;
}

ModelRequest makeRequest(int PromptTokens) {
  TokenSequence Tokens;
  for (int Index = 0; Index < PromptTokens; ++Index)
    Tokens.append("token");
  ModelRequestOptions Options;
  Options.MaxTokens_ = 1U << 30;
  return {RequestId("instance-17-00000000000000000123"), std::move(Tokens), Options};
}

/// The answer to the request's current step.
StepAnswered nextAnswer(const ModelRequest &Request) {
  const StepCall &Call = Request.currentCall();
  const EndpointId &Engine = Request.chain().Stages_[Call.Stage_].Endpoint_;
  StepOutput Output{RequestId("instance-17-00000000000000000123"),
                    Call.Attempt_,
                    Call.Position_,
                    Call.Count_,
                    Engine,
                    {},
                    {}};
  if (Call.Stage_ + 1 == StagesPerModel)
    Output.Token_ = GeneratedToken{"word", false};
  else
    Output.Tensor_ = TensorRef{"t123456", NetAddress("10.0.0.1:9000")};
  return {Call, std::move(Output)};
}

void benchRequestSteps() {
  auto Request = std::make_unique<ModelRequest>(makeRequest(200));
  Request->start();
  Request->handle(ChainPlanned{makeChain()});
  std::size_t Effects = 0;
  measure("machine_step", [&] { Effects += Request->handle(nextAnswer(*Request)).size(); });
  if (Effects == 0)
    fmt::print(stderr, "no step was taken\n");
}

void benchMemory() {
  constexpr int Count = 10000;
  std::vector<ModelRequest> Requests;
  Requests.reserve(Count);
  const std::size_t Before = mallinfo2().uordblks;
  for (int Index = 0; Index < Count; ++Index) {
    Requests.push_back(makeRequest(200));
    Requests.back().start();
    Requests.back().handle(ChainPlanned{makeChain()});
  }
  const std::size_t After = mallinfo2().uordblks;
  fmt::print("request_in_flight_core {} bytes\n", (After - Before) / Count);
}

} // namespace

/// Measures the decisions of the data plane without I/O.
int main() {
  benchRoutes();
  benchPlanning();
  benchRequestSteps();
  benchMemory();
}
