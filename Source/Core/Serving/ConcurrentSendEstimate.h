#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/DecayingRate.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace rattancart {

/// Estimates how many times as much as this gateway all others may send to an engine between two of
/// its reports.
///
/// Gateways receive similar loads and the same reports, so they act alike: what this one sends on
/// average, the others send too. When it suddenly sends more, such as when an engine is lost and
/// all of its streams are resumed, the others do the same at that instant. Since a gateway has few
/// sends, a single one shows little; only their rise over the average counts. Not thread-safe.
class ConcurrentSendEstimate {
public:
  /// Sets the number of gateways that may run at the same time, this one included; nothing if it is
  /// not known, and then nothing is assumed of the others. Precondition: not 0.
  void setGateways(std::optional<std::uint32_t> Gateways) { Gateways_ = Gateways; }
  /// This process sent a request, or a part of one, that needs TokenLayers, in tokens times layers.
  void onSent(double TokenLayers, TimePoint Now);

  /// The most that the other gateways are expected to send, as a multiple of this one's average; 0
  /// if their number is not known.
  double factor(TimePoint Now) const;

private:
  struct Sent {
    TimePoint At_;
    double TokenLayers_;
  };

  /// The latest sends as a multiple of the average; at least 1.
  double rise(TimePoint Now) const;

  std::optional<std::uint32_t> Gateways_;
  DecayingRate Average_{std::chrono::seconds(4)};
  /// Sends among which a rise is looked for, oldest first.
  std::deque<Sent> Recent_;
};

} // namespace rattancart
