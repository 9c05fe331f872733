#pragma once

#include "Config/SettingsFault.h"
#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"
#include "Core/Settings/SettingsView.h"

#include <cstdint>
#include <string>
#include <vector>

/// What rattancart-load is asked to do; docs/MEASUREMENTS.md shows experiment files.
namespace rattancart {

/// Equal engines of one accelerator kind.
struct EngineGroup {
  std::string Kind_;
  std::uint32_t Count_ = 1;
  LayerRange Layers_;
  LoadReport Speed_;
};

/// A part of the arrivals.
struct CustomerMix {
  CustomerId Customer_;
  /// The customer's arrivals relative to the others'.
  double Part_ = 1;
  PriorityClass Priority_{1};
  double Weight_ = 1;
};

enum class AdmissionMode : std::uint8_t {
  /// The product's: fair queue, ageing, early refusal.
  Fair,
  /// First come, first served, nobody refused; a baseline.
  Arrival,
};

/// One load of a pipeline experiment; each is run with every policy.
struct LoadCase {
  std::string Name_;
  /// Offered load by the bound, in percent.
  double LoadPercent_ = 100;
  AdmissionMode Admission_ = AdmissionMode::Fair;
  bool OwnPolicyOnly_ = false;
};

/// Pipelines over modelled engines.
struct PipelineExperiment {
  ModelSpec Model_;
  std::uint32_t PromptTokens_ = 128;
  std::uint32_t NewTokens_ = 64;
  std::vector<EngineGroup> Groups_;
  std::uint32_t Routers_ = 9;
  /// Sequences in flight over all routers, by the sum of all engines' batch slots.
  double SlotsFactor_ = 1;
  Duration ReportInterval_ = std::chrono::milliseconds(500);
  Duration ReportLag_ = std::chrono::milliseconds(500);
  /// One way between a router and an engine.
  Duration RouterDelay_ = std::chrono::microseconds(250);
  /// From the arrival to the last token.
  Duration Deadline_ = std::chrono::seconds(30);
  std::vector<CustomerMix> Customers_;
  std::vector<LoadCase> Cases_;
};

/// Idempotent calls to plain endpoints of which some are dead.
struct CallExperiment {
  std::uint32_t Endpoints_ = 30;
  /// Die in the middle of the run.
  std::uint32_t Dead_ = 10;
  std::uint32_t Routers_ = 9;
  double CallsPerSecond_ = 500;
  std::uint32_t RetryPercent_ = 10;
  std::uint32_t MaxAttempts_ = 4;
};

/// One customer's limit over many routers while its demand moves.
struct LimitExperiment {
  std::uint32_t DataCenters_ = 3;
  std::uint32_t RoutersEach_ = 3;
  double RequestsPerSecond_ = 100;
  /// Offered by the limit.
  double LoadPercent_ = 300;
  /// How often the demand moves to other routers.
  Duration MoveEvery_ = std::chrono::seconds(10);
};

enum class ExperimentKind : std::uint8_t { Pipeline, Calls, Limits, Http };

/// One kind of request that is sent to routers.
struct RequestMix {
  std::string Name_;
  std::string Method_;
  std::string Path_;
  /// "{n}" stands for the request's number.
  std::string Body_;
  /// Sent as idempotency-key if set; "{n}" as above.
  std::string Key_;
  double Part_ = 1;
};

/// A change of a stand-in's faults during the run.
struct TimedFault {
  Duration At_{};
  NetAddress Address_;
  std::string Body_;
};

/// Requests to running routers.
struct HttpExperiment {
  std::vector<NetAddress> Routers_;
  double RequestsPerSecond_ = 10;
  bool Constant_ = false;
  Duration Timeout_ = std::chrono::seconds(30);
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
  /// Left out of the figures.
  Duration WarmUp_ = std::chrono::seconds(10);
  PipelineExperiment Pipeline_;
  CallExperiment Calls_;
  LimitExperiment Limits_;
  HttpExperiment Http_;
};

/// Reads and checks an experiment file. The result counts only if Faults stays empty.
Experiment loadExperiment(const std::string &File, SettingsFaults &Faults);

} // namespace rattancart
