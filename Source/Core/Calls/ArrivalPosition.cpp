#include "Core/Calls/ArrivalPosition.h"

namespace rattancart {

void ArrivalPosition::beat(TimePoint Now) {
  const bool HasStalled = Now - LastBeat_ > Settle_;
  LastBeat_ = Now;
  // What had not settled may be newer than requests that were waiting since before the stall.
  for (Learned &Each : Fresh_)
    if (HasStalled)
      Each.At_ = Now;
}

void ArrivalPosition::learned(LogOffset Tail, TimePoint Now) {
  beat(Now);
  if (Tail > newest())
    Fresh_.push_back({Tail, Now});
}

LogOffset ArrivalPosition::position(TimePoint Now) {
  beat(Now);
  while (!Fresh_.empty() && Now - Fresh_.front().At_ >= Settle_) {
    Settled_ = Fresh_.front().Tail_;
    Fresh_.pop_front();
  }
  return Settled_;
}

} // namespace rattancart
