#pragma once

#include "Link/PeerLink.h"

#include <random>
#include <vector>

namespace rattancart {

/// Keeps a link to one of several addresses: tries them in turn until one accepts, and reconnects
/// with backoff and jitter when the link is lost. Not thread-safe.
class LinkDialer final : private PeerLinkOwner {
public:
  /// Precondition: Addresses is not empty; all references outlive the dialer.
  LinkDialer(boost::asio::io_context &Loop, const Clock &Time, PeerLinkOwner &Owner,
             std::mt19937_64 &Random, std::vector<NetAddress> Addresses);
  ~LinkDialer() override;
  LinkDialer(const LinkDialer &) = delete;
  LinkDialer &operator=(const LinkDialer &) = delete;

  void start();
  /// The link if it is up, else null.
  PeerLinkPtr link() const;
  /// The address that was tried last.
  const NetAddress &address() const { return Addresses_[AddressIndex_]; }

private:
  wire::HelloT makeHello() override;
  wire::HeartbeatT makeHeartbeat() override;
  void onLinkUp(const PeerLinkPtr &Link) override;
  void onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) override;
  void onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) override;

  void dial();
  void scheduleRetry();

  boost::asio::io_context &Loop_;
  const Clock &Time_;
  PeerLinkOwner &Owner_;
  std::mt19937_64 &Random_;
  std::vector<NetAddress> Addresses_;
  std::size_t AddressIndex_ = 0;
  /// Number of retries since a link was last up.
  std::size_t RetryCount_ = 0;
  PeerLinkPtr Link_;
  Timer RetryTimer_;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace rattancart
