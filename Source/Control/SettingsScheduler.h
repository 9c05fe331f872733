#pragma once

#include "Core/Common/Clock.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace rattancart {

/// Calls functions after a delay; an interface, so that tests can control the time. Not
/// thread-safe.
class Scheduler {
public:
  virtual ~Scheduler() = default;
  /// Calls Handler once after Delay, never from within after. The call can't be cancelled; a
  /// handler must check whether it still applies.
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
