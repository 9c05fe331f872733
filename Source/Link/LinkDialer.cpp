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
      Retry_(Loop) {}

LinkDialer::~LinkDialer() {
  *Alive_ = false;
  if (Link_)
    Link_->abandon();
}

void LinkDialer::start() { dial(); }

PeerLinkPtr LinkDialer::link() const { return Link_ && Link_->isUp() ? Link_ : nullptr; }

void LinkDialer::dial() {
  openFrameConnection(
      Loop_, Addresses_[Index_], ConnectTimeout,
      [this, Alive = Alive_](FrameConnectionPtr Connection, std::error_code Failure) {
        if (!*Alive)
          return;
        if (Failure)
          return dialLater();
        PeerLinkOwner &Self = *this;
        Link_ = std::make_shared<PeerLink>(Loop_, Time_, Self, std::move(Connection));
        Link_->start();
      });
}

void LinkDialer::dialLater() {
  Index_ = (Index_ + 1) % Addresses_.size();
  ++Misses_;
  // One quick round over all addresses, then slower: many processes that lost the same peer must
  // not come back in step.
  const std::size_t Round = std::min<std::size_t>(Misses_ / Addresses_.size(), 5);
  const auto Ceiling = std::min(MaxBackoff, FirstBackoff * (1 << Round));
  std::uniform_int_distribution<std::int64_t> Jitter(Ceiling.count() / 2, Ceiling.count());
  Retry_.after(std::chrono::milliseconds(Jitter(Random_)), [this] { dial(); });
}

wire::HelloT LinkDialer::makeHello() { return Owner_.makeHello(); }

wire::HeartbeatT LinkDialer::makeHeartbeat() { return Owner_.makeHeartbeat(); }

void LinkDialer::onLinkUp(const PeerLinkPtr &Link) {
  Misses_ = 0;
  Owner_.onLinkUp(Link);
}

void LinkDialer::onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) {
  Owner_.onLinkFrame(Link, Frame);
}

void LinkDialer::onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) {
  if (Link_ == Link)
    Link_ = nullptr;
  Owner_.onLinkDown(Link, Reason);
  dialLater();
}

} // namespace rattancart
