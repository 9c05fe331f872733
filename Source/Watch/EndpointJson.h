#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/EndpointTable.h"

#include <boost/json/array.hpp>

namespace rattancart {

/// The endpoints of the table as JSON, for state dumps and operators. Now determines the age of
/// each record.
boost::json::array endpointsJson(const EndpointTable &Table, TimePoint Now);

} // namespace rattancart
