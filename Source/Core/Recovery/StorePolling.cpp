#include "Core/Recovery/StorePolling.h"

#include <algorithm>

namespace rattancart {

namespace {

/// A refusal is priced like any other call.
constexpr Duration RetryLeast = std::chrono::milliseconds(250);
constexpr Duration RetryMost = std::chrono::milliseconds(1000);
/// Doublings after which a wait has surely reached its limit.
constexpr std::uint32_t MostDoublings = 8;
/// Failed calls in a row that count as an outage; single answers get lost.
constexpr std::uint32_t OutageFailures = 2;
/// Entries that lapsed during an outage come back within about this time of its end.
constexpr Duration RelistTime = std::chrono::milliseconds(2500);

} // namespace

Duration StoreBackoff::afterFailure(std::mt19937 &Random) {
  const Duration Base = std::min(RetryLeast * (1 << std::min(Failures_, MostDoublings)), RetryMost);
  ++Failures_;
  return Base * std::uniform_int_distribution<int>(50, 100)(Random) / 100;
}

std::optional<bool> OutageDetector::onCallEnded(bool Answered, TimePoint Now) {
  if (Answered) {
    FailuresInRow_ = 0;
    if (Reachable_)
      return std::nullopt;
    Reachable_ = true;
    OutageEnd_ = Now;
    return true;
  }
  if (++FailuresInRow_ < OutageFailures || !Reachable_)
    return std::nullopt;
  Reachable_ = false;
  return false;
}

bool OutageDetector::entriesMayReappear(TimePoint Now) const {
  return !Reachable_ || (OutageEnd_ && Now - *OutageEnd_ < RelistTime);
}

} // namespace rattancart
