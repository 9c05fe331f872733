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
/// A link without a heartbeat for this long is closed.
inline constexpr Duration HeartbeatTimeout = std::chrono::seconds(2);

class PeerLink;
using PeerLinkPtr = std::shared_ptr<PeerLink>;

/// What a process does with its links. It holds each link until onLinkDown. Not thread-safe.
class PeerLinkOwner {
public:
  virtual ~PeerLinkOwner() = default;
  /// The hello that this process sends on a new link.
  virtual wire::HelloT makeHello() = 0;
  /// The heartbeat's content; sequence and echo are filled in by the link.
  virtual wire::HeartbeatT makeHeartbeat() = 0;
  /// The peer's hello arrived; the link is up.
  virtual void onLinkUp(const PeerLinkPtr &Link) = 0;
  /// Any later frame, heartbeats included.
  virtual void onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) = 0;
  /// The link is closed. Called once, also if it never was up.
  virtual void onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) = 0;
};

/// One connection between two processes of the system, supervised by heartbeats.
///
/// Heartbeats also date what the peer says: a frame that echoes heartbeat N was made after the
/// peer had received N, so it was true no earlier than N's sending. Frames that waited in a
/// socket while this process was paused are thereby recognised as old. Not thread-safe.
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

  /// Closes the link without telling the owner, which goes away.
  void abandon();

  /// The peer's hello. Precondition: the link is up.
  const wire::HelloT &hello() const { return Hello_; }
  /// The last heartbeat sequence heard from the peer; goes into what this process sends.
  std::uint64_t echo() const { return PeerSequence_; }
  /// The earliest time at which a frame with this echo can have been made; the epoch if unknown.
  TimePoint earliestCreationTime(std::uint64_t Echo) const;
  std::uint64_t bytesIn() const { return Connection_->bytesIn(); }
  std::uint64_t bytesOut() const { return Connection_->bytesOut(); }

private:
  struct SentHeartbeat {
    std::uint64_t Sequence_;
    TimePoint At_;
  };

  void tick();
  void sendHeartbeat();
  void receive(std::span<const std::uint8_t> Payload);
  void acceptHello(const wire::FrameT &Frame);
  void closed(std::error_code Reason);

  const Clock &Time_;
  PeerLinkOwner &Owner_;
  FrameConnectionPtr Connection_;
  Timer Ticker_;
  wire::HelloT Hello_;
  bool HelloSeen_ = false;
  bool Down_ = false;
  std::error_code CloseReason_;
  TimePoint HeardAt_{};
  std::uint64_t NextSequence_ = 1;
  std::uint64_t PeerSequence_ = 0;
  std::deque<SentHeartbeat> Sent_;
};

} // namespace rattancart
