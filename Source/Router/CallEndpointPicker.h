#pragma once

#include "Core/Common/Ids.h"
#include "Core/Membership/EndpointTable.h"
#include "Core/Recovery/CircuitBreaker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>

namespace rattancart {

/// The endpoint that a call is sent to.
struct PickedEndpoint {
  EndpointId Id_;
  NetAddress Address_;
};

/// Picks endpoints for calls of plain services: of two random endpoints it takes the one with less
/// load. Endpoints of the router's own data centre are preferred. Also counts the calls that this
/// router has in flight on each endpoint. Not thread-safe.
class CallEndpointPicker {
public:
  /// Precondition: Table and Random outlive this object.
  CallEndpointPicker(const EndpointTable &Table, std::mt19937_64 &Random, DataCenterId Local);

  /// Picks an endpoint of Service that may take work now and is not in Tried. An endpoint whose
  /// circuit is open is picked only if there is no other.
  std::optional<PickedEndpoint> pick(const ServiceId &Service, const std::set<EndpointId> &Tried,
                                     TimePoint Now);
  /// Counts a call that is being sent to the endpoint.
  void sendStarted(const EndpointId &Id, TimePoint Now);
  /// Counts the end of a call's send, whether or not it succeeded. Reachable: whether the endpoint
  /// answered at all; this may open or close its circuit.
  void sendEnded(const EndpointId &Id, bool Reachable, TimePoint Now);
  /// The calls that this router has in flight on each endpoint.
  const std::map<EndpointId, std::uint32_t> &inFlight() const { return InFlight_; }

  /// The phase of the endpoint's circuit.
  CircuitPhase circuitPhase(const EndpointId &Id) const { return Circuits_.phase(Id); }

private:
  std::uint64_t loadOf(const Endpoint &Candidate) const;

  const EndpointTable &Table_;
  std::mt19937_64 &Random_;
  DataCenterId Local_;
  std::map<EndpointId, std::uint32_t> InFlight_;
  CircuitBreakers Circuits_;
};

} // namespace rattancart
