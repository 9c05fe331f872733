#pragma once

#include "Core/Common/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace rattancart {

/// A histogram of durations in which older values lose weight. Its buckets are a quarter octave
/// wide and reach from one microsecond to more than a minute. Not thread-safe.
class DecayingHistogram {
public:
  void record(Duration Time);
  /// The duration that the given fraction (0 to 1) of the recorded ones does not exceed, rounded up
  /// to a bucket's end; zero if nothing was recorded.
  Duration quantile(double Fraction) const;
  std::uint64_t count() const { return Count_; }

private:
  std::array<std::uint32_t, 108> Buckets_{};
  std::uint64_t Count_ = 0;
};

struct StepTimeoutOptions {
  Duration MinTimeout_ = std::chrono::milliseconds(100);
  Duration MaxTimeout_ = std::chrono::seconds(5);
  /// Used until MinSamples_ steps were recorded.
  Duration InitialTimeout_ = std::chrono::seconds(2);
  /// The timeout is this multiple of the 99th percentile of the recorded steps.
  double Factor_ = 4;
  std::uint64_t MinSamples_ = 20;
};

/// Estimates from the durations of earlier steps how long to wait for an engine's answer to a step.
/// Steps of one token (decode) and of several (prefill) are recorded apart. Not thread-safe.
class StepTimeoutEstimator {
public:
  explicit StepTimeoutEstimator(StepTimeoutOptions Options) : Options_(Options) {}

  /// A step of Count tokens took Time. Precondition: Count is positive.
  void record(std::uint32_t Count, Duration Time);
  /// How long to wait for a step of Count tokens, between MinTimeout_ and MaxTimeout_.
  Duration timeout(std::uint32_t Count) const;

private:
  StepTimeoutOptions Options_;
  DecayingHistogram Decode_;
  DecayingHistogram PrefillPerToken_;
};

} // namespace rattancart
