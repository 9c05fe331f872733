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
  /// Requests that may wait for one model or service.
  std::uint32_t MaxQueued_ = 1024;
  /// An endpoint's record counts for this long after it was last true.
  Duration EndpointFreshness_ = std::chrono::seconds(4);
  /// A shutdown goes on accepting for this long, until the balancer knows.
  Duration ShutdownGrace_ = std::chrono::seconds(2);
  /// A shutdown cuts off what is still in flight after this time.
  Duration ShutdownLimit_ = std::chrono::seconds(60);
};

/// Reads and checks a settings file. The result counts only if Faults stays empty.
RouterSettings loadRouterSettings(const std::string &File, SettingsFaults &Faults);

} // namespace rattancart
