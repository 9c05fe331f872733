#pragma once

#include "Core/Common/Clock.h"

#include <algorithm>
#include <chrono>

namespace rattancart {

/// A token bucket that measures time by the time points passed in. A rate of zero means no limit.
/// Not thread-safe.
class TokenBucket {
public:
  /// Changes the rate. The bucket keeps its level, cut to the new burst; the first call fills it.
  void setRate(double PerSecond, double Burst, TimePoint Now) {
    refill(Now);
    Level_ = Initialized_ ? std::min(Level_, Burst) : Burst;
    Initialized_ = true;
    PerSecond_ = PerSecond;
    Burst_ = Burst;
  }
  /// Whether Amount can be taken. A full bucket also allows an amount above the burst; its level
  /// then becomes negative.
  bool canTake(double Amount, TimePoint Now) {
    refill(Now);
    return PerSecond_ <= 0 || Level_ + Tolerance >= std::min(Amount, Burst_);
  }
  /// Takes Amount, even if the level becomes negative. A negative Amount is given back.
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
    if (Now > RefilledAt_ && Initialized_)
      Level_ = std::min(
          Burst_, Level_ + PerSecond_ * std::chrono::duration<double>(Now - RefilledAt_).count());
    RefilledAt_ = std::max(RefilledAt_, Now);
  }

  double PerSecond_ = 0;
  double Burst_ = 0;
  double Level_ = 0;
  TimePoint RefilledAt_{};
  bool Initialized_ = false;
};

} // namespace rattancart
