#include "Core/Pipeline/StepTimeoutEstimator.h"

#include <algorithm>
#include <cmath>

namespace rattancart {

namespace {

constexpr double BucketsPerOctave = 4;
/// All counts are halved once this many durations were recorded.
constexpr std::uint64_t DecayThreshold = 4096;

double microseconds(Duration Time) {
  return std::chrono::duration<double, std::micro>(Time).count();
}

} // namespace

void DecayingHistogram::record(Duration Time) {
  const double Octaves = std::log2(std::max(1.0, microseconds(Time)));
  const auto Index =
      std::min(Buckets_.size() - 1, static_cast<std::size_t>(Octaves * BucketsPerOctave));
  ++Buckets_[Index];
  if (++Count_ < DecayThreshold)
    return;
  Count_ = 0;
  for (std::uint32_t &Bucket : Buckets_) {
    Bucket /= 2;
    Count_ += Bucket;
  }
}

Duration DecayingHistogram::quantile(double Fraction) const {
  if (Count_ == 0)
    return Duration::zero();
  const double Wanted = Fraction * static_cast<double>(Count_);
  std::uint64_t Seen = 0;
  std::size_t Index = 0;
  for (; Index + 1 < Buckets_.size(); ++Index) {
    Seen += Buckets_[Index];
    if (static_cast<double>(Seen) >= Wanted)
      break;
  }
  const double Upper = std::exp2(static_cast<double>(Index + 1) / BucketsPerOctave);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(Upper));
}

void StepTimeoutEstimator::record(std::uint32_t Count, Duration Time) {
  if (Count == 1)
    Decode_.record(Time);
  else
    PrefillPerToken_.record(Time / Count);
}

Duration StepTimeoutEstimator::timeout(std::uint32_t Count) const {
  const DecayingHistogram &Observed = Count == 1 ? Decode_ : PrefillPerToken_;
  if (Observed.count() < Options_.MinSamples_)
    return std::clamp(Options_.InitialTimeout_, Options_.MinTimeout_, Options_.MaxTimeout_);
  double Expected = microseconds(Observed.quantile(0.99)) * Count;
  if (Count > 1)
    Expected += microseconds(Decode_.quantile(0.99));
  const std::chrono::duration<double, std::micro> Wanted(Expected * Options_.Factor_);
  if (Wanted >= Options_.MaxTimeout_)
    return Options_.MaxTimeout_;
  return std::max(Options_.MinTimeout_, std::chrono::duration_cast<Duration>(Wanted));
}

} // namespace rattancart
