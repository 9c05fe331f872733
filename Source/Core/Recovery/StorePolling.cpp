#include "Core/Recovery/StorePolling.h"

#include <algorithm>
#include <utility>

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
/// Entries that expired during an outage reappear within this time after its end if the endpoint is
/// alive. This is a property of the platform.
constexpr Duration ReappearTime = std::chrono::seconds(2);
/// An outage counts as ended at the first answer, but no later than this after the store was last
/// found out of reach. Without this limit, an endpoint that left as planned soon after the outage
/// would be used for longer the later this process notices the end of the outage.
constexpr Duration MaxReturnDelay = std::chrono::milliseconds(900);
/// Minimum time between two reads of the list while entries may reappear.
constexpr Duration ReappearInterval = std::chrono::milliseconds(300);
/// Spreads the listings of all gateways after a return of the store over this time. A part of the
/// time within which a configuration must be in force.
constexpr Duration MaxRelistDelay = std::chrono::milliseconds(250);
/// How long the store holds a read of the list that finds no record.
constexpr Duration ListWait = std::chrono::milliseconds(500);
/// Time for a read that fails and the next one.
constexpr Duration FailedReadTime = std::chrono::milliseconds(1500);
/// Limits of the time between two reads of the list.
constexpr Duration MinListInterval = std::chrono::milliseconds(900);
constexpr Duration MaxListInterval = std::chrono::milliseconds(5000);
/// Time for the answer after the wait, and for decoding a large configuration.
constexpr Duration ConfigReadTime = std::chrono::milliseconds(1000);
/// Limits of the wait for a new configuration.
constexpr Duration MinConfigWait = std::chrono::milliseconds(1000);
constexpr Duration MaxConfigWait = std::chrono::milliseconds(10000);

} // namespace

PollTiming listPollTiming(const FreshnessBounds &Bounds) {
  return {ListWait, std::clamp(Bounds.Leaving_ - FailedReadTime, MinListInterval, MaxListInterval)};
}

PollTiming configPollTiming(const FreshnessBounds &Bounds) {
  return {std::clamp(Bounds.Configuration_ - ConfigReadTime, MinConfigWait, MaxConfigWait),
          Duration{}};
}

Duration relistDelay(std::mt19937 &Random) {
  return Duration(std::uniform_int_distribution<Duration::rep>(0, MaxRelistDelay.count())(Random));
}

Duration StoreBackoff::afterFailure(std::mt19937 &Random) {
  const Duration Base =
      std::min(MinRetryWait * (1 << std::min(Failures_, MaxDoublings)), MaxRetryWait);
  ++Failures_;
  return Base * std::uniform_int_distribution<int>(50, 100)(Random) / 100;
}

bool OutageDetector::onAnswered(TimePoint Now) {
  FailuresInRow_ = 0;
  AnsweredAt_ = Now;
  if (std::exchange(Reachable_, true))
    return false;
  OutageEndedAt_ = std::min(Now, UnreachableAt_ + MaxReturnDelay);
  return true;
}

bool OutageDetector::onFailed(TimePoint UnreachableAt) {
  // A call that began in an outage may fail long after the outage ended.
  if (UnreachableAt <= AnsweredAt_)
    return false;
  UnreachableAt_ = std::max(UnreachableAt_, UnreachableAt);
  return ++FailuresInRow_ >= OutageFailures && std::exchange(Reachable_, false);
}

std::optional<TimePoint> OutageDetector::entriesMayReappearUntil(TimePoint Now) const {
  if (!Reachable_)
    return Now + ReappearTime;
  if (!OutageEndedAt_ || Now >= *OutageEndedAt_ + ReappearTime)
    return std::nullopt;
  return *OutageEndedAt_ + ReappearTime;
}

Duration OutageDetector::listInterval(Duration Usual, TimePoint Now) const {
  return entriesMayReappearUntil(Now) ? std::min(ReappearInterval, Usual) : Usual;
}

} // namespace rattancart
