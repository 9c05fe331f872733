#pragma once

#include "Core/Common/Clock.h"

#include <cmath>

namespace rattancart {

/// The rate of events that have amounts, averaged with weights that decay exponentially with age.
/// Not thread-safe.
class DecayingRate {
public:
  /// Events older than a few times Decay hardly count. Precondition: Decay is positive.
  explicit DecayingRate(Duration Decay) : Decay_(seconds(Decay)) {}

  void add(double Amount, TimePoint Now) {
    Rate_ = perSecond(Now) + Amount / Decay_;
    At_ = Now;
  }
  double perSecond(TimePoint Now) const { return Rate_ * std::exp(-seconds(Now - At_) / Decay_); }

private:
  static double seconds(Duration Time) { return std::chrono::duration<double>(Time).count(); }

  double Decay_;
  double Rate_ = 0;
  TimePoint At_{};
};

} // namespace rattancart
