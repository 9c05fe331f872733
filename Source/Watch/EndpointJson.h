#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/EndpointTable.h"

#include <boost/json/array.hpp>

namespace rattancart {

/// The table's endpoints for state dumps and operators, with the age of each record at Now.
boost::json::array endpointsJson(const EndpointTable &Table, TimePoint Now);

} // namespace rattancart
