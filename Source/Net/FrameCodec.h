#pragma once

#include "Core/Common/Result.h"

#include "Frames_generated.h"

#include <cstdint>
#include <memory>
#include <span>
#include <utility>
#include <vector>

namespace rattancart {

/// Version of the frame protocol; a peer with another version is refused.
inline constexpr std::uint16_t FrameProtocolVersion = 1;
/// Status of a ClaimAnswer whose state is Unavailable although the claim may still win.
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

/// Sends frames to one peer while it is connected. Not thread-safe.
class FrameSender {
public:
  virtual ~FrameSender() = default;
  /// Whether the peer is connected and its last heartbeat is recent.
  virtual bool isUp() const = 0;
  /// Queues a frame. Returns false, and queues nothing, if the peer is not connected.
  virtual bool send(const wire::FrameT &Frame) = 0;
};

} // namespace rattancart
