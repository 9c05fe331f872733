#pragma once

#include "Core/Common/Clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace rattancart {

/// A phase of a graceful shutdown.
enum class DrainPhase : std::uint8_t {
  /// Serves requests, and its readiness check succeeds.
  Ready,
  /// The readiness check fails, but requests that the load balancer still sends are taken.
  Announcing,
  /// Takes no new requests and finishes those in flight.
  Draining,
  /// The process may exit.
  Finished,
};

struct DrainOptions {
  /// How long the load balancer may keep sending after the readiness check fails.
  Duration BalancerLag_ = std::chrono::seconds(2);
  /// Longest duration of the shutdown; requests that are still in flight then are cut off.
  Duration Deadline_ = std::chrono::seconds(60);
};

/// The state machine of a graceful shutdown. It never goes back to an earlier phase.
/// Not thread-safe.
class DrainState {
public:
  explicit DrainState(DrainOptions Options);
  ~DrainState();
  DrainState(const DrainState &) = delete;
  DrainState &operator=(const DrainState &) = delete;

  /// Starts the shutdown; a second call ends it immediately.
  void request(std::size_t InFlight, TimePoint Now);
  /// Advances the phase as time passes and requests end. Call it whenever a request ends, and at
  /// least every 100 ms.
  void tick(std::size_t InFlight, TimePoint Now);

  DrainPhase phase() const;
  /// Whether the readiness check succeeds.
  bool isReady() const { return phase() == DrainPhase::Ready; }
  /// Whether new requests are taken.
  bool takesRequests() const { return phase() <= DrainPhase::Announcing; }
  /// The number of requests that were still in flight when the shutdown ended.
  std::size_t cutOff() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace rattancart
