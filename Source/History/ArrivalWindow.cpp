#include "History/ArrivalWindow.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <set>

namespace rattancart::history {

namespace {

/// The number of times in [Begin, End). Precondition: Times is sorted.
std::size_t countBetween(const std::vector<TimePoint> &Times, TimePoint Begin, TimePoint End) {
  return static_cast<std::size_t>(std::lower_bound(Times.begin(), Times.end(), End) -
                                  std::lower_bound(Times.begin(), Times.end(), Begin));
}

/// A window with the most arrivals begins at an arrival, so only these windows are compared.
WorstWindow findWorst(const std::vector<TimePoint> &Arrivals, Duration Window,
                      const std::function<double(TimePoint)> &AllowedFrom) {
  WorstWindow Worst;
  double WorstExcess = -std::numeric_limits<double>::infinity();
  for (const TimePoint Begin : Arrivals) {
    const WorstWindow Each{Begin, countBetween(Arrivals, Begin, Begin + Window),
                           AllowedFrom(Begin)};
    if (Each.excess() <= WorstExcess)
      continue;
    Worst = Each;
    WorstExcess = Each.excess();
  }
  return Worst;
}

} // namespace

WorstWindow findWorstRepeatWindow(std::vector<TimePoint> Requests, std::vector<Arrival> Arrivals,
                                  const RepeatBudget &Budget) {
  std::sort(Requests.begin(), Requests.end());
  std::sort(Arrivals.begin(), Arrivals.end(),
            [](const Arrival &A, const Arrival &B) { return A.At_ < B.At_; });
  std::set<RequestId> Seen;
  std::vector<TimePoint> Repeats;
  for (const Arrival &Each : Arrivals)
    if (!Seen.insert(Each.Request_).second)
      Repeats.push_back(Each.At_);
  return findWorst(Repeats, Budget.Window_, [&](TimePoint Begin) {
    std::size_t Most = 0;
    for (const Duration Earlier : {Duration{}, Budget.Window_ / 2, Budget.Window_})
      Most =
          std::max(Most, countBetween(Requests, Begin - Earlier, Begin - Earlier + Budget.Window_));
    return Budget.Ratio_ * static_cast<double>(Most) + Budget.Extra_;
  });
}

WorstWindow findWorstRateWindow(std::vector<TimePoint> Arrivals, const ArrivalLimit &Limit) {
  std::sort(Arrivals.begin(), Arrivals.end());
  const double Allowed =
      Limit.Tolerance_ * Limit.PerSecond_ * std::chrono::duration<double>(Limit.Window_).count() +
      Limit.Burst_;
  return findWorst(Arrivals, Limit.Window_, [=](TimePoint) { return Allowed; });
}

} // namespace rattancart::history
