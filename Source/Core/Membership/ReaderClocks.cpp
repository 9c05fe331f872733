#include "Core/Membership/ReaderClocks.h"

#include <algorithm>

namespace rattancart {

namespace {

/// The best exchange is used for this long; two clocks drift by about 1 ms in this time.
constexpr Duration BestLifetime = std::chrono::seconds(10);
/// Without a newer exchange, the other clock is not known any more.
constexpr Duration OffsetLifetime = std::chrono::seconds(30);
/// A time of the other clock can't be in the future; by more than the drift, one of the clocks was
/// stopped.
constexpr Duration MaxDrift = std::chrono::milliseconds(20);

} // namespace

void ReaderClocks::onExchange(GatewayRun Run, TimePoint SentAt, Duration ReceivedAt,
                              TimePoint Now) {
  if (SentAt > Now)
    return;
  std::erase_if(Offsets_,
                [&](const auto &Entry) { return Now - Entry.second.LearnedAt_ > OffsetLifetime; });
  const Offset Learned{SentAt - ReceivedAt, Now};
  const auto [Known, Added] = Offsets_.emplace(Run, Learned);
  if (!Added &&
      (Learned.Zero_ >= Known->second.Zero_ || Now - Known->second.LearnedAt_ > BestLifetime))
    Known->second = Learned;
}

std::optional<TimePoint> ReaderClocks::earliest(GatewayRun Run, Duration Time,
                                                TimePoint Now) const {
  const auto Known = Offsets_.find(Run);
  if (Known == Offsets_.end() || Now - Known->second.LearnedAt_ > OffsetLifetime)
    return std::nullopt;
  const TimePoint At = Known->second.Zero_ + Time;
  if (At > Now + MaxDrift)
    return std::nullopt;
  return std::min(At, Now);
}

} // namespace rattancart
