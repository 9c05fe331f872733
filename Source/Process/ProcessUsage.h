#pragma once

#include <boost/json/object.hpp>

#include <cstdint>

namespace rattancart {

/// Processor time, resident memory and process id of this process, for the state dump.
/// Thread-safe.
boost::json::object processUsage();

/// Resident memory of this process; 0 if the system does not tell. Thread-safe.
std::uint64_t residentBytes();

} // namespace rattancart
