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

/// An endpoint that was picked for a call.
struct PickedEndpoint {
  EndpointId Id_;
  NetAddress Address_;
};

/// Picks endpoints for plain calls: the less loaded of two random ones, those of the own data
/// centre first. Counts what this router has in flight. Not thread-safe.
class CallEndpoints {
public:
  /// Precondition: Table and Random outlive this object.
  CallEndpoints(const EndpointTable &Table, std::mt19937_64 &Random, DataCenterId Local);

  /// An endpoint of Service that may take work now and is not in Tried. One whose circuit is open
  /// is taken only if there is no other.
  std::optional<PickedEndpoint> pick(const ServiceId &Service, const std::set<EndpointId> &Tried,
                                     TimePoint Now);
  /// A call is sent to the endpoint.
  void begun(const EndpointId &Id, TimePoint Now);
  /// The call's sending ended. Reachable: whether the endpoint answered at all.
  void ended(const EndpointId &Id, bool Reachable, TimePoint Now);
  const std::map<EndpointId, std::uint32_t> &inFlight() const { return InFlight_; }

  /// The phase of the endpoint's circuit.
  CircuitPhase circuit(const EndpointId &Id) const { return Circuits_.phase(Id); }

private:
  std::uint64_t loadOf(const Endpoint &Candidate) const;

  const EndpointTable &Table_;
  std::mt19937_64 &Random_;
  DataCenterId Local_;
  std::map<EndpointId, std::uint32_t> InFlight_;
  CircuitBreakers Circuits_;
};

} // namespace rattancart
