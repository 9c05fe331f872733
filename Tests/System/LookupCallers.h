#pragma once

#include "Tests/System/GatewayDeployment.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace rattancart {

/// A lookup that a caller sent, and the status of the response; 0 if there was none.
struct SentLookup {
  std::string Id_;
  TimePoint SentAt_{};
  Duration Took_{};
  std::uint32_t Status_ = 0;
};

/// Callers that send lookups to gateways at a steady rate, each on a thread of its own.
/// Thread-safe.
class LookupCallers {
public:
  /// Each caller sends a lookup every Interval. The callers are spread evenly over the gateways.
  /// Precondition: Deployment outlives the callers.
  LookupCallers(GatewayDeployment &Deployment, std::size_t Callers, Duration Interval);
  ~LookupCallers();
  LookupCallers(const LookupCallers &) = delete;
  LookupCallers &operator=(const LookupCallers &) = delete;

  /// From now on, all callers send to this gateway.
  void moveAllTo(std::size_t Gateway);
  /// Ends the callers and returns what they sent.
  std::vector<SentLookup> stop();

private:
  void sendLookups(std::size_t Caller);

  GatewayDeployment &Deployment_;
  Duration Interval_;
  SystemClock Time_;
  std::atomic<bool> Stopping_ = false;
  /// The gateway of each caller.
  std::vector<std::atomic<std::size_t>> Gateways_;
  std::mutex Mutex_;
  std::vector<SentLookup> Sent_;
  std::vector<std::thread> Threads_;
};

} // namespace rattancart
