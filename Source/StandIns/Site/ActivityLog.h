#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattancart {

/// One write of an answer without end, and all that an endpoint sends of such answers at most.
inline constexpr std::size_t EndlessPiece = 256 * 1024;
inline constexpr std::size_t MaxEndlessBytes = 64 * 1024 * 1024;

/// What the endpoints of a site have run, as they saw it.
struct ActivityLog {
  /// Runs of each request id, by endpoint.
  std::map<std::string, std::vector<std::string>> Executions_;
  /// Requests that were turned away, by the engine at fault.
  std::map<std::string, std::size_t> Refusals_;
  /// Bookings by request id.
  std::set<std::string> Bookings_;
  /// Bytes that were sent of answers without end.
  std::size_t EndlessBytesSent_ = 0;
  /// What broke the protocol: a layer left out, a wrong customer, an unknown path.
  std::vector<std::string> ProtocolErrors_;
};

} // namespace rattancart
