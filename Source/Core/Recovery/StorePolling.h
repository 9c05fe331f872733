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

/// The times within which changes in the store must take effect in this process.
struct FreshnessBounds {
  /// An endpoint that is leaving gets no new requests.
  Duration Leaving_ = std::chrono::milliseconds(2000);
  /// A new configuration is in force.
  Duration Configuration_ = std::chrono::milliseconds(2000);
};

/// The list changes many times a second, so that each read finds records and the number of reads
/// follows from the interval alone. It is as long as the bound allows if one read fails.
/// Thread-safe.
PollTiming listPollTiming(const FreshnessBounds &Bounds);
/// The configuration changes rarely, so its reads wait in the store. The store may answer a read
/// that began while a record was being written only at the end of its wait, so the wait is shorter
/// than the bound. Thread-safe.
PollTiming configPollTiming(const FreshnessBounds &Bounds);

/// How long a gateway waits before it lists everything anew after the store has returned from a
/// copy. Random, since all gateways do so at the same time. Thread-safe if Random is.
Duration relistDelay(std::mt19937 &Random);

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

/// Detects from the results of calls whether the store can be reached, and until when entries of
/// the list that disappeared in an outage may reappear. Not thread-safe.
class OutageDetector {
public:
  /// Reports a call that was answered at Now. Returns whether that ended an outage.
  bool onAnswered(TimePoint Now);
  /// Reports a failed call. UnreachableAt: when the store is known to have been out of reach, which
  /// is the start of a call without any answer and the end of a call that was refused. Returns
  /// whether an outage has begun.
  bool onFailed(TimePoint UnreachableAt);
  /// The store has returned from a copy, which is known since Now: entries that were written after
  /// the copy are missing until their endpoints have written them again.
  void onReturned(TimePoint Now) { OutageEndedAt_ = Now; }
  /// The time until which an entry that is missing from the list now may reappear, since it may
  /// only have expired in the last outage; nothing if a missing entry is gone.
  std::optional<TimePoint> entriesMayReappearUntil(TimePoint Now) const;
  /// The minimum time between two reads of the list, whose usual value is Usual. It is short while
  /// entries may reappear.
  Duration listInterval(Duration Usual, TimePoint Now) const;

private:
  std::uint32_t FailuresInRow_ = 0;
  bool Reachable_ = true;
  TimePoint AnsweredAt_{};
  TimePoint UnreachableAt_{};
  /// The latest time at which the last outage can have ended.
  std::optional<TimePoint> OutageEndedAt_;
};

} // namespace rattancart
