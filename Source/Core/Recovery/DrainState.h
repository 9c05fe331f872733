#pragma once

#include "Core/Common/Clock.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace rattancart {

enum class DrainPhase : std::uint8_t {
  /// Serves and says so to the balancer.
  Ready,
  /// Says that it is not ready, and still takes what the balancer sends.
  Announcing,
  /// Takes nothing new and finishes what is in flight.
  Draining,
  /// May exit.
  Finished,
};

struct DrainOptions {
  /// How long the balancer may go on sending after the process says that it is not ready.
  Duration BalancerLag_ = std::chrono::seconds(2);
  /// From the start of the shutdown; what is then in flight is cut off.
  Duration Deadline_ = std::chrono::seconds(60);
};

/// The phases of a graceful shutdown. Phases only rise. Not thread-safe.
class DrainState {
public:
  explicit DrainState(DrainOptions Options);
  ~DrainState();
  DrainState(const DrainState &) = delete;
  DrainState &operator=(const DrainState &) = delete;

  /// Starts the shutdown; a second call ends it at once.
  void request(std::size_t InFlight, TimePoint Now);
  /// Moves on as time passes and requests end. Call it on each end and at least each 100 ms.
  void tick(std::size_t InFlight, TimePoint Now);

  DrainPhase phase() const;
  /// What the readiness check answers.
  bool isReady() const { return phase() == DrainPhase::Ready; }
  /// Whether new requests are taken.
  bool takesRequests() const { return phase() <= DrainPhase::Announcing; }
  /// Requests that were in flight when the shutdown ended before they did.
  std::size_t cutOff() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace rattancart
