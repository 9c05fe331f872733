#include "Control/SettingsScheduler.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace rattancart {

void LoopScheduler::after(Duration Delay, std::function<void()> Handler) {
  auto Timer = std::make_shared<boost::asio::steady_timer>(Loop_, Delay);
  Timer->async_wait([Timer, Handler = std::move(Handler)](boost::system::error_code Failure) {
    if (!Failure)
      Handler();
  });
}

} // namespace rattancart
