#include "Link/PeerLink.h"

#include "Core/Common/ErrorCode.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

/// Number of sent heartbeats whose times are kept; they cover about two minutes.
constexpr std::size_t MaxSentHeartbeats = 256;

/// A link is closed if more than this is queued, since the peer then does not read.
constexpr std::size_t MaxQueuedBytes = 32UL * 1024 * 1024;

} // namespace

PeerLink::PeerLink(boost::asio::io_context &Loop, const Clock &Time, PeerLinkOwner &Owner,
                   FrameConnectionPtr Connection)
    : Time_(Time), Owner_(Owner), Connection_(std::move(Connection)), HeartbeatTimer_(Loop),
      LastReceivedAt_(Time.now()) {}

void PeerLink::start() {
  const std::weak_ptr<PeerLink> Weak = weak_from_this();
  Connection_->setHandlers(
      [Weak](std::span<const std::uint8_t> Payload) {
        if (const auto Self = Weak.lock())
          Self->receive(Payload);
      },
      [Weak](std::error_code Reason) {
        if (const auto Self = Weak.lock())
          Self->onConnectionClosed(Reason);
      });
  Connection_->send(encodeFrame(makeFrame(Owner_.makeHello())));
  sendHeartbeat();
  HeartbeatTimer_.every(HeartbeatInterval, [Weak] {
    if (const auto Self = Weak.lock())
      Self->onHeartbeatTimer();
  });
}

bool PeerLink::isUp() const {
  return !Down_ && HelloReceived_ && Time_.now() - LastReceivedAt_ <= HeartbeatTimeout;
}

bool PeerLink::send(const wire::FrameT &Frame) {
  if (!isUp())
    return false;
  Connection_->send(encodeFrame(Frame));
  return true;
}

void PeerLink::close(std::error_code Reason) {
  if (!CloseReason_)
    CloseReason_ = Reason;
  Connection_->close();
}

void PeerLink::closeWithoutCallback() {
  Down_ = true;
  HeartbeatTimer_.cancel();
  Connection_->close();
}

TimePoint PeerLink::earliestCreationTime(std::uint64_t Echo) const {
  const auto Found =
      std::find_if(SentHeartbeats_.begin(), SentHeartbeats_.end(),
                   [&](const SentHeartbeat &Sent) { return Sent.Sequence_ == Echo; });
  return Found == SentHeartbeats_.end() ? TimePoint{} : Found->At_;
}

void PeerLink::onHeartbeatTimer() {
  if (Down_)
    return;
  if (Time_.now() - LastReceivedAt_ > HeartbeatTimeout)
    return close(ErrorCode::HeartbeatMissed);
  if (Connection_->queuedBytes() > MaxQueuedBytes)
    return close(ErrorCode::FrameTooLarge);
  sendHeartbeat();
}

void PeerLink::sendHeartbeat() {
  wire::HeartbeatT Heartbeat = Owner_.makeHeartbeat();
  Heartbeat.sequence = NextSequence_++;
  Heartbeat.echo = PeerSequence_;
  SentHeartbeats_.push_back({Heartbeat.sequence, Time_.now()});
  if (SentHeartbeats_.size() > MaxSentHeartbeats)
    SentHeartbeats_.pop_front();
  Connection_->send(encodeFrame(makeFrame(std::move(Heartbeat))));
}

void PeerLink::receive(std::span<const std::uint8_t> Payload) {
  if (Down_)
    return;
  const auto Frame = decodeFrame(Payload);
  if (!Frame)
    return close(Frame.error().Code_);
  LastReceivedAt_ = Time_.now();
  if (!HelloReceived_)
    return acceptHello(**Frame);
  if (const auto *Heartbeat = (*Frame)->payload.AsHeartbeat())
    PeerSequence_ = std::max(PeerSequence_, Heartbeat->sequence);
  Owner_.onLinkFrame(shared_from_this(), **Frame);
}

void PeerLink::acceptHello(const wire::FrameT &Frame) {
  const auto *Hello = Frame.payload.AsHello();
  if (!Hello)
    return close(ErrorCode::MalformedFrame);
  if (Hello->protocol != FrameProtocolVersion)
    return close(ErrorCode::ProtocolVersion);
  Hello_ = *Hello;
  HelloReceived_ = true;
  Owner_.onLinkUp(shared_from_this());
}

void PeerLink::onConnectionClosed(std::error_code Reason) {
  if (Down_)
    return;
  Down_ = true;
  HeartbeatTimer_.cancel();
  Owner_.onLinkDown(shared_from_this(), CloseReason_ ? CloseReason_ : Reason);
}

} // namespace rattancart
