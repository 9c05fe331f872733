#pragma once

#include "Core/Common/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattancart {

/// Size of one chunk of an answer without an end.
inline constexpr std::size_t EndlessChunkBytes = 256 * 1024;
/// Answers without an end stop once the endpoints of a site have sent this many bytes of them.
inline constexpr std::size_t MaxEndlessBytes = 64 * 1024 * 1024;

/// A request that an endpoint received, whether it ran or refused it.
struct ReceivedRequest {
  std::string Id_;
  std::string Endpoint_;
  TimePoint At_;
};

/// A crash of an engine that a part of a prompt caused.
struct PromptCrash {
  std::string Engine_;
  TimePoint At_;
};

/// What the endpoints of a site executed, refused and found wrong, for tests to check.
struct ActivityLog {
  /// All requests of callers that endpoints received, in order.
  std::vector<ReceivedRequest> Arrivals_;
  /// The ids of the endpoints that executed each request id, in order.
  std::map<std::string, std::vector<std::string>> Executions_;
  /// Number of refused requests, by the id of the engine that could not take them.
  std::map<std::string, std::size_t> Refusals_;
  /// By engine: orders for it that another engine refused, which has its address.
  std::map<std::string, std::size_t> MisdirectedOrders_;
  /// The crashes caused by a prompt part, by part, in order.
  std::map<std::string, std::vector<PromptCrash>> PromptCrashes_;
  /// The requests with a prompt part that crashes engines, whether executed or refused, by part, in
  /// the order in which engines received them.
  std::map<std::string, std::vector<ReceivedRequest>> CrashingRequests_;
  /// The request ids of the bookings.
  std::set<std::string> Bookings_;
  /// Bytes sent of answers without an end.
  std::size_t EndlessBytesSent_ = 0;
  /// Requests and orders that broke the protocol: layers missing or out of order, a forwarded
  /// customer key, more layers ordered than fit.
  std::vector<std::string> ProtocolErrors_;
};

} // namespace rattancart
