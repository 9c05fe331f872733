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

/// Serves the processes that connect to this control: routers and other controls. It pushes
/// settings, endpoints and limit shares to them and handles their claims. Not thread-safe.
class SubscriptionServer final : private PeerLinkOwner {
public:
  /// Precondition: all references outlive the server.
  SubscriptionServer(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                     const ControlIdentity &Identity, const LocalState &State, EndpointFeed &Feed,
                     LimitShareAllocator &ShareAllocator, ClaimOrderer &Claims);

  /// Starts to listen. Errors: BadAddress, BindFailed.
  std::error_code listen(const NetAddress &Address) { return Server_.listen(Address); }
  NetAddress address() const { return Server_.address(); }
  /// Call it when a record of the settings stream was applied; sends it to the subscribers.
  void onSettingsRecord(LogOffset Offset, std::string_view Body);
  /// Call it when a settings image replaced the state; sends it to subscribers that are behind.
  void onSettingsImage();
  /// Sends their limit shares and the total number of routers to the linked routers.
  void sendShares();
  /// The number of routers that are linked to this process.
  std::size_t linkedRouters() const;
  /// The bytes that all links received and sent so far, closed links included.
  std::uint64_t bytesIn() const;
  std::uint64_t bytesOut() const;
  boost::json::array state() const;

private:
  struct Subscriber {
    /// The offset of the settings that the peer has or was sent.
    LogOffset SettingsOffset_ = NoOffset;
    std::uint64_t FeedVersion_ = 0;
    /// The number of successive heartbeats that showed the peer behind this process.
    int HeartbeatsBehind_ = 0;
    /// The number of routers that are linked to the peer, if it is a control.
    std::uint32_t Routers_ = 0;
  };

  wire::HelloT makeHello() override;
  wire::HeartbeatT makeHeartbeat() override;
  void onLinkUp(const PeerLinkPtr &Link) override;
  void onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) override;
  void onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) override;

  void handle(const PeerLinkPtr &Link, const wire::HeartbeatT &Beat);
  void handle(const PeerLinkPtr &Link, const wire::ClaimRequestT &Request);
  std::uint32_t countAllRouters() const;
  void pushEndpoints();
  void pushEndpointsTo(const PeerLinkPtr &Link, Subscriber &Item);
  void sendImage(const PeerLinkPtr &Link, Subscriber &Item);

  boost::asio::io_context &Loop_;
  const Clock &Time_;
  Logger &Log_;
  const ControlIdentity &Identity_;
  const LocalState &State_;
  EndpointFeed &Feed_;
  LimitShareAllocator &ShareAllocator_;
  ClaimOrderer &Claims_;
  /// All accepted links. Those that are up are also subscribers.
  std::set<PeerLinkPtr> Links_;
  std::map<PeerLinkPtr, Subscriber> Subscribers_;
  std::uint64_t ClosedBytesIn_ = 0;
  std::uint64_t ClosedBytesOut_ = 0;
  FrameServer Server_;
  Timer PushTimer_;
};

} // namespace rattancart
