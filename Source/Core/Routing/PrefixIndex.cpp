#include "Core/Routing/PrefixIndex.h"

#include <algorithm>

namespace rattancart {

namespace {

/// A holder that is less certain than this is forgotten.
constexpr double LeastConfidence = 0.05;

std::vector<PrefixHolder>::iterator findHolder(std::vector<PrefixHolder> &Holders,
                                               const EndpointId &Engine) {
  return std::find_if(Holders.begin(), Holders.end(),
                      [&](const PrefixHolder &Holder) { return Holder.Engine_ == Engine; });
}

} // namespace

void PrefixIndex::apply(const EndpointId &Engine, const PrefixEvent &Event) {
  EngineState &State = Engines_[Engine];
  if (Event.Sequence_ <= State.Sequence_)
    return;
  const std::uint64_t Missing = Event.Sequence_ - State.Sequence_ - 1;
  const bool First = State.Sequence_ == 0;
  State.Sequence_ = Event.Sequence_;
  if (Missing > 0 && !First)
    doubt(Engine, Missing);
  if (Event.Kind_ == PrefixEvent::Kind::Stored)
    store(Engine, Event.Prefix_);
  else
    evict(Engine, Event.Prefix_);
}

void PrefixIndex::store(const EndpointId &Engine, const std::string &Prefix) {
  const auto [Place, Added] = Prefixes_.try_emplace(Prefix);
  if (Added)
    Order_.push_back(Prefix);
  const auto Known = findHolder(Place->second, Engine);
  if (Known != Place->second.end()) {
    Known->Confidence_ = 1;
    return;
  }
  Place->second.push_back({Engine, 1});
  ++Engines_[Engine].Held_;
  trim();
}

void PrefixIndex::evict(const EndpointId &Engine, const std::string &Prefix) {
  const auto Place = Prefixes_.find(Prefix);
  if (Place == Prefixes_.end())
    return;
  const auto Known = findHolder(Place->second, Engine);
  if (Known == Place->second.end())
    return;
  Place->second.erase(Known);
  --Engines_[Engine].Held_;
}

void PrefixIndex::doubt(const EndpointId &Engine, std::uint64_t Missing) {
  EngineState &State = Engines_[Engine];
  if (State.Held_ == 0)
    return;
  // In a full cache every second event is an eviction, and it hits any of the entries.
  const double Lost = static_cast<double>(Missing) / 2 / static_cast<double>(State.Held_);
  const double Kept = std::max(0.0, 1 - Lost);
  for (auto &[Prefix, Holders] : Prefixes_) {
    const auto Known = findHolder(Holders, Engine);
    if (Known == Holders.end())
      continue;
    Known->Confidence_ *= Kept;
    if (Known->Confidence_ >= LeastConfidence)
      continue;
    Holders.erase(Known);
    --State.Held_;
  }
}

void PrefixIndex::forget(const EndpointId &Engine) {
  for (auto &[Prefix, Holders] : Prefixes_)
    std::erase_if(Holders, [&](const PrefixHolder &Holder) { return Holder.Engine_ == Engine; });
  Engines_.erase(Engine);
}

void PrefixIndex::trim() {
  while (Order_.size() > MaxPrefixes_) {
    const auto Place = Prefixes_.find(Order_.front());
    for (const PrefixHolder &Holder : Place->second)
      --Engines_[Holder.Engine_].Held_;
    Prefixes_.erase(Place);
    Order_.pop_front();
  }
}

std::span<const PrefixHolder> PrefixIndex::holders(const std::string &Prefix) const {
  const auto Place = Prefixes_.find(Prefix);
  return Place == Prefixes_.end() ? std::span<const PrefixHolder>() : Place->second;
}

double PrefixIndex::confidence(const EndpointId &Engine, const std::string &Prefix) const {
  for (const PrefixHolder &Holder : holders(Prefix))
    if (Holder.Engine_ == Engine)
      return Holder.Confidence_;
  return 0;
}

} // namespace rattancart
