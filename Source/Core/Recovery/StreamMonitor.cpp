#include "Core/Recovery/StreamMonitor.h"

#include <algorithm>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// Events come every 15 to 60 ms; the first one after the prompt was read, within 50 to 100 ms.
constexpr Duration FirstSilence = milliseconds(300);
constexpr Duration SilenceLeast = milliseconds(80);
constexpr Duration SilenceMost = milliseconds(150);
/// Silence of this many usual gaps between events is looked at.
constexpr int SilentGaps = 3;
/// The same for a stream whose gaps are so long that this exceeds SilenceMost.
constexpr int SlowGaps = 2;
/// Weight of the newest gap in the running mean.
constexpr int GapMemory = 8;
/// Next look at engines that all answered.
constexpr Duration LookAgain = milliseconds(300);
/// Callers leave a stream after two seconds of silence.
constexpr Duration ConnectionSilence = milliseconds(1100);

} // namespace

void StreamMonitor::recordSent(TimePoint Now) {
  ProgressAt_ = Now;
  CheckAt_ = Now + FirstSilence;
}

void StreamMonitor::recordHead(TimePoint Now) { recordSent(Now); }

void StreamMonitor::recordEvent(TimePoint Now) {
  if (Events_ == 0) {
    FirstEventAt_ = Now;
  } else {
    const Duration Gap = Now - LastEventAt_;
    UsualGap_ = Events_ == 1 ? Gap : UsualGap_ + (Gap - UsualGap_) / GapMemory;
    if (Gap > LongestPause_) {
      LongestPause_ = Gap;
      PauseAfter_ = Events_;
    }
  }
  ++Events_;
  LastEventAt_ = Now;
  ProgressAt_ = Now;
  CheckAt_ = Now + allowedSilence();
}

void StreamMonitor::recordEnginesAlive(TimePoint Now) {
  LookedAt_ = Now;
  CheckAt_ = Now + LookAgain;
}

bool StreamMonitor::isConnectionLost(TimePoint Now) const {
  return silenceDuration(Now) >= ConnectionSilence;
}

TimePoint StreamMonitor::evidenceSince() const {
  const Duration Expected = Events_ > 0 ? UsualGap_ : FirstSilence / 2;
  return std::max(ProgressAt_ + Expected, LookedAt_);
}

Duration StreamMonitor::allowedSilence() const {
  // A stream on slow engines is late anyway; its long gaps are no reason to ask them all the time.
  const Duration Most = std::max(SilenceMost, UsualGap_ * SlowGaps);
  return std::clamp<Duration>(UsualGap_ * SilentGaps, SilenceLeast, Most);
}

} // namespace rattancart
