#pragma once

#include "Core/Common/Ids.h"
#include "Core/Membership/Endpoint.h"

namespace rattancart {

/// What a control process tells others about itself.
struct ControlIdentity {
  InstanceId Instance_;
  DataCenterId DataCenter_;
  Incarnation Incarnation_;
  NetAddress AdminAddress_;
};

} // namespace rattancart
