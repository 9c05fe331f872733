#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <system_error>

namespace rattancart {

/// Maximum size of one frame's payload in bytes.
inline constexpr std::size_t MaxFrameBytes = 16 * 1024 * 1024;

/// A TCP connection that carries length-prefixed frames: the payload's length as four bytes in
/// little-endian order, then the payload. Not thread-safe: use it on its event loop.
class FrameConnection {
public:
  virtual ~FrameConnection() = default;
  /// Queues one frame. Does nothing once the connection is closed.
  virtual void send(std::span<const std::uint8_t> Payload) = 0;
  /// Closes the connection; OnClosed is called with Cancelled.
  virtual void close() = 0;
  virtual bool isOpen() const = 0;
  /// Bytes queued and not yet written.
  virtual std::size_t queuedBytes() const = 0;
  /// Bytes received and sent so far, including the length prefixes.
  virtual std::uint64_t bytesIn() const = 0;
  virtual std::uint64_t bytesOut() const = 0;
  /// Starts to read. OnFrame is called with each payload, OnClosed once when the connection ends.
  /// Call it before the first event of the connection.
  virtual void setHandlers(std::function<void(std::span<const std::uint8_t>)> OnFrame,
                           std::function<void(std::error_code)> OnClosed) = 0;
};

using FrameConnectionPtr = std::shared_ptr<FrameConnection>;

/// Opens a frame connection. Done gets null and an error if it fails or takes longer than Timeout.
/// Precondition: Loop outlives the connection.
void openFrameConnection(boost::asio::io_context &Loop, const NetAddress &Address, Duration Timeout,
                         std::function<void(FrameConnectionPtr, std::error_code)> Done);

/// Accepts frame connections. Not thread-safe.
class FrameServer {
public:
  /// Precondition: Loop outlives the server.
  FrameServer(boost::asio::io_context &Loop, std::function<void(FrameConnectionPtr)> Accepted);
  ~FrameServer();
  FrameServer(const FrameServer &) = delete;
  FrameServer &operator=(const FrameServer &) = delete;

  /// Errors: BadAddress, BindFailed.
  std::error_code listen(const NetAddress &Address);
  NetAddress address() const;
  /// Accepts no more connections; open ones are unaffected.
  void stop();

private:
  class Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace rattancart
