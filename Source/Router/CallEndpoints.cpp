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

std::optional<PickedEndpoint> CallEndpoints::pick(const ServiceId &Service,
                                                  const std::set<EndpointId> &Tried) {
  std::vector<const Endpoint *> Near;
  std::vector<const Endpoint *> Far;
  for (const Endpoint *Candidate : Table_.liveServices(Service)) {
    if (Tried.contains(Candidate->Id_))
      continue;
    (Candidate->DataCenter_ == Local_ ? Near : Far).push_back(Candidate);
  }
  const std::vector<const Endpoint *> &Choice = Near.empty() ? Far : Near;
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

void CallEndpoints::ended(const EndpointId &Id) {
  const auto Place = InFlight_.find(Id);
  if (Place != InFlight_.end() && --Place->second == 0)
    InFlight_.erase(Place);
}

} // namespace rattancart
