#pragma once

#include <cstddef>

namespace rattancart {

/// How much of an endpoint's answer is taken. What is longer is no answer: its connection is
/// closed.
struct AnswerLimits {
  /// A whole answer, which waits in memory until it is complete.
  std::size_t MaxBodyBytes_ = 1024 * 1024;
  /// One event of a stream.
  std::size_t MaxEventBytes_ = 256 * 1024;
  /// Events that wait for a slow caller.
  std::size_t MaxQueuedBytes_ = 1024 * 1024;
};

} // namespace rattancart
