#pragma once

#include <cstddef>

namespace rattancart {

/// Upper limits for an endpoint's response. A response that exceeds one fails and its connection is
/// closed.
struct ResponseLimits {
  /// A response that is buffered until its end: that of a plain service, or an engine's error
  /// response.
  std::size_t MaxBodyBytes_ = 1024 * 1024;
  /// One event of a stream.
  std::size_t MaxEventBytes_ = 256 * 1024;
  /// Events of a stream that are queued for a slow caller.
  std::size_t MaxQueuedBytes_ = 1024 * 1024;
};

} // namespace rattancart
