#pragma once

#include "Core/Membership/Endpoint.h"

#include "Frames_generated.h"

namespace rattancart {

/// Converts an endpoint's record to its wire form. Age is the time since the record was last known
/// to be true; it is rounded up. Thread-safe.
wire::EndpointInfoT toWire(const Endpoint &Record, Duration Age);
/// Converts a record from its wire form. Thread-safe.
Endpoint fromWire(const wire::EndpointInfoT &Info);

} // namespace rattancart
