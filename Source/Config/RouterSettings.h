#pragma once

#include "Config/ProcessSettings.h"
#include "Net/HttpServer.h"

#include <string>
#include <vector>

namespace rattancart {

/// Process settings of rattancart-router; docs/SETTINGS.md describes each field.
struct RouterSettings {
  ProcessSettings Process_;
  /// Where callers connect.
  NetAddress Listen_;
  /// Where /v1/state, /healthz, /readyz and /metrics are served.
  NetAddress StateListen_;
  /// Frame addresses of control processes, the preferred one first.
  std::vector<NetAddress> Controls_;
  HttpServerOptions Http_;
  /// Maximum number of requests that may wait for one model or service.
  std::uint32_t MaxQueued_ = 1024;
  /// An endpoint's record is used for this long after it was last known to be true.
  Duration EndpointFreshness_ = std::chrono::seconds(4);
  /// A shutdown first accepts requests for this long, until the load balancer has noticed it.
  Duration ShutdownGrace_ = std::chrono::seconds(2);
  /// A shutdown aborts the requests that are still in flight after this time.
  Duration ShutdownLimit_ = std::chrono::seconds(60);
};

/// Reads and checks a settings file. The result is valid only if no fault was added to Faults.
RouterSettings loadRouterSettings(const std::string &File, SettingsFaults &Faults);

} // namespace rattancart
