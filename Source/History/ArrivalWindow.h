#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstddef>
#include <vector>

namespace rattancart::history {

/// A request that arrived at an endpoint, which may have run or refused it.
struct Arrival {
  RequestId Request_;
  TimePoint At_{};
};

/// The common retry budget of all gateways: in each window, so many arrivals beyond the first of
/// each request.
struct RepeatBudget {
  /// Repeats as a fraction of the requests that callers sent.
  double Ratio_ = 0;
  /// Repeats on top of that.
  double Extra_ = 0;
  Duration Window_{};
};

/// A limit on the arrivals at one endpoint, from all gateways together.
struct ArrivalLimit {
  double PerSecond_ = 0;
  /// Part of the limit that arrivals in one window may reach, such as 1.5.
  double Tolerance_ = 1;
  /// Arrivals on top of that.
  double Burst_ = 0;
  Duration Window_{};
};

/// The window in which the most arrivals exceed what is allowed, or come closest to it.
struct WorstWindow {
  TimePoint Begin_{};
  std::size_t Arrivals_ = 0;
  double Allowed_ = 0;

  double excess() const { return static_cast<double>(Arrivals_) - Allowed_; }
};

/// Finds the window with the most repeats beyond the budget. The budget of a window follows from
/// the requests of that window, of the one before it or of the one half a window before it,
/// whichever are most. Requests are the times at which callers sent requests. Thread-safe.
///
/// Precondition: Budget.Window_ is positive.
WorstWindow findWorstRepeatWindow(std::vector<TimePoint> Requests, std::vector<Arrival> Arrivals,
                                  const RepeatBudget &Budget);

/// Finds the window with the most arrivals beyond the limit. Thread-safe.
///
/// Precondition: Limit.Window_ is positive.
WorstWindow findWorstRateWindow(std::vector<TimePoint> Arrivals, const ArrivalLimit &Limit);

} // namespace rattancart::history
