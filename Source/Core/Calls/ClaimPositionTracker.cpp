#include "Core/Calls/ClaimPositionTracker.h"

namespace rattancart {

void ClaimPositionTracker::detectStall(TimePoint Now) {
  const bool HasStalled = Now - LastBeat_ > Settle_;
  LastBeat_ = Now;
  // What had not settled may be newer than requests that were waiting since before the stall.
  for (Learned &Each : Fresh_)
    if (HasStalled)
      Each.At_ = Now;
}

void ClaimPositionTracker::observeTail(LogOffset Tail, TimePoint Now) {
  detectStall(Now);
  if (Tail > newestTail())
    Fresh_.push_back({Tail, Now});
}

LogOffset ClaimPositionTracker::position(TimePoint Now) {
  detectStall(Now);
  while (!Fresh_.empty() && Now - Fresh_.front().At_ >= Settle_) {
    Settled_ = Fresh_.front().Tail_;
    Fresh_.pop_front();
  }
  return Settled_;
}

} // namespace rattancart
