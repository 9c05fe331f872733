#pragma once

#include "Core/Common/Clock.h"
#include "Net/Timer.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>

namespace rattancart {

/// The rate that all reads of the store share: answers leave one after the other, in the order of
/// their calls, each after the time that its bytes take. An answer counts also if its caller has
/// gone meanwhile. Not thread-safe.
class ReadPipe {
public:
  /// Precondition: both arguments outlive the pipe.
  ReadPipe(boost::asio::io_context &Loop, const Clock &Time) : Time_(Time), Timer_(Loop) {}

  /// 0: without limit.
  void setRate(std::size_t BytesPerSecond) { BytesPerSecond_ = BytesPerSecond; }
  /// Calls Send once all answers before it and these bytes have passed; at once without a limit.
  void pass(std::size_t Bytes, std::function<void()> Send);
  /// Bytes that passed since the start.
  std::uint64_t passedBytes() const { return PassedBytes_; }

private:
  struct Transfer {
    TimePoint EndsAt_;
    std::function<void()> Send_;
  };
  void schedule();

  const Clock &Time_;
  Timer Timer_;
  std::size_t BytesPerSecond_ = 0;
  std::deque<Transfer> Transfers_;
  TimePoint FreeAt_{};
  std::uint64_t PassedBytes_ = 0;
};

} // namespace rattancart
