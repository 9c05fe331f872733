#pragma once

#include "Core/Common/Clock.h"

#include <algorithm>
#include <cstdint>

namespace rattancart {

/// The link of an engine to other engines: transfers are sent one after another at the rate of the
/// link, and each arrives after the one-way delay. Not thread-safe.
class LinkModel {
public:
  /// BytesPerSecond 0 is no limit.
  LinkModel(double BytesPerSecond, Duration Delay)
      : BytesPerSecond_(BytesPerSecond), Delay_(Delay) {}

  /// Queues a transfer; returns the time from Now until it arrives.
  Duration transfer(std::uint64_t Bytes, TimePoint Now) {
    FreeAt_ = std::max(FreeAt_, Now);
    if (BytesPerSecond_ > 0)
      FreeAt_ += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(static_cast<double>(Bytes) / BytesPerSecond_));
    return FreeAt_ - Now + Delay_;
  }

private:
  double BytesPerSecond_;
  Duration Delay_;
  TimePoint FreeAt_{};
};

} // namespace rattancart
