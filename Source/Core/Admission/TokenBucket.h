#pragma once

#include "Core/Common/Clock.h"

#include <algorithm>
#include <chrono>

namespace rattancart {

/// A rate with a burst, counted on the time that is passed in. A rate of zero has no bound.
/// Not thread-safe.
class TokenBucket {
public:
  /// Changes the rate; what was saved up is kept up to the new burst. The first call fills the
  /// bucket.
  void setRate(double PerSecond, double Burst, TimePoint Now) {
    refill(Now);
    Level_ = Started_ ? std::min(Level_, Burst) : Burst;
    Started_ = true;
    PerSecond_ = PerSecond;
    Burst_ = Burst;
  }
  /// Whether Amount can be taken. An amount above the burst can be taken from a full bucket,
  /// which then goes below zero.
  bool canTake(double Amount, TimePoint Now) {
    refill(Now);
    return PerSecond_ <= 0 || Level_ + Tolerance >= std::min(Amount, Burst_);
  }
  /// Takes Amount, below zero if need be; negative amounts are given back.
  void take(double Amount) {
    if (PerSecond_ > 0)
      Level_ = std::min(Burst_, Level_ - Amount);
  }
  /// The time until Amount can be taken.
  Duration waitFor(double Amount) const {
    const double Missing = std::min(Amount, Burst_) - Level_;
    if (PerSecond_ <= 0 || Missing <= 0)
      return Duration{0};
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Missing / PerSecond_));
  }
  bool isFull() const { return PerSecond_ <= 0 || Level_ >= Burst_; }
  double level() const { return Level_; }

private:
  static constexpr double Tolerance = 1e-9;

  void refill(TimePoint Now) {
    if (Now > At_ && Started_)
      Level_ =
          std::min(Burst_, Level_ + PerSecond_ * std::chrono::duration<double>(Now - At_).count());
    At_ = std::max(At_, Now);
  }

  double PerSecond_ = 0;
  double Burst_ = 0;
  double Level_ = 0;
  TimePoint At_{};
  bool Started_ = false;
};

} // namespace rattancart
