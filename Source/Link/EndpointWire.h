#pragma once

#include "Core/Membership/Endpoint.h"

#include "Frames_generated.h"

namespace rattancart {

/// An endpoint's record in wire form. Age: how long ago it was last true. Thread-safe.
wire::EndpointInfoT toWire(const Endpoint &Record, Duration Age);
/// The endpoint of a wire record. Thread-safe.
Endpoint fromWire(const wire::EndpointInfoT &Info);

} // namespace rattancart
