#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <deque>

namespace rattancart {

/// Determines the claim position of an arriving request: a tail of the claims stream that was known
/// before the request arrived.
///
/// After the process stalled, a request and a newer tail may be read from their sockets together,
/// although the request arrived first. So a tail is used only once SettleTime has passed since it
/// was observed, and a stall longer than SettleTime restarts that wait. Not thread-safe.
class ClaimPositionTracker {
public:
  /// Precondition: SettleTime is positive, and detectStall, observeTail or position is called at
  /// least every SettleTime / 2 unless the process stalls.
  explicit ClaimPositionTracker(Duration SettleTime) : SettleTime_(SettleTime) {}

  /// Assumes that the process stalled if the last call was more than SettleTime before Now.
  void detectStall(TimePoint Now);
  /// Takes a tail of the claims stream; ignores one that is not above newestTail().
  void observeTail(LogOffset Tail, TimePoint Now);
  /// The claim position of a request that is read at Now.
  LogOffset position(TimePoint Now);
  /// The highest tail that was observed, settled or not; for the state dump.
  LogOffset newestTail() const {
    return Unsettled_.empty() ? SettledTail_ : Unsettled_.back().Tail_;
  }

private:
  struct ObservedTail {
    LogOffset Tail_{0};
    /// When it was observed, or the end of a later stall.
    TimePoint At_{};
  };

  Duration SettleTime_;
  TimePoint LastCheckAt_{};
  LogOffset SettledTail_{0};
  /// Tails that were observed less than SettleTime_ ago, in ascending order.
  std::deque<ObservedTail> Unsettled_;
};

} // namespace rattancart
