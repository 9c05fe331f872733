#include "Router/CallEndpoints.h"

#include <utility>
#include <vector>

namespace rattancart {

CallEndpoints::CallEndpoints(const EndpointTable &Table, std::mt19937_64 &Random,
                             DataCenterId Local)
    : Table_(Table), Random_(Random), Local_(std::move(Local)) {}

std::uint64_t CallEndpoints::loadOf(const Endpoint &Candidate) const {
  const auto Own = InFlight_.find(Candidate.Id_);
  const std::uint64_t Sent = Own == InFlight_.end() ? 0 : Own->second;
  return Sent + Candidate.Load_.Active_ + Candidate.Load_.Queued_;
}

std::optional<PickedEndpoint>
CallEndpoints::pick(const ServiceId &Service, const std::set<EndpointId> &Tried, TimePoint Now) {
  std::vector<const Endpoint *> Near;
  std::vector<const Endpoint *> Far;
  std::vector<const Endpoint *> Failing;
  for (const Endpoint *Candidate : Table_.liveServices(Service)) {
    if (Tried.contains(Candidate->Id_))
      continue;
    if (!Circuits_.mayPass(Candidate->Id_, Now))
      Failing.push_back(Candidate);
    else
      (Candidate->DataCenter_ == Local_ ? Near : Far).push_back(Candidate);
  }
  // With every circuit open, a call that may fail is better than one that is refused unsent.
  const std::vector<const Endpoint *> &Choice = !Near.empty() ? Near : !Far.empty() ? Far : Failing;
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

void CallEndpoints::begun(const EndpointId &Id, TimePoint Now) {
  ++InFlight_[Id];
  // Takes the trial of a half-open circuit; pick has already asked whether it may pass.
  Circuits_.tryPass(Id, Now);
}

void CallEndpoints::ended(const EndpointId &Id, bool Reachable, TimePoint Now) {
  if (Reachable)
    Circuits_.succeeded(Id, Now);
  else
    Circuits_.failed(Id, Now);
  const auto Place = InFlight_.find(Id);
  if (Place != InFlight_.end() && --Place->second == 0)
    InFlight_.erase(Place);
}

} // namespace rattancart
