#include "Core/Admission/ConcurrencyLimit.h"

#include <algorithm>

namespace rattancart {

namespace {

/// The factor by which the best service time may rise with one answer.
constexpr double MaxBestTimeRise = 1.01;

class FixedConcurrency final : public ConcurrencyLimit {
public:
  explicit FixedConcurrency(double Slots) : Slots_(Slots) {}
  double limit() const override { return std::max(1.0, Slots_); }
  void recordCompletion(AdmissionOutcome::Result, double, double) override {}
  void setCapacity(double Slots) override {
    if (Slots > 0)
      Slots_ = Slots;
  }

private:
  double Slots_;
};

class AdaptiveConcurrency final : public ConcurrencyLimit {
public:
  explicit AdaptiveConcurrency(AdaptiveConcurrencyOptions Options)
      : Options_(Options), Limit_(Options.InitialLimit_) {}

  double limit() const override { return Limit_; }

  void recordCompletion(AdmissionOutcome::Result Result, double SecondsPerCost,
                        double InFlight) override {
    if (Result == AdmissionOutcome::Result::Other)
      return;
    ++EndsSinceDecrease_;
    if (Result == AdmissionOutcome::Result::Overloaded || isSlow(SecondsPerCost, InFlight))
      decrease();
    else if (InFlight >= Limit_ - 1)
      Limit_ += 1 / Limit_;
    Limit_ = std::clamp(Limit_, Options_.MinLimit_, Options_.MaxLimit_);
  }

  void setCapacity(double Slots) override {
    if (Slots > 0)
      Options_.MaxLimit_ = std::max(Slots, Options_.MinLimit_);
    Limit_ = std::min(Limit_, Options_.MaxLimit_);
  }

private:
  bool isSlow(double SecondsPerCost, double InFlight) {
    // An answer that is slow while few requests are in flight is not caused by this process's load,
    // so the best time rises towards it.
    const bool IsOwnLoadHigh = InFlight > Limit_ / 2 && Limit_ > Options_.MinLimit_;
    BestTime_ = BestTime_ <= 0 ? SecondsPerCost
                               : std::min(IsOwnLoadHigh ? BestTime_ : BestTime_ * MaxBestTimeRise,
                                          SecondsPerCost);
    MeanTime_ = MeanTime_ <= 0 ? SecondsPerCost : MeanTime_ + (SecondsPerCost - MeanTime_) * 0.1;
    return MeanTime_ > BestTime_ * Options_.SlowFactor_;
  }

  void decrease() {
    // The limit decreases only once in a limit's worth of requests: the other requests were sent
    // before the decrease took effect.
    if (EndsSinceDecrease_ < Limit_)
      return;
    EndsSinceDecrease_ = 0;
    Limit_ *= Options_.DecreaseFactor_;
  }

  AdaptiveConcurrencyOptions Options_;
  double Limit_;
  double BestTime_ = 0;
  double MeanTime_ = 0;
  double EndsSinceDecrease_ = 0;
};

} // namespace

std::unique_ptr<ConcurrencyLimit> makeFixedConcurrency(double Slots) {
  return std::make_unique<FixedConcurrency>(Slots);
}

std::unique_ptr<ConcurrencyLimit> makeAdaptiveConcurrency(AdaptiveConcurrencyOptions Options) {
  return std::make_unique<AdaptiveConcurrency>(Options);
}

} // namespace rattancart
