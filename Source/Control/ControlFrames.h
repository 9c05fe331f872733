#pragma once

#include "Control/ControlIdentity.h"
#include "Control/LocalState.h"

#include "Frames_generated.h"

namespace rattancart {

/// The hello frame of a control process. Thread-safe.
wire::HelloT makeControlHello(const ControlIdentity &Identity, const LocalState &State);
/// The heartbeat of a control process, without sequence and echo, which the link fills in.
wire::HeartbeatT makeControlHeartbeat(const LocalState &State);
/// The customers' demand that a heartbeat reports. Thread-safe.
std::vector<CustomerDemand> demandOf(const wire::HeartbeatT &Beat);

} // namespace rattancart
