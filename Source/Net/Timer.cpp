#include "Net/Timer.h"

#include <boost/asio/steady_timer.hpp>

#include <utility>

namespace rattancart {

struct Timer::State : std::enable_shared_from_this<Timer::State> {
  using Handler = std::shared_ptr<const std::function<void()>>;

  explicit State(boost::asio::io_context &Loop) : Timer_(Loop) {}

  /// Only the pending wait owns the handler, so that a handler that owns its own timer is freed
  /// with the wait.
  void arm(Duration Delay, bool Repeat, Handler Callback) {
    Timer_.expires_after(Delay);
    Timer_.async_wait([Self = shared_from_this(), Delay, Repeat, Callback = std::move(Callback),
                       Generation = Generation_](boost::system::error_code E) {
      // A wait that completed just before a cancel still runs, so the generation is compared.
      if (E || Generation != Self->Generation_)
        return;
      (*Callback)();
      if (Repeat && Generation == Self->Generation_)
        Self->arm(Delay, true, Callback);
    });
  }

  boost::asio::steady_timer Timer_;
  std::uint64_t Generation_ = 0;
};

Timer::Timer(boost::asio::io_context &Loop) : State_(std::make_shared<State>(Loop)) {}

Timer::~Timer() { cancel(); }

void Timer::after(Duration Delay, std::function<void()> Handler) {
  cancel();
  State_->arm(Delay, false, std::make_shared<const std::function<void()>>(std::move(Handler)));
}

void Timer::every(Duration Interval, std::function<void()> Handler) {
  cancel();
  State_->arm(Interval, true, std::make_shared<const std::function<void()>>(std::move(Handler)));
}

void Timer::cancel() {
  ++State_->Generation_;
  State_->Timer_.cancel();
}

} // namespace rattancart
