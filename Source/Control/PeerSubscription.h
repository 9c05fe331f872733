#pragma once

#include "Control/ControlIdentity.h"
#include "Control/LocalState.h"
#include "Core/Common/Clock.h"
#include "Core/Common/Logger.h"
#include "Core/Membership/EndpointTable.h"
#include "Link/LinkDialer.h"

#include <boost/json/object.hpp>

#include <functional>
#include <random>
#include <string_view>

namespace rattancart {

/// Receives what another control process sends. Not thread-safe.
class PeerListener {
public:
  virtual ~PeerListener() = default;
  virtual void onPeerImage(LogOffset Offset, std::string_view Image) = 0;
  virtual void onPeerRecord(LogOffset Offset, std::string_view Body) = 0;
  virtual void onPeerEndpoint(const Endpoint &Record, TimePoint ObservedAt) = 0;
};

/// The link to one other control process. Over it this process gets the endpoints of the other's
/// data centre and, while the platform can't be reached, newer settings. Not thread-safe.
class PeerSubscription final : private PeerLinkOwner {
public:
  /// Precondition: all references outlive the subscription.
  PeerSubscription(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                   std::mt19937_64 &Random, const ControlIdentity &Identity,
                   const LocalState &State, PeerListener &Listener, const NetAddress &Address);

  void start() { Dialer_.start(); }
  bool isUp() const { return Dialer_.link() != nullptr; }
  /// The peer's instance and data centre. Precondition: isUp().
  InstanceId peer() const { return InstanceId(Dialer_.link()->hello().instance); }
  DataCenterId dataCenter() const { return DataCenterId(Dialer_.link()->hello().data_center); }
  boost::json::object state() const;

private:
  wire::HelloT makeHello() override;
  wire::HeartbeatT makeHeartbeat() override;
  void onLinkUp(const PeerLinkPtr &Link) override;
  void onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) override;
  void onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) override;

  Logger &Log_;
  const ControlIdentity &Identity_;
  const LocalState &State_;
  PeerListener &Listener_;
  LinkDialer Dialer_;
};

} // namespace rattancart
