#include "Link/LinkDialer.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

constexpr Duration ConnectTimeout = std::chrono::milliseconds(500);
constexpr std::chrono::milliseconds FirstBackoff{50};
constexpr std::chrono::milliseconds MaxBackoff{1000};

} // namespace

LinkDialer::LinkDialer(boost::asio::io_context &Loop, const Clock &Time, PeerLinkOwner &Owner,
                       std::mt19937_64 &Random, std::vector<NetAddress> Addresses)
    : Loop_(Loop), Time_(Time), Owner_(Owner), Random_(Random), Addresses_(std::move(Addresses)),
      RetryTimer_(Loop) {}

LinkDialer::~LinkDialer() {
  *Alive_ = false;
  if (Link_)
    Link_->closeWithoutCallback();
}

void LinkDialer::start() { dial(); }

PeerLinkPtr LinkDialer::link() const { return Link_ && Link_->isUp() ? Link_ : nullptr; }

void LinkDialer::dial() {
  openFrameConnection(
      Loop_, Addresses_[AddressIndex_], ConnectTimeout,
      [this, Alive = Alive_](FrameConnectionPtr Connection, std::error_code Failure) {
        if (!*Alive)
          return;
        if (Failure)
          return scheduleRetry();
        PeerLinkOwner &Self = *this;
        Link_ = std::make_shared<PeerLink>(Loop_, Time_, Self, std::move(Connection));
        Link_->start();
      });
}

void LinkDialer::scheduleRetry() {
  AddressIndex_ = (AddressIndex_ + 1) % Addresses_.size();
  ++RetryCount_;
  // The first round over all addresses is quick, later ones are slower. The delay is random, so
  // that processes that lost the same peer do not all reconnect at the same moment.
  const std::size_t Round = std::min<std::size_t>(RetryCount_ / Addresses_.size(), 5);
  const auto MaxDelay = std::min(MaxBackoff, FirstBackoff * (1 << Round));
  std::uniform_int_distribution<std::int64_t> Delay(MaxDelay.count() / 2, MaxDelay.count());
  RetryTimer_.after(std::chrono::milliseconds(Delay(Random_)), [this] { dial(); });
}

wire::HelloT LinkDialer::makeHello() { return Owner_.makeHello(); }

wire::HeartbeatT LinkDialer::makeHeartbeat() { return Owner_.makeHeartbeat(); }

void LinkDialer::onLinkUp(const PeerLinkPtr &Link) {
  RetryCount_ = 0;
  Owner_.onLinkUp(Link);
}

void LinkDialer::onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) {
  Owner_.onLinkFrame(Link, Frame);
}

void LinkDialer::onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) {
  if (Link_ == Link)
    Link_ = nullptr;
  Owner_.onLinkDown(Link, Reason);
  scheduleRetry();
}

} // namespace rattancart
