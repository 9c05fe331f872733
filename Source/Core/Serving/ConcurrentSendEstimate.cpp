#include "Core/Serving/ConcurrentSendEstimate.h"

#include <algorithm>

namespace rattancart {

namespace {

/// The time within which the streams of a lost engine are resumed. A longer window, of 400 ms,
/// shows the rise too late.
constexpr Duration RiseWindow = std::chrono::milliseconds(100);
/// Engines differ in how many of the gateways choose them at once; few receive more than this
/// multiple of the average.
constexpr double PeakFactor = 2;

} // namespace

void ConcurrentSendEstimate::onSent(double TokenLayers, TimePoint Now) {
  Average_.add(TokenLayers, Now);
  while (!Recent_.empty() && Now - Recent_.front().At_ > RiseWindow)
    Recent_.pop_front();
  Recent_.push_back({Now, TokenLayers});
}

double ConcurrentSendEstimate::rise(TimePoint Now) const {
  double Sum = 0;
  for (const Sent &Each : Recent_)
    Sum += Now - Each.At_ <= RiseWindow ? Each.TokenLayers_ : 0;
  const double Usual = Average_.perSecond(Now) * std::chrono::duration<double>(RiseWindow).count();
  return Usual > 0 ? std::max(1.0, Sum / Usual) : 1;
}

double ConcurrentSendEstimate::factor(TimePoint Now) const {
  return Gateways_ ? (*Gateways_ - 1) * PeakFactor * rise(Now) : 0;
}

} // namespace rattancart
