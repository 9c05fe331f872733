#pragma once

#include "Link/PeerLink.h"

#include <random>
#include <vector>

namespace rattancart {

/// Keeps one link to the first of several addresses that answers, and opens it anew, with
/// backoff and jitter, when it is lost. Not thread-safe.
class LinkDialer final : private PeerLinkOwner {
public:
  /// Precondition: Addresses is not empty; all references outlive the dialer.
  LinkDialer(boost::asio::io_context &Loop, const Clock &Time, PeerLinkOwner &Owner,
             std::mt19937_64 &Random, std::vector<NetAddress> Addresses);
  ~LinkDialer() override;
  LinkDialer(const LinkDialer &) = delete;
  LinkDialer &operator=(const LinkDialer &) = delete;

  void start();
  /// The link, if it is up; else null.
  PeerLinkPtr link() const;
  /// The address dialled last.
  const NetAddress &address() const { return Addresses_[Index_]; }

private:
  wire::HelloT makeHello() override;
  wire::HeartbeatT makeHeartbeat() override;
  void onLinkUp(const PeerLinkPtr &Link) override;
  void onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) override;
  void onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) override;

  void dial();
  void dialLater();

  boost::asio::io_context &Loop_;
  const Clock &Time_;
  PeerLinkOwner &Owner_;
  std::mt19937_64 &Random_;
  std::vector<NetAddress> Addresses_;
  std::size_t Index_ = 0;
  /// Addresses tried in vain since the last link was up.
  std::size_t Misses_ = 0;
  PeerLinkPtr Link_;
  Timer Retry_;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace rattancart
