#pragma once

#include "Core/Common/Clock.h"

#include <algorithm>
#include <functional>
#include <map>

namespace rattancart {

/// Runs scheduled work in the order of its due time on a simulated clock, which advances only while
/// run() is executing. Not thread-safe.
class EventQueue {
public:
  const Clock &clock() const { return Clock_; }
  TimePoint now() const { return Clock_.now(); }
  /// Schedules Work to run once, Delay from now.
  void after(Duration Delay, std::function<void()> Work) {
    Due_.emplace(now() + Delay, std::move(Work));
  }
  /// Schedules Work to run every Interval from now on; it can't be cancelled.
  void every(Duration Interval, std::function<void()> Work) {
    after(Interval, [this, Interval, Work = std::move(Work)] {
      Work();
      every(Interval, Work);
    });
  }
  /// Runs all work that becomes due within Span and advances the clock by Span.
  void run(Duration Span) {
    const TimePoint End = now() + Span;
    while (!Due_.empty() && Due_.begin()->first <= End) {
      auto Next = Due_.extract(Due_.begin());
      Clock_.advance(std::max(Duration{}, Next.key() - now()));
      Next.mapped()();
    }
    Clock_.advance(End - now());
  }

private:
  ManualClock Clock_;
  std::multimap<TimePoint, std::function<void()>> Due_;
};

} // namespace rattancart
