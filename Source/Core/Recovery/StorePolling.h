#pragma once

#include "Core/Common/Clock.h"

#include <cstdint>
#include <optional>
#include <random>

namespace rattancart {

/// How a topic of the store is followed.
struct PollTiming {
  /// How long a read waits in the store for a record.
  Duration Wait_;
  /// Least time between the starts of two reads.
  Duration Interval_;
};

/// The configuration changes seldom, so its reads wait in the store. Well below the time in which a
/// change must be in force, so that a silent connection is noticed in time.
inline constexpr PollTiming ConfigPollTiming{std::chrono::milliseconds(2000), Duration{}};
/// The list changes many times a second; an endpoint that leaves must be known within 2 s.
inline constexpr PollTiming ListPollTiming{std::chrono::milliseconds(500),
                                           std::chrono::milliseconds(900)};

/// The waits between failed calls to the store. Not thread-safe.
class StoreBackoff {
public:
  /// The wait after a failed call: twice as long after each further one up to a limit, and
  /// different by up to half between gateways, which are refused together when the store's calls
  /// are used up.
  Duration afterFailure(std::mt19937 &Random);
  /// A call was answered.
  void succeeded() { Failures_ = 0; }

private:
  std::uint32_t Failures_ = 0;
};

/// Tells from the ends of calls whether the store is away. Not thread-safe.
class OutageDetector {
public:
  /// A call has ended. Returns whether the store can be reached if that has changed.
  std::optional<bool> onCallEnded(bool Answered, TimePoint Now);
  /// Whether entries that disappear now may only have lapsed in an outage and come back.
  bool entriesMayReappear(TimePoint Now) const;

private:
  std::uint32_t FailuresInRow_ = 0;
  bool Reachable_ = true;
  std::optional<TimePoint> OutageEnd_;
};

} // namespace rattancart
