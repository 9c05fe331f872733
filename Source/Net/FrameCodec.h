#pragma once

#include "Core/Common/Result.h"

#include "Frames_generated.h"

#include <cstdint>
#include <memory>
#include <span>
#include <utility>
#include <vector>

namespace rattancart {

/// Version of the frames; peers of another version are refused.
inline constexpr std::uint16_t FrameProtocolVersion = 1;
/// The status of a ClaimAnswer that is Unavailable although its claim may still win.
inline constexpr std::uint16_t ClaimMayStillWin = 1;

/// Encodes one frame. Thread-safe.
std::vector<std::uint8_t> encodeFrame(const wire::FrameT &Frame);
/// Verifies and decodes one frame. Errors: MalformedFrame. Thread-safe.
Result<std::unique_ptr<wire::FrameT>> decodeFrame(std::span<const std::uint8_t> Payload);

/// Wraps one message, for example wire::HeartbeatT, into a frame. Thread-safe.
template <typename Message> wire::FrameT makeFrame(Message Content) {
  wire::FrameT Frame;
  Frame.payload.Set(std::move(Content));
  return Frame;
}

/// Sends frames to one peer, as far as it is connected. Not thread-safe.
class FrameSender {
public:
  virtual ~FrameSender() = default;
  /// Whether the peer is connected and its heartbeat is fresh.
  virtual bool isUp() const = 0;
  /// Queues a frame; false if the peer is not connected, and nothing was queued.
  virtual bool send(const wire::FrameT &Frame) = 0;
};

} // namespace rattancart
