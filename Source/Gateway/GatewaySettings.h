#pragma once

#include "Config/ProcessSettings.h"
#include "Core/Recovery/EndpointSlowStart.h"
#include "Core/Recovery/ProbeVerdict.h"
#include "Core/Recovery/RetryShare.h"
#include "Core/Recovery/StorePolling.h"
#include "Gateway/ResponseLimits.h"

#include <vector>

namespace rattancart {

/// Process settings of rattancart-gateway; docs/SETTINGS.md describes each field.
struct GatewaySettings {
  ProcessSettings Process_;
  /// Where callers connect.
  NetAddress Listen_;
  /// Where /readyz, /v1/state, /healthz and /metrics are served.
  NetAddress StateListen_;
  /// A second address that serves the same, for scrapers that can't reach the first; may be empty.
  NetAddress MetricsListen_;
  /// Where datagrams of other gateways are received.
  NetAddress PeerListen_;
  /// Address of the platform's store.
  NetAddress Store_;
  FreshnessBounds Freshness_;
  /// The number of gateways in each data centre that read the store for the others; 0 if each reads
  /// for itself.
  std::size_t StoreReaders_ = 0;
  std::vector<DataCenterId> DataCenters_;
  RetryShareOptions Retries_;
  SlowStartOptions SlowStart_;
  DetectionOptions Detection_;
  ResponseLimits ResponseLimits_;
  /// After the start of the process, requests wait this long at most for its configuration and the
  /// list of endpoints.
  Duration StartupMaxWait_{};
  /// A shutdown keeps accepting requests for this long, until the load balancer has noticed it.
  Duration ShutdownGrace_ = std::chrono::seconds(2);
  /// A shutdown aborts the requests that are still in flight after this time.
  Duration ShutdownLimit_ = std::chrono::seconds(7);
};

/// Reads and checks a settings file. The result is valid only if Faults stays empty.
GatewaySettings loadGatewaySettings(const std::string &File, SettingsFaults &Faults);

} // namespace rattancart
