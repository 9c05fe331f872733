#include "Router/CallEndpointPicker.h"

#include <utility>
#include <vector>

namespace rattancart {

CallEndpointPicker::CallEndpointPicker(const EndpointTable &Table, std::mt19937_64 &Random,
                                       DataCenterId Local)
    : Table_(Table), Random_(Random), Local_(std::move(Local)) {}

std::uint64_t CallEndpointPicker::loadOf(const Endpoint &Candidate) const {
  const auto Own = InFlight_.find(Candidate.Id_);
  const std::uint64_t Sent = Own == InFlight_.end() ? 0 : Own->second;
  return Sent + Candidate.Load_.Active_ + Candidate.Load_.Queued_;
}

std::optional<PickedEndpoint> CallEndpointPicker::pick(const ServiceId &Service,
                                                       const std::set<EndpointId> &Tried,
                                                       TimePoint Now) {
  std::vector<const Endpoint *> LocalEndpoints;
  std::vector<const Endpoint *> RemoteEndpoints;
  std::vector<const Endpoint *> CircuitOpen;
  for (const Endpoint *Candidate : Table_.liveServices(Service)) {
    if (Tried.contains(Candidate->Id_))
      continue;
    if (!Circuits_.mayPass(Candidate->Id_, Now))
      CircuitOpen.push_back(Candidate);
    else
      (Candidate->DataCenter_ == Local_ ? LocalEndpoints : RemoteEndpoints).push_back(Candidate);
  }
  // If every circuit is open, sending a call that may fail is better than refusing it unsent.
  const std::vector<const Endpoint *> &Choice = !LocalEndpoints.empty()    ? LocalEndpoints
                                                : !RemoteEndpoints.empty() ? RemoteEndpoints
                                                                           : CircuitOpen;
  if (Choice.empty())
    return std::nullopt;
  std::size_t First = 0;
  if (Choice.size() > 1) {
    std::uniform_int_distribution<std::size_t> Any(0, Choice.size() - 1);
    std::uniform_int_distribution<std::size_t> Other(1, Choice.size() - 1);
    First = Any(Random_);
    const std::size_t Second = (First + Other(Random_)) % Choice.size();
    if (loadOf(*Choice[Second]) < loadOf(*Choice[First]))
      First = Second;
  }
  return PickedEndpoint{Choice[First]->Id_, Choice[First]->Address_};
}

void CallEndpointPicker::sendStarted(const EndpointId &Id, TimePoint Now) {
  ++InFlight_[Id];
  // If the circuit is half open, this call is its trial. pick() only asked whether it may pass.
  Circuits_.tryPass(Id, Now);
}

void CallEndpointPicker::sendEnded(const EndpointId &Id, bool Reachable, TimePoint Now) {
  if (Reachable)
    Circuits_.succeeded(Id, Now);
  else
    Circuits_.failed(Id, Now);
  const auto Found = InFlight_.find(Id);
  if (Found != InFlight_.end() && --Found->second == 0)
    InFlight_.erase(Found);
}

} // namespace rattancart
