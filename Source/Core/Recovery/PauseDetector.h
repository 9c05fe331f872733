#pragma once

#include "Core/Common/Clock.h"

#include <optional>

namespace rattancart {

/// Detects that the process did not run for a while, by the time between two ticks.
///
/// Call tick at a regular interval well below Threshold, and before taking new work after an idle
/// time. Not thread-safe.
class PauseDetector {
public:
  explicit PauseDetector(Duration Threshold) : Threshold_(Threshold) {}

  /// Returns the length of the pause that ended with this tick, if there was one.
  std::optional<Duration> tick(TimePoint Now) {
    const Duration Gap = Started_ ? Now - Last_ : Duration{0};
    Started_ = true;
    Last_ = Now;
    if (Gap <= Threshold_)
      return std::nullopt;
    return Gap;
  }

private:
  Duration Threshold_;
  TimePoint Last_{};
  bool Started_ = false;
};

} // namespace rattancart
