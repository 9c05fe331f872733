#pragma once

#include "Core/Common/Clock.h"

#include <algorithm>
#include <functional>
#include <map>

namespace rattancart {

/// Runs what is due in the order of time, on a clock that moves only by that. Not thread-safe.
class EventQueue {
public:
  const Clock &clock() const { return Clock_; }
  TimePoint now() const { return Clock_.now(); }
  /// Calls Work once, Delay from now.
  void after(Duration Delay, std::function<void()> Work) {
    Due_.emplace(now() + Delay, std::move(Work));
  }
  /// Repeats Work for ever.
  void every(Duration Interval, std::function<void()> Work) {
    after(Interval, [this, Interval, Work = std::move(Work)] {
      Work();
      every(Interval, Work);
    });
  }
  /// Runs all that is due within Span, and moves the clock to its end.
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
