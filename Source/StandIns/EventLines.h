#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstdint>
#include <string>

/// Lines of the history that engine and service stand-ins have in common.
namespace rattancart {

/// Where and when an event happened.
struct EventOrigin {
  EndpointId Endpoint_;
  Incarnation Incarnation_{0};
  WallTime At_{};
};

/// Converts a time to microseconds since the epoch. Thread-safe.
std::int64_t microsecondsSinceEpoch(WallTime At);
/// The line for an endpoint that begins to leave or is live again. Thread-safe.
std::string leavingLine(const EventOrigin &Origin, bool Leaving);
/// The line for new work that arrived at a leaving endpoint. Thread-safe.
std::string newWorkLine(const EventOrigin &Origin, const RequestId &Request);

} // namespace rattancart
