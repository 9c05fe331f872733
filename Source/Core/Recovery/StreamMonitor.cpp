#include "Core/Recovery/StreamMonitor.h"

#include <algorithm>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// Silence that is allowed before the first event, and the range of that between later events.
/// Events come every 15 to 60 ms; the first one comes after the prompt was read, within 50 to
/// 100 ms.
constexpr Duration FirstEventTimeout = milliseconds(300);
constexpr Duration MinSilence = milliseconds(80);
constexpr Duration MaxSilence = milliseconds(150);
/// The engines are checked after this many times the usual gap between events.
constexpr int GapsBeforeCheck = 3;
/// The same for a stream with gaps so long that this many of them exceed MaxSilence.
constexpr int GapsBeforeCheckIfSlow = 2;
/// The newest gap has one part in this number of the running mean.
constexpr int GapAverageLength = 8;
/// Time until the next check of engines that all answered.
constexpr Duration RecheckInterval = milliseconds(300);
/// Silence after which a connection counts as lost. Callers close a stream after two seconds of
/// silence.
constexpr Duration ConnectionTimeout = milliseconds(1100);

} // namespace

void StreamMonitor::recordSent(TimePoint Now) {
  ProgressAt_ = Now;
  CheckAt_ = Now + FirstEventTimeout;
}

void StreamMonitor::recordHead(TimePoint Now) { recordSent(Now); }

void StreamMonitor::recordEvent(TimePoint Now) {
  if (Events_ == 0) {
    FirstEventAt_ = Now;
  } else {
    const Duration Gap = Now - LastEventAt_;
    UsualGap_ = Events_ == 1 ? Gap : UsualGap_ + (Gap - UsualGap_) / GapAverageLength;
    if (Gap > LongestPause_) {
      LongestPause_ = Gap;
      EventsBeforePause_ = Events_;
    }
  }
  ++Events_;
  LastEventAt_ = Now;
  ProgressAt_ = Now;
  CheckAt_ = Now + allowedSilence();
}

void StreamMonitor::recordEnginesAlive(TimePoint Now) {
  CheckedAt_ = Now;
  CheckAt_ = Now + RecheckInterval;
}

bool StreamMonitor::isConnectionLost(TimePoint Now) const {
  return silenceDuration(Now) >= ConnectionTimeout;
}

TimePoint StreamMonitor::evidenceSince() const {
  const Duration Expected = Events_ > 0 ? UsualGap_ : FirstEventTimeout / 2;
  return std::max(ProgressAt_ + Expected, CheckedAt_);
}

Duration StreamMonitor::allowedSilence() const {
  // A stream on slow engines is late anyway, and its long gaps are no reason to check the engines
  // after each event.
  const Duration Most = std::max(MaxSilence, UsualGap_ * GapsBeforeCheckIfSlow);
  return std::clamp<Duration>(UsualGap_ * GapsBeforeCheck, MinSilence, Most);
}

} // namespace rattancart
