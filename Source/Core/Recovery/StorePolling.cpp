#include "Core/Recovery/StorePolling.h"

#include <algorithm>

namespace rattancart {

namespace {

/// Range of the waits between failed calls. The store counts refused calls like any others.
constexpr Duration MinRetryWait = std::chrono::milliseconds(250);
constexpr Duration MaxRetryWait = std::chrono::milliseconds(1000);
/// Limits the exponent; after this many doublings a wait has reached its limit in any case.
constexpr std::uint32_t MaxDoublings = 8;
/// The number of consecutive failed calls that counts as an outage. A single failure does not,
/// since single answers get lost.
constexpr std::uint32_t OutageFailures = 2;
/// Entries that expired during an outage reappear within about this time after its end.
constexpr Duration RelistTime = std::chrono::milliseconds(2500);

} // namespace

Duration StoreBackoff::afterFailure(std::mt19937 &Random) {
  const Duration Base =
      std::min(MinRetryWait * (1 << std::min(Failures_, MaxDoublings)), MaxRetryWait);
  ++Failures_;
  return Base * std::uniform_int_distribution<int>(50, 100)(Random) / 100;
}

std::optional<bool> OutageDetector::onCallEnded(bool Answered, TimePoint Now) {
  if (Answered) {
    FailuresInRow_ = 0;
    if (Reachable_)
      return std::nullopt;
    Reachable_ = true;
    OutageEndedAt_ = Now;
    return true;
  }
  if (++FailuresInRow_ < OutageFailures || !Reachable_)
    return std::nullopt;
  Reachable_ = false;
  return false;
}

bool OutageDetector::entriesMayReappear(TimePoint Now) const {
  return !Reachable_ || (OutageEndedAt_ && Now - *OutageEndedAt_ < RelistTime);
}

} // namespace rattancart
