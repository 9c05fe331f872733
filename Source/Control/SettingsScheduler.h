#pragma once

#include "Core/Common/Clock.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace rattancart {

/// Runs functions later, so that tests can move the time by hand. Not thread-safe.
class Scheduler {
public:
  virtual ~Scheduler() = default;
  /// Calls Handler once after Delay, never from within after. There is no way to cancel it;
  /// handlers check whether they are still wanted.
  virtual void after(Duration Delay, std::function<void()> Handler) = 0;
};

/// A scheduler on an event loop.
class LoopScheduler final : public Scheduler {
public:
  /// Precondition: Loop outlives this object.
  explicit LoopScheduler(boost::asio::io_context &Loop) : Loop_(Loop) {}
  void after(Duration Delay, std::function<void()> Handler) override;

private:
  boost::asio::io_context &Loop_;
};

} // namespace rattancart
