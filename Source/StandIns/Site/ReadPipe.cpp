#include "StandIns/Site/ReadPipe.h"

#include <algorithm>
#include <utility>

namespace rattancart {

void ReadPipe::pass(std::size_t Bytes, std::function<void()> Send) {
  PassedBytes_ += Bytes;
  if (BytesPerSecond_ == 0)
    return Send();
  const std::chrono::duration<double> Takes(static_cast<double>(Bytes) /
                                            static_cast<double>(BytesPerSecond_));
  FreeAt_ = std::max(FreeAt_, Time_.now()) + std::chrono::duration_cast<Duration>(Takes);
  Transfers_.push_back({FreeAt_, std::move(Send)});
  if (Transfers_.size() == 1)
    schedule();
}

void ReadPipe::schedule() {
  Timer_.after(std::max(Transfers_.front().EndsAt_ - Time_.now(), Duration{}), [this] {
    while (!Transfers_.empty() && Transfers_.front().EndsAt_ <= Time_.now()) {
      const std::function<void()> Send = std::move(Transfers_.front().Send_);
      Transfers_.pop_front();
      Send();
    }
    if (!Transfers_.empty())
      schedule();
  });
}

} // namespace rattancart
