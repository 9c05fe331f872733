#include "Core/Recovery/RouteRetryBudget.h"

#include <cmath>

namespace rattancart {

RouteRetryBudget::Counts &RouteRetryBudget::decayed(const RouteId &Route, TimePoint Now) {
  Counts &Entry = Routes_[Route];
  if (Now > Entry.At_) {
    const double Age = std::chrono::duration<double>(Now - Entry.At_).count() /
                       std::chrono::duration<double>(Options_.DecayTime_).count();
    Entry.FirstAttempts_ *= std::exp(-Age);
    Entry.Retries_ *= std::exp(-Age);
    Entry.At_ = Now;
  }
  return Entry;
}

void RouteRetryBudget::onFirstAttempt(const RouteId &Route, std::uint32_t Percent, TimePoint Now) {
  Counts &Entry = decayed(Route, Now);
  Entry.Percent_ = Percent;
  Entry.FirstAttempts_ += 1;
}

bool RouteRetryBudget::tryConsumeRetry(const RouteId &Route, TimePoint Now) {
  Counts &Entry = decayed(Route, Now);
  if (Entry.Retries_ + 1 > Options_.MinRetries_ + Entry.FirstAttempts_ * Entry.Percent_ / 100) {
    ++Entry.Usage_.Refused_;
    return false;
  }
  Entry.Retries_ += 1;
  ++Entry.Usage_.Allowed_;
  return true;
}

RetryUsage RouteRetryBudget::usage(const RouteId &Route) const {
  const auto It = Routes_.find(Route);
  return It == Routes_.end() ? RetryUsage{} : It->second.Usage_;
}

} // namespace rattancart
