#pragma once

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace rattancart {

/// Calls a handler for each SIGTERM or SIGINT, on the event loop. Ignores SIGPIPE, so that a write
/// to a closed connection fails instead of terminating the process. Not thread-safe.
class SignalWatcher {
public:
  SignalWatcher(boost::asio::io_context &Loop, std::function<void()> Handler);
  ~SignalWatcher();
  SignalWatcher(const SignalWatcher &) = delete;
  SignalWatcher &operator=(const SignalWatcher &) = delete;

  /// Stops watching, so that the event loop can end.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace rattancart
