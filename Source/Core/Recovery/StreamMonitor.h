#pragma once

#include "Core/Common/Clock.h"

#include <cstdint>

namespace rattancart {

/// The rhythm of one stream: when its silence is worth a look at the engines, and how long it
/// paused.
///
/// Answers losses in the middle of a stream, which show only by missing events: a stream is looked
/// at after a few of its usual gaps, early enough to go on elsewhere before its pause counts as
/// late, and late enough that a prompt being read beside it does not. Not thread-safe.
class StreamMonitor {
public:
  /// The request was sent, at first or again.
  void recordSent(TimePoint Now);
  /// The answer's head has arrived.
  void recordHead(TimePoint Now);
  /// An event has arrived.
  void recordEvent(TimePoint Now);
  /// The engines were looked at and all answered.
  void recordEnginesAlive(TimePoint Now);

  /// Whether the silence is long enough to look at the engines.
  bool isCheckDue(TimePoint Now) const { return Now >= CheckAt_; }
  /// Time since anything arrived.
  Duration silenceDuration(TimePoint Now) const { return Now - ProgressAt_; }
  /// Whether the silence is so long that, with engines that all answer, the connection must have
  /// fallen silent.
  bool isConnectionLost(TimePoint Now) const;
  /// An answer of an engine from before this time does not tell whether it is at fault: the next
  /// event was not due yet, or the engines were looked at since.
  TimePoint evidenceSince() const;
  /// A report younger than this tells about the present silence.
  TimePoint silentSince() const { return ProgressAt_ + allowedSilence(); }
  TimePoint progressAt() const { return ProgressAt_; }

  std::uint64_t events() const { return Events_; }
  TimePoint firstEventAt() const { return FirstEventAt_; }
  Duration longestPause() const { return LongestPause_; }
  /// Events before the longest pause.
  std::uint64_t eventsBeforePause() const { return PauseAfter_; }

private:
  Duration allowedSilence() const;

  TimePoint ProgressAt_{};
  TimePoint CheckAt_{};
  TimePoint LookedAt_{};
  TimePoint FirstEventAt_{};
  TimePoint LastEventAt_{};
  /// Running mean of the time between events.
  Duration UsualGap_{};
  Duration LongestPause_{};
  std::uint64_t Events_ = 0;
  std::uint64_t PauseAfter_ = 0;
};

} // namespace rattancart
