#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/StrongId.h"

#include <cstdint>
#include <map>
#include <optional>

namespace rattancart {

/// Identifies one run of a gateway, whose datagrams carry times of its own clock.
using GatewayRun = StrongNumber<struct GatewayRunTag>;

/// Converts times of other gateways' clocks to times of the clock here.
///
/// A gateway sends a message at T, and the other gateway answers with the time R of its clock at
/// which the message arrived. That was not before T here, so a time C of the other clock was not
/// before T + (C - R) here, however long the answer took and whatever the two clocks show. Assumes
/// that both clocks run at the same rate. Not thread-safe.
class ReaderClocks {
public:
  /// A message sent at SentAt arrived at ReceivedAt of the other gateway's clock.
  void onExchange(GatewayRun Run, TimePoint SentAt, Duration ReceivedAt, TimePoint Now);
  /// A time here that is not later than Time of the other gateway's clock. Nothing if no exchange
  /// of the last seconds is known, or if the clocks have diverged.
  std::optional<TimePoint> earliest(GatewayRun Run, Duration Time, TimePoint Now) const;

private:
  struct Offset {
    /// The time here when the other clock showed 0, or earlier.
    TimePoint Zero_;
    TimePoint LearnedAt_;
  };

  std::map<GatewayRun, Offset> Offsets_;
};

} // namespace rattancart
