#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace rattancart {

/// The state of a circuit breaker.
enum class CircuitPhase : std::uint8_t {
  /// All requests pass.
  Closed,
  /// No request passes.
  Open,
  /// One request at a time passes, as a trial.
  HalfOpen,
};

struct CircuitOptions {
  /// The number of consecutive failures that opens the circuit.
  std::uint32_t Failures_ = 5;
  /// How long the circuit stays open; doubles with each failed trial, up to LongestWait_.
  Duration FirstWait_ = std::chrono::seconds(1);
  Duration LongestWait_ = std::chrono::seconds(30);
  /// The number of consecutive successful trials that closes the circuit.
  std::uint32_t Trials_ = 2;
  /// After this time, a trial whose result was not reported no longer blocks the next one.
  Duration TrialTimeout_ = std::chrono::seconds(30);
};

/// Stops requests to one endpoint while it fails. Not thread-safe.
class CircuitBreaker {
public:
  explicit CircuitBreaker(CircuitOptions Options);
  ~CircuitBreaker();
  CircuitBreaker(CircuitBreaker &&) noexcept;
  CircuitBreaker &operator=(CircuitBreaker &&) noexcept;

  /// Whether a request may be sent now. In the half-open phase, true starts a trial whose result
  /// must be reported.
  bool tryPass(TimePoint Now);
  /// Whether tryPass would return true; changes nothing.
  bool mayPass(TimePoint Now) const;
  /// Report the result of a request that passed.
  void succeeded(TimePoint Now);
  void failed(TimePoint Now);

  CircuitPhase phase() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

/// The circuit breakers of all endpoints that failed recently. Requests to other endpoints always
/// pass. Not thread-safe.
class CircuitBreakers {
public:
  explicit CircuitBreakers(CircuitOptions Options = {}) : Options_(Options) {}

  bool tryPass(const EndpointId &Endpoint, TimePoint Now);
  bool mayPass(const EndpointId &Endpoint, TimePoint Now) const;
  void succeeded(const EndpointId &Endpoint, TimePoint Now);
  void failed(const EndpointId &Endpoint, TimePoint Now);
  /// Removes the circuit breaker of an endpoint that is gone or has a new incarnation.
  void forget(const EndpointId &Endpoint) { Circuits_.erase(Endpoint); }
  CircuitPhase phase(const EndpointId &Endpoint) const;
  /// The number of endpoints that have failed and not yet recovered.
  std::size_t size() const { return Circuits_.size(); }

private:
  CircuitOptions Options_;
  std::unordered_map<EndpointId, CircuitBreaker> Circuits_;
};

} // namespace rattancart
