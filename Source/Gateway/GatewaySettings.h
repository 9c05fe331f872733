#pragma once

#include "Config/ProcessSettings.h"
#include "Core/Recovery/RetryShare.h"
#include "Gateway/AnswerLimits.h"

#include <vector>

namespace rattancart {

/// Process settings of rattancart-gateway; docs/SETTINGS.md describes each field.
struct GatewaySettings {
  ProcessSettings Process_;
  /// Where callers connect.
  NetAddress Listen_;
  /// Where /readyz, /v1/state, /healthz and /metrics are served.
  NetAddress StateListen_;
  /// A second address for the same, for scrapers that can't reach the first; may be empty.
  NetAddress MetricsListen_;
  /// Where datagrams of other gateways arrive.
  NetAddress PeerListen_;
  /// The platform's store.
  NetAddress Store_;
  std::vector<DataCenterId> DataCenters_;
  RetryShareOptions Retries_;
  AnswerLimits Answers_;
  /// A shutdown goes on accepting for this long, until the balancer knows.
  Duration ShutdownGrace_ = std::chrono::seconds(2);
  /// A shutdown cuts off what is still in flight after this time.
  Duration ShutdownLimit_ = std::chrono::seconds(7);
};

/// Reads and checks a settings file. The result counts only if Faults stays empty.
GatewaySettings loadGatewaySettings(const std::string &File, SettingsFaults &Faults);

} // namespace rattancart
