#pragma once

#include "Core/Admission/AdmissionTypes.h"
#include "Core/Calls/ClaimPositionTracker.h"
#include "Core/Common/Clock.h"
#include "Core/Common/Logger.h"
#include "Core/Membership/EndpointTable.h"
#include "Core/Settings/SettingsReplica.h"
#include "Link/LinkDialer.h"
#include "Net/Timer.h"
#include "Router/FrameClaimClient.h"

#include <boost/json/object.hpp>

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace rattancart {

/// How a router identifies itself to its control process.
struct RouterIdentity {
  InstanceId Instance_;
  DataCenterId DataCenter_;
  Incarnation Incarnation_;
};

/// Receives what the control process sends to the router. Not thread-safe.
class ViewListener {
public:
  virtual ~ViewListener() = default;
  /// The settings or the endpoints changed.
  virtual void onViewChanged() = 0;
  /// The parts of the customers' limits that this router may use. Default: the part for customers
  /// that are not listed.
  virtual void onShares(const std::vector<CustomerShare> &Shares, double Default) = 0;
  /// The number of routers that send to the same endpoints, this one included.
  virtual void onRouters(std::size_t Count) = 0;
  /// What the customers requested since the last heartbeat.
  virtual std::vector<CustomerDemand> takeDemand() = 0;
};

/// Keeps a router's view (settings, endpoints, limit shares and the tail of the claims stream) up
/// to date from the control process that is connected, whichever it is. Not thread-safe.
class ViewFollower final : private PeerLinkOwner, private FrameSender {
public:
  /// Precondition: Controls is not empty; all references outlive the follower.
  ViewFollower(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
               std::mt19937_64 &Random, RouterIdentity Identity, std::vector<NetAddress> Controls,
               EndpointTable &Endpoints, ViewListener &Listener);

  void start();
  ClaimClient &claims() { return Claims_; }
  const SettingsReplica &settings() const { return Settings_; }
  /// The claim position of a request that is read now. It never decreases.
  LogOffset claimTail() const { return ClaimPosition_.position(Time_.now()); }
  /// Whether a control process is connected.
  bool isUp() const override;
  /// Whether settings and endpoints were received at least once.
  bool hasView() const { return EndpointsSeen_ && Settings_.offset() != NoOffset; }
  /// Whether everything that a control process knew at At has arrived.
  bool isRenewedSince(TimePoint At) const { return RenewedAt_ >= At; }
  boost::json::object state() const;

private:
  wire::HelloT makeHello() override;
  wire::HeartbeatT makeHeartbeat() override;
  void onLinkUp(const PeerLinkPtr &Link) override;
  void onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) override;
  void onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) override;
  bool send(const wire::FrameT &Frame) override;

  void handle(const PeerLinkPtr &Link, const wire::HeartbeatT &Beat);
  void handle(const wire::SettingsImageT &Image);
  void handle(const PeerLinkPtr &Link, const wire::SettingsRecordT &Record);
  void handle(const PeerLinkPtr &Link, const wire::EndpointUpdateT &Update);
  void handle(const wire::LimitSharesT &Shares);
  void settingsChanged();

  const Clock &Time_;
  Logger &Log_;
  RouterIdentity Identity_;
  EndpointTable &Endpoints_;
  ViewListener &Listener_;
  SettingsReplica Settings_;
  LinkDialer Dialer_;
  FrameClaimClient Claims_;
  /// Mutable, since asking for the position also checks for a stall of the event loop.
  mutable ClaimPositionTracker ClaimPosition_;
  Timer StallCheckTimer_;
  bool EndpointsSeen_ = false;
  TimePoint RenewedAt_{};
  /// The last default share received. It is the only share while no control is connected.
  double DefaultShare_ = 1;
  std::uint64_t LinksLost_ = 0;
};

} // namespace rattancart
