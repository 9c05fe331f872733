#pragma once

#include "Control/ClaimOrderer.h"
#include "Control/ControlIdentity.h"
#include "Control/EndpointFeed.h"
#include "Control/LocalState.h"
#include "Core/Admission/LimitShareAllocator.h"
#include "Core/Common/Clock.h"
#include "Core/Common/Logger.h"
#include "Link/PeerLink.h"
#include "Net/Timer.h"

#include <boost/json/array.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string_view>

namespace rattancart {

/// Serves the processes that dialled this control: routers and other controls. It pushes settings,
/// endpoints and limit shares to them and takes their claims. Not thread-safe.
class Distributor final : private PeerLinkOwner {
public:
  /// Precondition: all references outlive the distributor.
  Distributor(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
              const ControlIdentity &Identity, const LocalState &State, EndpointFeed &Feed,
              LimitShareAllocator &Shares, ClaimOrderer &Claims);

  /// Errors: BadAddress, BindFailed.
  std::error_code listen(const NetAddress &Address) { return Server_.listen(Address); }
  NetAddress address() const { return Server_.address(); }
  /// A record of the settings stream was applied.
  void onSettingsRecord(LogOffset Offset, std::string_view Body);
  /// A settings image was taken over.
  void onSettingsImage();
  /// Sends the limit shares and the number of routers to the routers.
  void sendShares();
  /// Routers that are linked to this process.
  std::size_t ownRouters() const;
  /// Bytes that all links received and sent so far.
  std::uint64_t bytesIn() const;
  std::uint64_t bytesOut() const;
  boost::json::array state() const;

private:
  struct Subscriber {
    /// The settings that the peer has or was sent.
    LogOffset SettingsOffset_ = NoOffset;
    std::uint64_t FeedVersion_ = 0;
    /// Heartbeats in a row that showed the peer behind what it was sent.
    int Behind_ = 0;
    /// Routers behind the peer, if it is a control.
    std::uint32_t Routers_ = 0;
  };

  wire::HelloT makeHello() override;
  wire::HeartbeatT makeHeartbeat() override;
  void onLinkUp(const PeerLinkPtr &Link) override;
  void onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) override;
  void onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) override;

  void take(const PeerLinkPtr &Link, const wire::HeartbeatT &Beat);
  void take(const PeerLinkPtr &Link, const wire::ClaimRequestT &Request);
  std::uint32_t allRouters() const;
  void pushEndpoints();
  void pushEndpointsTo(const PeerLinkPtr &Link, Subscriber &Item);
  void sendImage(const PeerLinkPtr &Link, Subscriber &Item);

  boost::asio::io_context &Loop_;
  const Clock &Time_;
  Logger &Log_;
  const ControlIdentity &Identity_;
  const LocalState &State_;
  EndpointFeed &Feed_;
  LimitShareAllocator &Shares_;
  ClaimOrderer &Claims_;
  /// All accepted links; those that are up are subscribers, too.
  std::set<PeerLinkPtr> Links_;
  std::map<PeerLinkPtr, Subscriber> Subscribers_;
  std::uint64_t ClosedBytesIn_ = 0;
  std::uint64_t ClosedBytesOut_ = 0;
  FrameServer Server_;
  Timer PushTimer_;
};

} // namespace rattancart
