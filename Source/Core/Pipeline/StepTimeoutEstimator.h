#pragma once

#include "Core/Common/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace rattancart {

/// A decaying distribution of times with a resolution of a quarter octave, from one microsecond to
/// about a minute. Not thread-safe.
class TimeDistribution {
public:
  void record(Duration Time);
  /// The time that Part (0 to 1) of the recorded ones do not exceed; zero if there are none.
  Duration quantile(double Part) const;
  std::uint64_t count() const { return Count_; }

private:
  std::array<std::uint32_t, 108> Buckets_{};
  std::uint64_t Count_ = 0;
};

struct StepTimeoutOptions {
  Duration Floor_ = std::chrono::milliseconds(100);
  Duration Cap_ = std::chrono::seconds(5);
  /// Used until enough steps were observed.
  Duration Initial_ = std::chrono::seconds(2);
  /// The deadline as a multiple of the time that 99 in 100 steps take.
  double Factor_ = 4;
  std::uint64_t MinSamples_ = 20;
};

/// Says how long a step may stay silent, from what steps took so far. Not thread-safe.
class StepTimeoutEstimator {
public:
  explicit StepTimeoutEstimator(StepTimeoutOptions Options) : Options_(Options) {}

  /// A step of Count tokens took Time. Precondition: Count is positive.
  void record(std::uint32_t Count, Duration Time);
  /// How long to wait for a step of Count tokens; between the floor and the cap.
  Duration timeout(std::uint32_t Count) const;

private:
  StepTimeoutOptions Options_;
  TimeDistribution Decode_;
  TimeDistribution PrefillPerToken_;
};

} // namespace rattancart
