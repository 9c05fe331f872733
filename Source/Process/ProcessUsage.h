#pragma once

#include <boost/json/object.hpp>

namespace rattancart {

/// Processor time, resident memory and process id of this process, for the state dump.
/// Thread-safe.
boost::json::object processUsage();

} // namespace rattancart
