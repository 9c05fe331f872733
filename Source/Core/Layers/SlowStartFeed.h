#pragma once

#include "Core/Recovery/EndpointSlowStart.h"
#include "Core/Serving/EndpointRoster.h"

namespace rattancart {

/// What the slow start is to know of an endpoint. WallNow is the wall-clock time at Now; the start
/// of an endpoint's run is given in ms of the Unix epoch. Thread-safe.
EndpointCondition conditionOf(const EndpointRecord &Record, WallTime WallNow, TimePoint Now);

/// The number of requests of that many tokens times layers that the endpoint can run at once, by
/// its slots and its memory. Thread-safe.
double requestCapacity(const EndpointRecord &Record, double TokenLayers);

} // namespace rattancart
