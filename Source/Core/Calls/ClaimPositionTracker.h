#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <deque>

namespace rattancart {

/// The claim position of a request that is being read.
///
/// A request may have lain unread in a socket while the process stalled, and a tail that is read
/// in the same burst may be newer than the request. So a tail counts only Settle after it was
/// learned, and a stall longer than Settle starts that time anew. Not thread-safe.
class ClaimPositionTracker {
public:
  /// Precondition: Settle is positive, and some function is called at least every Settle / 2
  /// while the process runs.
  explicit ClaimPositionTracker(Duration Settle) : Settle_(Settle) {}

  /// The process runs at Now; finds out whether it stalled.
  void detectStall(TimePoint Now);
  /// A tail of the claims stream was learned; lower ones than before are ignored.
  void observeTail(LogOffset Tail, TimePoint Now);
  /// The position of a request that is read at Now.
  LogOffset position(TimePoint Now);
  /// The newest tail learned, for the state dump.
  LogOffset newestTail() const { return Fresh_.empty() ? Settled_ : Fresh_.back().Tail_; }

private:
  struct Learned {
    LogOffset Tail_{0};
    TimePoint At_{};
  };

  Duration Settle_;
  TimePoint LastBeat_{};
  LogOffset Settled_{0};
  /// Tails that don't count yet, in ascending order.
  std::deque<Learned> Fresh_;
};

} // namespace rattancart
