#include "Core/Serving/EngineMemoryEstimate.h"

#include <algorithm>

namespace rattancart {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// Age of the state in a report when the engine sends it.
constexpr Duration ReportLag = milliseconds(200);
/// Growth is not extrapolated beyond this time.
constexpr Duration MaxExtrapolation = milliseconds(800);
/// Without a report for this long, nothing is known of what the engine's memory does, and its own
/// rejections show it sooner than the last growth.
constexpr Duration GrowthLifetime = milliseconds(1500);
/// Reports that are closer together do not give a new growth rate.
constexpr Duration MinReportInterval = milliseconds(100);
/// Without a later report, a refusal counts for this long.
constexpr Duration RefusalLifetime = milliseconds(1000);

} // namespace

void EngineMemoryEstimate::onReport(double Used, double Total, TimePoint MeasuredAt) {
  const Duration Interval = MeasuredAt - MeasuredAt_;
  if (MeasuredAt_ != TimePoint{} && Interval >= MinReportInterval)
    GrowthPerSecond_ = std::max(0.0, (Used - Used_) / Seconds(Interval).count());
  Used_ = Used;
  Total_ = Total;
  MeasuredAt_ = MeasuredAt;
  while (!Sent_.empty() && Sent_.front().At_ < MeasuredAt - ReportLag)
    Sent_.pop_front();
}

void EngineMemoryEstimate::onSent(double TokenLayers, TimePoint Now) {
  // Without reports, requests are not kept for longer than one could take to arrive.
  while (!Sent_.empty() && Now - Sent_.front().At_ > MaxExtrapolation + ReportLag)
    Sent_.pop_front();
  Sent_.push_back({Now, TokenLayers});
  SendRate_.add(TokenLayers, Now);
}

void EngineMemoryEstimate::onRefused(double TokenLayers, TimePoint Now) {
  RefusedTokenLayers_ = TokenLayers;
  RefusedAt_ = Now;
}

double EngineMemoryEstimate::sentSince(TimePoint Since) const {
  double Sum = 0;
  for (const Sent &Each : Sent_)
    Sum += Each.At_ >= Since ? Each.TokenLayers_ : 0;
  return Sum;
}

Duration EngineMemoryEstimate::stateAge(TimePoint Now) const {
  return std::min(Now - MeasuredAt_ + ReportLag, MaxExtrapolation);
}

double EngineMemoryEstimate::averageSends(TimePoint Now) const {
  return SendRate_.perSecond(Now) * Seconds(stateAge(Now)).count();
}

double EngineMemoryEstimate::used(TimePoint Now) const {
  const double Grown =
      Now - MeasuredAt_ < GrowthLifetime ? GrowthPerSecond_ * Seconds(stateAge(Now)).count() : 0;
  double Used = Used_ + std::max(Grown, sentSince(MeasuredAt_ - ReportLag));
  const bool Refused = RefusedAt_ != TimePoint{} && Now - RefusedAt_ < RefusalLifetime &&
                       MeasuredAt_ < RefusedAt_ + ReportLag;
  if (Refused)
    Used = std::max(Used, Total_ - RefusedTokenLayers_);
  return Used;
}

} // namespace rattancart
