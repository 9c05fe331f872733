#pragma once

#include "Config/ProcessSettings.h"
#include "Net/HttpServer.h"

#include <string>
#include <vector>

namespace rattancart {

/// Process settings of rattancart-control; docs/SETTINGS.md describes each field.
struct ControlSettings {
  ProcessSettings Process_;
  /// Where routers and other control processes open frame connections.
  NetAddress FrameListen_;
  /// Where the administration API, /v1/state, /healthz, /readyz and /metrics are served.
  NetAddress AdminListen_;
  NetAddress Platform_;
  /// Frame addresses of the other control processes.
  std::vector<NetAddress> Peers_;
  /// All data centres of the deployment; this process's own is added if it is missing.
  std::vector<DataCenterId> DataCenters_;
  /// Hash of the token that may write everything until operators are configured.
  std::string BootstrapTokenHash_;
  Duration PlatformTimeout_ = std::chrono::seconds(2);
  Duration EndpointPoll_ = std::chrono::milliseconds(500);
  Duration ListPoll_ = std::chrono::seconds(1);
};

/// Reads and checks a settings file. The result is valid only if no fault was added to Faults.
ControlSettings loadControlSettings(const std::string &File, SettingsFaults &Faults);

} // namespace rattancart
