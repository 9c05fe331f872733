#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace rattancart {

enum class CircuitPhase : std::uint8_t {
  /// Requests pass.
  Closed,
  /// No request passes.
  Open,
  /// One request at a time passes, to try the endpoint.
  HalfOpen,
};

struct CircuitOptions {
  /// Failures in a row that open the circuit.
  std::uint32_t Failures_ = 5;
  /// How long it stays open; doubles each time that a trial fails.
  Duration FirstWait_ = std::chrono::seconds(1);
  Duration LongestWait_ = std::chrono::seconds(30);
  /// Trials in a row that close it.
  std::uint32_t Trials_ = 2;
  /// A trial without an end for this long no longer holds others back.
  Duration TrialTimeout_ = std::chrono::seconds(30);
};

/// Keeps requests from one endpoint that fails. Not thread-safe.
class CircuitBreaker {
public:
  explicit CircuitBreaker(CircuitOptions Options);
  ~CircuitBreaker();
  CircuitBreaker(CircuitBreaker &&) noexcept;
  CircuitBreaker &operator=(CircuitBreaker &&) noexcept;

  /// Whether a request may be sent now. A true answer in the half-open phase takes the trial:
  /// report its end.
  bool tryPass(TimePoint Now);
  /// Whether tryPass would say yes; takes nothing.
  bool mayPass(TimePoint Now) const;
  /// Reports the end of a request that passed.
  void succeeded(TimePoint Now);
  void failed(TimePoint Now);

  CircuitPhase phase() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

/// The circuits of all endpoints that failed lately; an endpoint without one passes.
/// Not thread-safe.
class CircuitBreakers {
public:
  explicit CircuitBreakers(CircuitOptions Options = {}) : Options_(Options) {}

  bool tryPass(const EndpointId &Endpoint, TimePoint Now);
  bool mayPass(const EndpointId &Endpoint, TimePoint Now) const;
  void succeeded(const EndpointId &Endpoint, TimePoint Now);
  void failed(const EndpointId &Endpoint, TimePoint Now);
  /// Forgets an endpoint, when it is gone or has a new incarnation.
  void forget(const EndpointId &Endpoint) { Circuits_.erase(Endpoint); }
  CircuitPhase phase(const EndpointId &Endpoint) const;
  /// Endpoints that have failed and not yet recovered.
  std::size_t size() const { return Circuits_.size(); }

private:
  CircuitOptions Options_;
  std::unordered_map<EndpointId, CircuitBreaker> Circuits_;
};

} // namespace rattancart
