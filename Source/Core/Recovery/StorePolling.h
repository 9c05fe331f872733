#pragma once

#include "Core/Common/Clock.h"

#include <cstdint>
#include <optional>
#include <random>

namespace rattancart {

/// How often a topic of the store is read.
struct PollTiming {
  /// How long the store holds a read that finds no record (long polling).
  Duration Wait_;
  /// Minimum time between the starts of two reads.
  Duration Interval_;
};

/// The configuration changes rarely, so its reads wait in the store. The wait is well below the
/// time in which a change must take effect, so that a connection without answers is noticed in
/// time.
inline constexpr PollTiming ConfigPollTiming{std::chrono::milliseconds(2000), Duration{}};
/// The list changes many times a second. A leaving endpoint must be known within 2 s.
inline constexpr PollTiming ListPollTiming{std::chrono::milliseconds(500),
                                           std::chrono::milliseconds(900)};

/// Computes the waits between failed calls to the store. Not thread-safe.
class StoreBackoff {
public:
  /// Returns the wait after a failed call. It doubles with each further failure up to a limit, and
  /// is randomly shortened by up to half: gateways are refused together when the store's limit of
  /// calls is exceeded, and must not retry together.
  Duration afterFailure(std::mt19937 &Random);
  /// A call was answered.
  void succeeded() { Failures_ = 0; }

private:
  std::uint32_t Failures_ = 0;
};

/// Detects from the results of calls whether the store can be reached. Not thread-safe.
class OutageDetector {
public:
  /// Reports the end of a call. Returns whether the store can be reached, if that has changed.
  std::optional<bool> onCallEnded(bool Answered, TimePoint Now);
  /// Whether entries that disappear now may reappear, since they may only have expired in an
  /// outage.
  bool entriesMayReappear(TimePoint Now) const;

private:
  std::uint32_t FailuresInRow_ = 0;
  bool Reachable_ = true;
  std::optional<TimePoint> OutageEndedAt_;
};

} // namespace rattancart
