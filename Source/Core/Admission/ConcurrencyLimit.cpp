#include "Core/Admission/ConcurrencyLimit.h"

#include <algorithm>

namespace rattancart {

namespace {

/// How far the best time may rise with one answer.
constexpr double BestDrift = 1.01;

class FixedConcurrency final : public ConcurrencyLimit {
public:
  explicit FixedConcurrency(double Slots) : Slots_(Slots) {}
  double limit() const override { return std::max(1.0, Slots_); }
  void ended(AdmissionOutcome::Result, double, double) override {}
  void setKnown(double Slots) override {
    if (Slots > 0)
      Slots_ = Slots;
  }

private:
  double Slots_;
};

class AdaptiveConcurrency final : public ConcurrencyLimit {
public:
  explicit AdaptiveConcurrency(AdaptiveConcurrencyOptions Options)
      : Options_(Options), Limit_(Options.Initial_) {}

  double limit() const override { return Limit_; }

  void ended(AdmissionOutcome::Result Result, double PerCost, double InFlight) override {
    if (Result == AdmissionOutcome::Result::Other)
      return;
    ++Since_;
    if (Result == AdmissionOutcome::Result::Overloaded || isSlow(PerCost, InFlight))
      fall();
    else if (InFlight >= Limit_ - 1)
      Limit_ += 1 / Limit_;
    Limit_ = std::clamp(Limit_, Options_.Minimum_, Options_.Maximum_);
  }

  void setKnown(double Slots) override {
    if (Slots > 0)
      Options_.Maximum_ = std::max(Slots, Options_.Minimum_);
    Limit_ = std::min(Limit_, Options_.Maximum_);
  }

private:
  bool isSlow(double PerCost, double InFlight) {
    // A slow answer with few in flight is not of this process's making: the best time follows it.
    const bool OwnLoad = InFlight > Limit_ / 2 && Limit_ > Options_.Minimum_;
    Best_ = Best_ <= 0 ? PerCost : std::min(OwnLoad ? Best_ : Best_ * BestDrift, PerCost);
    Mean_ = Mean_ <= 0 ? PerCost : Mean_ + (PerCost - Mean_) * 0.1;
    return Mean_ > Best_ * Options_.Tolerance_;
  }

  void fall() {
    // One fall for each limit's worth of ends: the others were sent before it.
    if (Since_ < Limit_)
      return;
    Since_ = 0;
    Limit_ *= Options_.Backoff_;
  }

  AdaptiveConcurrencyOptions Options_;
  double Limit_;
  double Best_ = 0;
  double Mean_ = 0;
  double Since_ = 0;
};

} // namespace

std::unique_ptr<ConcurrencyLimit> makeFixedConcurrency(double Slots) {
  return std::make_unique<FixedConcurrency>(Slots);
}

std::unique_ptr<ConcurrencyLimit> makeAdaptiveConcurrency(AdaptiveConcurrencyOptions Options) {
  return std::make_unique<AdaptiveConcurrency>(Options);
}

} // namespace rattancart
