#pragma once

#include "Core/Common/Clock.h"

#include <cstdint>

namespace rattancart {

/// Tracks the time between the events of one stream: when it has been silent for so long that its
/// engines should be checked, and how long its longest pause was.
///
/// The loss of an engine in the middle of a stream shows only by missing events. The engines are
/// checked after a few times the usual gap between events. That is early enough to continue on
/// other engines before the pause counts as late, and late enough that an engine that prefills the
/// prompt of another request does not cause a check. Not thread-safe.
class StreamMonitor {
public:
  /// The request was sent, for the first time or again.
  void recordSent(TimePoint Now);
  /// The head of the answer has arrived.
  void recordHead(TimePoint Now);
  /// An event has arrived.
  void recordEvent(TimePoint Now);
  /// The engines were checked, and all of them answered.
  void recordEnginesAlive(TimePoint Now);

  /// Whether the stream has been silent for so long that its engines should be checked.
  bool isCheckDue(TimePoint Now) const { return Now >= CheckAt_; }
  /// Time since the request was sent or anything arrived.
  Duration silenceDuration(TimePoint Now) const { return Now - ProgressAt_; }
  /// Whether the silence is so long that the connection must be lost if all engines answer.
  bool isConnectionLost(TimePoint Now) const;
  /// Answers of an engine from before this time do not show that it still works: the next event was
  /// not due yet, or the engines were checked since.
  TimePoint evidenceSince() const;
  /// When the silence exceeded the allowed time. Reports of an engine from then on describe its
  /// state during the silence.
  TimePoint silentSince() const { return ProgressAt_ + allowedSilence(); }
  TimePoint progressAt() const { return ProgressAt_; }

  std::uint64_t events() const { return Events_; }
  TimePoint firstEventAt() const { return FirstEventAt_; }
  Duration longestPause() const { return LongestPause_; }
  /// The number of events before the longest pause.
  std::uint64_t eventsBeforePause() const { return EventsBeforePause_; }

private:
  Duration allowedSilence() const;

  TimePoint ProgressAt_{};
  TimePoint CheckAt_{};
  TimePoint CheckedAt_{};
  TimePoint FirstEventAt_{};
  TimePoint LastEventAt_{};
  /// Running mean of the time between events.
  Duration UsualGap_{};
  Duration LongestPause_{};
  std::uint64_t Events_ = 0;
  std::uint64_t EventsBeforePause_ = 0;
};

} // namespace rattancart
