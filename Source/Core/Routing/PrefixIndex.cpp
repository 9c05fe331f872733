#include "Core/Routing/PrefixIndex.h"

#include <algorithm>

namespace rattancart {

namespace {

/// A holder is removed when its confidence falls below this.
constexpr double MinConfidence = 0.05;

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
  const bool IsFirstEvent = State.Sequence_ == 0;
  State.Sequence_ = Event.Sequence_;
  if (Missing > 0 && !IsFirstEvent)
    lowerConfidence(Engine, Missing);
  if (Event.Kind_ == PrefixEvent::Kind::Stored)
    store(Engine, Event.Prefix_);
  else
    evict(Engine, Event.Prefix_);
}

void PrefixIndex::store(const EndpointId &Engine, const std::string &Prefix) {
  const auto [Place, Added] = Prefixes_.try_emplace(Prefix);
  if (Added)
    InsertionOrder_.push_back(Prefix);
  const auto Holder = findHolder(Place->second, Engine);
  if (Holder != Place->second.end()) {
    Holder->Confidence_ = 1;
    return;
  }
  Place->second.push_back({Engine, 1});
  ++Engines_[Engine].HeldPrefixes_;
  removeOldest();
}

void PrefixIndex::evict(const EndpointId &Engine, const std::string &Prefix) {
  const auto Place = Prefixes_.find(Prefix);
  if (Place == Prefixes_.end())
    return;
  const auto Holder = findHolder(Place->second, Engine);
  if (Holder == Place->second.end())
    return;
  Place->second.erase(Holder);
  --Engines_[Engine].HeldPrefixes_;
}

void PrefixIndex::lowerConfidence(const EndpointId &Engine, std::uint64_t Missing) {
  EngineState &State = Engines_[Engine];
  if (State.HeldPrefixes_ == 0)
    return;
  // In a full cache every second event is an eviction, and each entry is equally likely to be
  // evicted.
  const double LostFraction =
      static_cast<double>(Missing) / 2 / static_cast<double>(State.HeldPrefixes_);
  const double KeptFraction = std::max(0.0, 1 - LostFraction);
  for (auto &[Prefix, Holders] : Prefixes_) {
    const auto Holder = findHolder(Holders, Engine);
    if (Holder == Holders.end())
      continue;
    Holder->Confidence_ *= KeptFraction;
    if (Holder->Confidence_ >= MinConfidence)
      continue;
    Holders.erase(Holder);
    --State.HeldPrefixes_;
  }
}

void PrefixIndex::forget(const EndpointId &Engine) {
  for (auto &[Prefix, Holders] : Prefixes_)
    std::erase_if(Holders, [&](const PrefixHolder &Holder) { return Holder.Engine_ == Engine; });
  Engines_.erase(Engine);
}

void PrefixIndex::removeOldest() {
  while (InsertionOrder_.size() > MaxPrefixes_) {
    const auto Place = Prefixes_.find(InsertionOrder_.front());
    for (const PrefixHolder &Holder : Place->second)
      --Engines_[Holder.Engine_].HeldPrefixes_;
    Prefixes_.erase(Place);
    InsertionOrder_.pop_front();
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
