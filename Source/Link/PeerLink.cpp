#include "Link/PeerLink.h"

#include "Core/Common/ErrorCode.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

/// Sent heartbeats that are remembered; covers well over a minute.
constexpr std::size_t MaxSentKept = 256;

/// A peer that reads nothing while this much is queued for it is closed.
constexpr std::size_t MaxQueuedBytes = 32UL * 1024 * 1024;

} // namespace

PeerLink::PeerLink(boost::asio::io_context &Loop, const Clock &Time, PeerLinkOwner &Owner,
                   FrameConnectionPtr Connection)
    : Time_(Time), Owner_(Owner), Connection_(std::move(Connection)), Ticker_(Loop),
      HeardAt_(Time.now()) {}

void PeerLink::start() {
  const std::weak_ptr<PeerLink> Weak = weak_from_this();
  Connection_->setHandlers(
      [Weak](std::span<const std::uint8_t> Payload) {
        if (const auto Self = Weak.lock())
          Self->receive(Payload);
      },
      [Weak](std::error_code Reason) {
        if (const auto Self = Weak.lock())
          Self->closed(Reason);
      });
  Connection_->send(encodeFrame(makeFrame(Owner_.makeHello())));
  sendHeartbeat();
  Ticker_.every(HeartbeatInterval, [Weak] {
    if (const auto Self = Weak.lock())
      Self->tick();
  });
}

bool PeerLink::isUp() const {
  return !Down_ && HelloSeen_ && Time_.now() - HeardAt_ <= HeartbeatTimeout;
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

void PeerLink::abandon() {
  Down_ = true;
  Ticker_.cancel();
  Connection_->close();
}

TimePoint PeerLink::earliestCreationTime(std::uint64_t Echo) const {
  const auto Found = std::find_if(Sent_.begin(), Sent_.end(), [&](const SentHeartbeat &Item) {
    return Item.Sequence_ == Echo;
  });
  return Found == Sent_.end() ? TimePoint{} : Found->At_;
}

void PeerLink::tick() {
  if (Down_)
    return;
  if (Time_.now() - HeardAt_ > HeartbeatTimeout)
    return close(ErrorCode::HeartbeatMissed);
  if (Connection_->queuedBytes() > MaxQueuedBytes)
    return close(ErrorCode::FrameTooLarge);
  sendHeartbeat();
}

void PeerLink::sendHeartbeat() {
  wire::HeartbeatT Beat = Owner_.makeHeartbeat();
  Beat.sequence = NextSequence_++;
  Beat.echo = PeerSequence_;
  Sent_.push_back({Beat.sequence, Time_.now()});
  if (Sent_.size() > MaxSentKept)
    Sent_.pop_front();
  Connection_->send(encodeFrame(makeFrame(std::move(Beat))));
}

void PeerLink::receive(std::span<const std::uint8_t> Payload) {
  if (Down_)
    return;
  const auto Frame = decodeFrame(Payload);
  if (!Frame)
    return close(Frame.error().Code_);
  HeardAt_ = Time_.now();
  if (!HelloSeen_)
    return acceptHello(**Frame);
  if (const auto *Beat = (*Frame)->payload.AsHeartbeat())
    PeerSequence_ = std::max(PeerSequence_, Beat->sequence);
  Owner_.onLinkFrame(shared_from_this(), **Frame);
}

void PeerLink::acceptHello(const wire::FrameT &Frame) {
  const auto *Hello = Frame.payload.AsHello();
  if (!Hello)
    return close(ErrorCode::MalformedFrame);
  if (Hello->protocol != FrameProtocolVersion)
    return close(ErrorCode::ProtocolVersion);
  Hello_ = *Hello;
  HelloSeen_ = true;
  Owner_.onLinkUp(shared_from_this());
}

void PeerLink::closed(std::error_code Reason) {
  if (Down_)
    return;
  Down_ = true;
  Ticker_.cancel();
  Owner_.onLinkDown(shared_from_this(), CloseReason_ ? CloseReason_ : Reason);
}

} // namespace rattancart
