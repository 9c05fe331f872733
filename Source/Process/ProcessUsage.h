#pragma once

#include <boost/json/object.hpp>

#include <cstdint>

namespace rattancart {

/// CPU time, resident memory and id of this process, for the state dump. Thread-safe.
boost::json::object processUsage();

/// Resident memory of this process in bytes; 0 if it can't be determined. Thread-safe.
std::uint64_t residentBytes();

} // namespace rattancart
