#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace rattancart {

/// Calls a handler for each SIGTERM or SIGINT, on the event loop. SIGPIPE is ignored, since a
/// write to a closed connection must end the write and not the process. Not thread-safe.
class SignalWatcher {
public:
  SignalWatcher(boost::asio::io_context &Loop, std::function<void()> Handler);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher &) = delete;
  SignalWatcher &operator=(const SignalWatcher &) = delete;

  /// Stops to watch, so that the event loop can end.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace rattancart
