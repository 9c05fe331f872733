#pragma once

#include "Core/Recovery/EndpointSlowStart.h"
#include "Core/Serving/EndpointRoster.h"
#include "Core/Serving/ServingIndex.h"

namespace rattancart {

/// Whether the endpoint gets its requests gradually after it started or recovered: a plain endpoint
/// does, an engine only where callers compete for memory, since otherwise it takes all that is sent
/// to it. Thread-safe.
bool usesSlowStart(const EndpointRecord &Record, const ServingIndex &Config);

/// What the slow start is to know of an endpoint. WallNow is the wall-clock time at Now; the start
/// of an endpoint's run is given in ms of the Unix epoch. Thread-safe.
EndpointCondition conditionOf(const EndpointRecord &Record, WallTime WallNow, TimePoint Now);

/// The number of requests of that many tokens times layers that the endpoint can run at once, by
/// its slots and its memory. Thread-safe.
double requestCapacity(const EndpointRecord &Record, double TokenLayers);

} // namespace rattancart
