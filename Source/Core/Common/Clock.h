#pragma once

#include <chrono>

namespace rattancart {

using Duration = std::chrono::nanoseconds;
/// Monotonic time: deadlines, ages, timers.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
/// Wall-clock time: log lines and records that other machines read.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Source of time. Core code gets the time only through it, so that tests can control the time.
class Clock {
public:
  virtual ~Clock() = default;
  /// The monotonic time. Thread-safe.
  virtual TimePoint now() const = 0;
  /// The wall-clock time. Thread-safe.
  virtual WallTime wallNow() const = 0;
};

/// The machine's clocks. Thread-safe.
class SystemClock final : public Clock {
public:
  TimePoint now() const override {
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
  }
  WallTime wallNow() const override {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
  }
};

/// A clock that only advance moves, for tests and simulations. Not thread-safe.
class ManualClock final : public Clock {
public:
  TimePoint now() const override { return Now_; }
  WallTime wallNow() const override {
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(Now_.time_since_epoch()));
  }
  /// Moves the time forward. Precondition: Step is not negative.
  void advance(Duration Step) { Now_ += Step; }

private:
  TimePoint Now_{std::chrono::hours(1)};
};

} // namespace rattancart
