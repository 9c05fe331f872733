#include "Core/Calls/ClaimPositionTracker.h"

namespace rattancart {

void ClaimPositionTracker::detectStall(TimePoint Now) {
  const bool HasStalled = Now - LastCheckAt_ > SettleTime_;
  LastCheckAt_ = Now;
  // Requests that arrived before or during the stall may not have been read yet; the unsettled
  // tails may be newer than they are.
  for (ObservedTail &Each : Unsettled_)
    if (HasStalled)
      Each.At_ = Now;
}

void ClaimPositionTracker::observeTail(LogOffset Tail, TimePoint Now) {
  detectStall(Now);
  if (Tail > newestTail())
    Unsettled_.push_back({Tail, Now});
}

LogOffset ClaimPositionTracker::position(TimePoint Now) {
  detectStall(Now);
  while (!Unsettled_.empty() && Now - Unsettled_.front().At_ >= SettleTime_) {
    SettledTail_ = Unsettled_.front().Tail_;
    Unsettled_.pop_front();
  }
  return SettledTail_;
}

} // namespace rattancart
