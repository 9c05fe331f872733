#include "Load/Experiment.h"

#include "Config/YamlSection.h"

#include <yaml-cpp/yaml.h>

#include <array>
#include <limits>

namespace rattancart {

namespace {

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array<std::string_view, 4> KindNames{"pipeline", "calls", "limits", "http"};
constexpr std::array<std::string_view, 2> AdmissionNames{"fair", "arrival"};
constexpr std::array<std::string_view, 2> ArrivalNames{"poisson", "constant"};
constexpr std::int64_t MaxCount = 1'000'000;
constexpr double MaxReal = 1e15;
constexpr DurationRange UpToOneHour{Duration(0), hours(1)};

std::uint32_t count(YamlSection &Section, std::string_view Name, std::uint32_t Default,
                    std::int64_t Min = 1) {
  return static_cast<std::uint32_t>(Section.number(Name, Default, {Min, MaxCount}));
}

EngineGroup readGroup(YamlSection &Section) {
  EngineGroup Group;
  Group.Kind_ = Section.text("kind", Presence::Required);
  Group.Count_ = count(Section, "count", 1);
  Group.Layers_.Begin_ = count(Section, "layer-begin", 0, 0);
  Group.Layers_.End_ = count(Section, "layer-end", 1);
  Group.Speed_.BatchSlots_ = count(Section, "slots", 8);
  Group.Speed_.StepTime_ =
      Section.duration("step", milliseconds(5), {microseconds(1), seconds(10)});
  Group.Speed_.PrefillTime_ = Section.duration("prefill", microseconds(50), UpToOneHour);
  Group.Speed_.LinkBytesPerSecond_ = Section.real("link-bytes-per-second", 1e9, 1, MaxReal);
  Group.Speed_.LinkDelay_ = Section.duration("link-delay", microseconds(100), UpToOneHour);
  return Group;
}

std::vector<CustomerMix> readCustomers(YamlSection &Root) {
  std::vector<CustomerMix> Customers;
  Root.forEachSection("customers", Presence::Optional, [&](YamlSection &Section) {
    CustomerMix Mix;
    Mix.Customer_ = CustomerId(Section.text("customer", Presence::Required));
    Mix.RelativeRate_ = Section.real("part", 1, 0, MaxReal);
    Mix.Priority_ = PriorityClass(static_cast<std::uint8_t>(Section.number("priority", 1, {0, 9})));
    Mix.Weight_ = Section.real("weight", 1, 1e-3, MaxReal);
    Customers.push_back(Mix);
  });
  if (Customers.empty())
    Customers.push_back({CustomerId("any")});
  return Customers;
}

LoadCase readCase(YamlSection &Section) {
  LoadCase Case;
  Case.Name_ = Section.text("name", Presence::Required);
  Case.LoadPercent_ = Section.real("load-percent", 100, 1, 10000);
  Case.Admission_ = static_cast<AdmissionMode>(Section.choice("admission", 0, AdmissionNames));
  Case.OwnPolicyOnly_ = Section.flag("own-policy-only", false);
  return Case;
}

PipelineExperiment readPipeline(YamlSection &Root) {
  PipelineExperiment Content;
  YamlSection Model = Root.section("model");
  Content.Model_.Model_ = ModelId("model");
  Content.Model_.Version_ = ModelVersion("1");
  Content.Model_.LayerCount_ = count(Model, "layers", 48);
  Content.Model_.ActivationBytes_ = count(Model, "activation-bytes", 16384);
  Content.PromptTokens_ = count(Model, "prompt-tokens", Content.PromptTokens_);
  Content.NewTokens_ = count(Model, "new-tokens", Content.NewTokens_);
  Model.reportUnknownFields();
  Content.Routers_ = count(Root, "routers", Content.Routers_);
  Content.SlotsFactor_ = Root.real("slots-factor", Content.SlotsFactor_, 0.01, 100);
  Content.ReportInterval_ =
      Root.duration("report-interval", Content.ReportInterval_, {milliseconds(1), seconds(60)});
  Content.ReportLag_ = Root.duration("report-lag", Content.ReportLag_, UpToOneHour);
  Content.RouterDelay_ = Root.duration("router-delay", Content.RouterDelay_, UpToOneHour);
  Content.Deadline_ = Root.duration("deadline", Content.Deadline_, {milliseconds(1), hours(1)});
  Root.forEachSection("engines", Presence::Required,
                      [&](YamlSection &Section) { Content.Groups_.push_back(readGroup(Section)); });
  Content.Customers_ = readCustomers(Root);
  Root.forEachSection("cases", Presence::Required,
                      [&](YamlSection &Section) { Content.Cases_.push_back(readCase(Section)); });
  return Content;
}

CallExperiment readCalls(YamlSection &Root) {
  CallExperiment Content;
  Content.Endpoints_ = count(Root, "endpoints", Content.Endpoints_);
  Content.DeadEndpoints_ = count(Root, "dead", Content.DeadEndpoints_, 0);
  Content.Routers_ = count(Root, "routers", Content.Routers_);
  Content.CallsPerSecond_ = Root.real("calls-per-second", Content.CallsPerSecond_, 0.1, 1e6);
  Content.RetryPercent_ = count(Root, "retry-percent", Content.RetryPercent_, 0);
  Content.MaxAttempts_ = count(Root, "max-attempts", Content.MaxAttempts_);
  return Content;
}

LimitExperiment readLimits(YamlSection &Root) {
  LimitExperiment Content;
  Content.DataCenters_ = count(Root, "data-centers", Content.DataCenters_);
  Content.RoutersPerDataCenter_ = count(Root, "routers-each", Content.RoutersPerDataCenter_);
  Content.RequestsPerSecond_ = Root.real("requests-per-second", 100, 0.1, 1e6);
  Content.LoadPercent_ = Root.real("load-percent", Content.LoadPercent_, 1, 10000);
  Content.DemandMoveInterval_ =
      Root.duration("move-every", Content.DemandMoveInterval_, {milliseconds(100), hours(1)});
  return Content;
}

HttpExperiment readHttp(YamlSection &Root) {
  HttpExperiment Content;
  Content.Routers_ = Root.addresses("routers", Presence::Required);
  Content.RequestsPerSecond_ = Root.real("requests-per-second", 10, 0.01, 1e6);
  Content.ConstantRate_ = Root.choice("arrival", 0, ArrivalNames) == 1;
  Content.Timeout_ = Root.duration("timeout", Content.Timeout_, {milliseconds(1), hours(1)});
  Content.MaxInFlight_ = count(Root, "max-in-flight", Content.MaxInFlight_);
  Root.forEachSection("mix", Presence::Required, [&](YamlSection &Section) {
    RequestMix Mix;
    Mix.Name_ = Section.text("name", Presence::Required);
    Mix.Method_ = Section.text("method", Presence::Optional, "POST");
    Mix.Path_ = Section.text("path", Presence::Required);
    Mix.Body_ = Section.text("body", Presence::Optional);
    Mix.Key_ = Section.text("key", Presence::Optional);
    Mix.RelativeRate_ = Section.real("part", 1, 0, MaxReal);
    Content.Mix_.push_back(Mix);
  });
  Content.Customers_ = readCustomers(Root);
  Root.forEachSection("faults", Presence::Optional, [&](YamlSection &Section) {
    TimedFault Fault;
    Fault.At_ = Section.duration("at", Duration(0), {Duration(0), hours(1)});
    Fault.Address_ = Section.address("address", Presence::Required);
    Fault.Body_ = Section.text("body", Presence::Required);
    Content.Faults_.push_back(Fault);
  });
  return Content;
}

} // namespace

Experiment loadExperiment(const std::string &File, SettingsFaults &Faults) {
  Experiment Content;
  YAML::Node Node;
  if (!loadYaml(File, Node, Faults))
    return Content;
  YamlSection Root(Node, File, "", Faults);
  Content.Name_ = Root.text("name", Presence::Required);
  Content.Kind_ = static_cast<ExperimentKind>(Root.choice("kind", 0, KindNames));
  Content.Seed_ = static_cast<std::uint64_t>(
      Root.number("seed", 1, {0, std::numeric_limits<std::int64_t>::max()}));
  Content.Duration_ = Root.duration("duration", Content.Duration_, {milliseconds(100), hours(2)});
  Content.WarmUp_ = Root.duration("warm-up", Content.WarmUp_, {Duration(0), hours(1)});
  switch (Content.Kind_) {
  case ExperimentKind::Pipeline:
    Content.Pipeline_ = readPipeline(Root);
    break;
  case ExperimentKind::Calls:
    Content.Calls_ = readCalls(Root);
    break;
  case ExperimentKind::Limits:
    Content.Limits_ = readLimits(Root);
    break;
  case ExperimentKind::Http:
    Content.Http_ = readHttp(Root);
    break;
  }
  Root.reportUnknownFields();
  return Content;
}

} // namespace rattancart
