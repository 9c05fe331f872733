#pragma once

#include "Config/SettingsFault.h"
#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"
#include "Core/Settings/SettingsView.h"

#include <cstdint>
#include <string>
#include <vector>

/// The experiments that rattancart-load runs; docs/MEASUREMENTS.md shows experiment files.
namespace rattancart {

/// Identical engines of one accelerator kind.
struct EngineGroup {
  std::string Kind_;
  std::uint32_t Count_ = 1;
  LayerRange Layers_;
  LoadReport Speed_;
};

/// One customer's part of the arrivals.
struct CustomerMix {
  CustomerId Customer_;
  /// Arrival rate relative to that of the other customers.
  double RelativeRate_ = 1;
  PriorityClass Priority_{1};
  double Weight_ = 1;
};

enum class AdmissionMode : std::uint8_t {
  /// As the routers do it: fair queue, ageing, early refusal.
  Fair,
  /// First come, first served, without refusals; a baseline.
  Arrival,
};

/// One load of a pipeline experiment; it is run with every policy.
struct LoadCase {
  std::string Name_;
  /// Offered load in percent of flowCapacity().
  double LoadPercent_ = 100;
  AdmissionMode Admission_ = AdmissionMode::Fair;
  /// Run with PolicyKind::Own only.
  bool OwnPolicyOnly_ = false;
};

/// Simulates pipelines over modelled engines.
struct PipelineExperiment {
  ModelSpec Model_;
  std::uint32_t PromptTokens_ = 128;
  std::uint32_t NewTokens_ = 64;
  std::vector<EngineGroup> Groups_;
  std::uint32_t Routers_ = 9;
  /// Limit of sequences in flight at all routers, relative to the sum of all engines' batch slots.
  double SlotsFactor_ = 1;
  Duration ReportInterval_ = std::chrono::milliseconds(500);
  Duration ReportLag_ = std::chrono::milliseconds(500);
  /// One-way delay between a router and an engine.
  Duration RouterDelay_ = std::chrono::microseconds(250);
  /// From the arrival to the last token.
  Duration Deadline_ = std::chrono::seconds(30);
  std::vector<CustomerMix> Customers_;
  std::vector<LoadCase> Cases_;
};

/// Simulates idempotent calls to plain services of which some die.
struct CallExperiment {
  std::uint32_t Endpoints_ = 30;
  /// Endpoints that die in the middle of the run.
  std::uint32_t DeadEndpoints_ = 10;
  std::uint32_t Routers_ = 9;
  double CallsPerSecond_ = 500;
  std::uint32_t RetryPercent_ = 10;
  std::uint32_t MaxAttempts_ = 4;
};

/// Simulates one customer's limit over many routers while its demand moves between them.
struct LimitExperiment {
  std::uint32_t DataCenters_ = 3;
  std::uint32_t RoutersPerDataCenter_ = 3;
  double RequestsPerSecond_ = 100;
  /// Offered load in percent of the limit.
  double LoadPercent_ = 300;
  /// After this time the demand moves to other routers.
  Duration DemandMoveInterval_ = std::chrono::seconds(10);
};

enum class ExperimentKind : std::uint8_t { Pipeline, Calls, Limits, Http };

/// One kind of request that is sent to routers.
struct RequestMix {
  std::string Name_;
  std::string Method_;
  std::string Path_;
  /// "{n}" is replaced by the request's number.
  std::string Body_;
  /// Sent as idempotency-key, with the experiment's seed appended, if not empty; "{n}" as above.
  std::string Key_;
  double RelativeRate_ = 1;
};

/// A request that sets a stand-in's faults during the run, At_ after its start.
struct TimedFault {
  Duration At_{};
  NetAddress Address_;
  std::string Body_;
};

/// Sends requests to running routers.
struct HttpExperiment {
  std::vector<NetAddress> Routers_;
  double RequestsPerSecond_ = 10;
  /// Constant intervals between requests instead of exponentially distributed ones.
  bool ConstantRate_ = false;
  Duration Timeout_ = std::chrono::seconds(30);
  /// Requests that are due while this many are in flight are skipped.
  std::uint32_t MaxInFlight_ = 2000;
  std::vector<RequestMix> Mix_;
  std::vector<CustomerMix> Customers_;
  std::vector<TimedFault> Faults_;
};

struct Experiment {
  std::string Name_;
  ExperimentKind Kind_ = ExperimentKind::Pipeline;
  std::uint64_t Seed_ = 1;
  Duration Duration_ = std::chrono::seconds(60);
  /// The start of the run that the results leave out.
  Duration WarmUp_ = std::chrono::seconds(10);
  PipelineExperiment Pipeline_;
  CallExperiment Calls_;
  LimitExperiment Limits_;
  HttpExperiment Http_;
};

/// Reads and checks an experiment file. The result is valid only if Faults stays empty.
Experiment loadExperiment(const std::string &File, SettingsFaults &Faults);

} // namespace rattancart
