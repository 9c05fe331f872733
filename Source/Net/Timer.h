#pragma once

#include "Core/Common/Clock.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace rattancart {

/// Calls a handler once or at intervals on the event loop. Destroying the timer cancels it.
/// Not thread-safe.
class Timer {
public:
  explicit Timer(boost::asio::io_context &Loop);
  ~Timer();
  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /// Calls Handler once after Delay. Cancels what was scheduled before.
  void after(Duration Delay, std::function<void()> Handler);
  /// Calls Handler after each Interval. Cancels what was scheduled before.
  void every(Duration Interval, std::function<void()> Handler);
  void cancel();

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace rattancart
