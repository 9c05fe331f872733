#include "Process/SignalWatcher.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <utility>

namespace rattancart {

class SignalWatcher::Impl : public std::enable_shared_from_this<SignalWatcher::Impl> {
public:
  Impl(boost::asio::io_context &Loop, std::function<void()> Handler)
      : Signals_(Loop, SIGTERM, SIGINT), Handler_(std::move(Handler)) {}

  void wait() {
    Signals_.async_wait([Self = shared_from_this()](boost::system::error_code E, int) {
      if (E || !Self->Handler_)
        return;
      Self->Handler_();
      Self->wait();
    });
  }

  void stop() {
    Handler_ = nullptr;
    boost::system::error_code Ignored;
    Signals_.cancel(Ignored);
  }

private:
  boost::asio::signal_set Signals_;
  std::function<void()> Handler_;
};

SignalWatcher::SignalWatcher(boost::asio::io_context &Loop, std::function<void()> Handler)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Handler))) {
  std::signal(SIGPIPE, SIG_IGN);
  Impl_->wait();
}

SignalWatcher::~SignalWatcher() { stop(); }

void SignalWatcher::stop() { Impl_->stop(); }

} // namespace rattancart
