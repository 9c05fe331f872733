#pragma once

#include "Core/Common/Ids.h"
#include "Core/Membership/Endpoint.h"

namespace rattancart {

/// How a control process identifies itself to other processes.
struct ControlIdentity {
  InstanceId Instance_;
  DataCenterId DataCenter_;
  Incarnation Incarnation_;
  NetAddress AdminAddress_;
};

} // namespace rattancart
