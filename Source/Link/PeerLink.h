#pragma once

#include "Core/Common/Clock.h"
#include "Net/FrameCodec.h"
#include "Net/FrameConnection.h"
#include "Net/Timer.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <system_error>

namespace rattancart {

/// Both sides send a heartbeat at this interval.
inline constexpr Duration HeartbeatInterval = std::chrono::milliseconds(500);
/// A link on which no frame arrives for this long is closed.
inline constexpr Duration HeartbeatTimeout = std::chrono::seconds(2);

class PeerLink;
using PeerLinkPtr = std::shared_ptr<PeerLink>;

/// Callbacks for the links of a process. The owner keeps each link alive until onLinkDown. Not
/// thread-safe.
class PeerLinkOwner {
public:
  virtual ~PeerLinkOwner() = default;
  /// The hello that this process sends on a new link.
  virtual wire::HelloT makeHello() = 0;
  /// The content of the next heartbeat; the link sets sequence and echo.
  virtual wire::HeartbeatT makeHeartbeat() = 0;
  /// The peer's hello arrived; the link is up.
  virtual void onLinkUp(const PeerLinkPtr &Link) = 0;
  /// A frame after the hello arrived, which may be a heartbeat.
  virtual void onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) = 0;
  /// The link was closed. Called once, even if the link was never up.
  virtual void onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) = 0;
};

/// A connection between two processes of the system, monitored by heartbeats.
///
/// Heartbeats also limit the age of received frames: a frame that echoes heartbeat N was created
/// after the peer had received N, so its content is no older than the sending of N. This shows that
/// frames are old if they waited in a socket while this process was paused. Not thread-safe.
class PeerLink final : public FrameSender, public std::enable_shared_from_this<PeerLink> {
public:
  /// Precondition: all references outlive the link. Call start() next.
  PeerLink(boost::asio::io_context &Loop, const Clock &Time, PeerLinkOwner &Owner,
           FrameConnectionPtr Connection);

  void start();
  bool isUp() const override;
  bool send(const wire::FrameT &Frame) override;
  /// Closes the link; onLinkDown follows.
  void close(std::error_code Reason);

  /// Closes the link without calling onLinkDown, for an owner that is being destroyed.
  void closeWithoutCallback();

  /// The peer's hello. Precondition: the link is up.
  const wire::HelloT &hello() const { return Hello_; }
  /// The last heartbeat sequence received from the peer, which this process echoes in its frames.
  std::uint64_t echo() const { return PeerSequence_; }
  /// The earliest time at which the peer can have created a frame with this echo; the epoch if the
  /// echoed heartbeat is unknown.
  TimePoint earliestCreationTime(std::uint64_t Echo) const;
  std::uint64_t bytesIn() const { return Connection_->bytesIn(); }
  std::uint64_t bytesOut() const { return Connection_->bytesOut(); }

private:
  struct SentHeartbeat {
    std::uint64_t Sequence_;
    TimePoint At_;
  };

  void onHeartbeatTimer();
  void sendHeartbeat();
  void receive(std::span<const std::uint8_t> Payload);
  void acceptHello(const wire::FrameT &Frame);
  void onConnectionClosed(std::error_code Reason);

  const Clock &Time_;
  PeerLinkOwner &Owner_;
  FrameConnectionPtr Connection_;
  Timer HeartbeatTimer_;
  wire::HelloT Hello_;
  bool HelloReceived_ = false;
  bool Down_ = false;
  std::error_code CloseReason_;
  TimePoint LastReceivedAt_{};
  std::uint64_t NextSequence_ = 1;
  std::uint64_t PeerSequence_ = 0;
  std::deque<SentHeartbeat> SentHeartbeats_;
};

} // namespace rattancart
