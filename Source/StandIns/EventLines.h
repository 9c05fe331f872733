#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstdint>
#include <string>

/// Lines of a stand-in's history that engines and services have in common.
namespace rattancart {

/// Where and when an event happened.
struct EventOrigin {
  EndpointId Endpoint_;
  Incarnation Incarnation_{0};
  WallTime At_{};
};

/// An event's time in microseconds since the epoch. Thread-safe.
std::int64_t eventTime(WallTime At);
/// The endpoint begins to leave, or is live again. Thread-safe.
std::string leavingLine(const EventOrigin &Origin, bool Leaving);
/// New work arrived at a leaving endpoint. Thread-safe.
std::string workLine(const EventOrigin &Origin, const RequestId &Request);

} // namespace rattancart
