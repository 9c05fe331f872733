#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Logger.h"
#include "Core/Membership/GatewayCountEstimator.h"
#include "Core/Membership/PeerDirectory.h"
#include "Gateway/DatagramSocket.h"
#include "Gateway/MetadataStore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattancart {

/// Who sends engine states to whom: the owners that this gateway subscribes to, one per data
/// centre, the gateways that subscribe here, and the stand-ins for the owner at home. Not
/// thread-safe.
class StateSubscriptions {
public:
  /// Precondition: all references outlive the object.
  StateSubscriptions(const Clock &Time, Logger &Log, MetadataStore &Store,
                     GatewayCountEstimator &CountEstimator, DataCenterId Home,
                     std::vector<DataCenterId> DataCenters);

  /// Sets the function that sends a subscription to the owner of a data centre.
  void onRenew(std::function<void(const DataCenterId &, const std::string &Owner)> Renew) {
    Renew_ = std::move(Renew);
  }
  /// Name of the group of gateways of which one owns the placement of the data centre.
  static std::string groupName(const DataCenterId &DataCenter);

  /// Renews the subscriptions at the owners; that at home only if SubscribeHome is set.
  /// RemoteInUse: requests are sent to other data centres, so their owners send every update.
  void renew(bool SubscribeHome, bool RemoteInUse);
  /// The owners of the data centres, by data centre; an empty name if the owner is not known.
  std::map<DataCenterId, std::string> owners() const;
  /// The owner of a data centre; empty if it is not known, null if there is no such data centre.
  const std::string *owner(const DataCenterId &DataCenter) const;
  /// States of a data centre arrived from its owner. Members: the stand-ins, empty if the datagram
  /// doesn't list them. Precondition: owner() knows the data centre.
  void onStates(const DataCenterId &DataCenter, const std::vector<std::string> &Members);
  /// Time since the last states of the owner at home; nothing if none were received.
  std::optional<Duration> ownerSilence() const;
  /// The stand-ins that the last owner at home named, in the order in which they take over.
  const std::vector<std::string> &standInsAtHome() const;

  /// A gateway subscribes here. InUse: it needs every update. Isolated: it reaches no endpoint of
  /// some service.
  void onSubscribe(const DatagramSocket::Endpoint &From, const DataCenterId &Home, bool InUse,
                   bool Isolated);
  /// Up to Count subscribers that reach endpoints, others at each call.
  std::vector<PeerGateway> takePeers(std::size_t Count);
  void dropExpired();
  /// The subscribers that get the next states, by data centre.
  std::map<DataCenterId, std::vector<std::string>> takeReceivers();
  std::vector<DatagramSocket::Endpoint> subscribers() const;
  std::size_t subscriberCount() const { return Subscribers_.size(); }
  /// Number of gateways of the home data centre that subscribe here, this one included.
  std::uint32_t countHomeGateways() const;
  /// Addresses of the gateways that take over, in this order, when this owner is lost. Own is the
  /// address of this gateway.
  std::vector<std::string> standIns(const std::string &Own) const;

private:
  /// The subscription at the owner of one data centre.
  struct OwnerSubscription {
    std::string Owner_;
    /// When the first subscription was sent to Owner_.
    TimePoint TriedSince_{};
    TimePoint HeardAt_{};
    TimePoint LookupAt_{};
    bool LookupPending_ = false;
    /// The silence of this owner was already logged.
    bool SilenceLogged_ = false;
    /// Stand-ins that the owner named, and the one to try next.
    std::vector<std::string> Members_;
    std::size_t NextMember_ = 0;
  };
  struct Subscriber {
    TimePoint ExpiresAt_{};
    DataCenterId Home_;
    bool InUse_ = false;
    bool Isolated_ = false;
    /// When a subscriber of another data centre that sends no requests here gets the next states.
    TimePoint NextSendAt_{};
  };

  /// Whether the owner is not known or should have sent states by now.
  bool isStale(const DataCenterId &DataCenter, const OwnerSubscription &Subscription) const;
  void renewAt(const DataCenterId &DataCenter, OwnerSubscription &Subscription);
  void tryOwner(OwnerSubscription &Subscription, std::string Owner) const;
  void findOwner(const DataCenterId &DataCenter, OwnerSubscription &Subscription);
  /// Logs, once, that an owner sends no more states.
  void logOwnerSilence(const DataCenterId &DataCenter, OwnerSubscription &Subscription,
                       TimePoint Now);

  const Clock &Time_;
  Logger &Log_;
  MetadataStore &Store_;
  GatewayCountEstimator &CountEstimator_;
  DataCenterId Home_;
  std::function<void(const DataCenterId &, const std::string &)> Renew_;
  /// Since when requests are sent to other data centres; nothing if they are not.
  std::optional<TimePoint> RemoteInUseSince_;
  std::map<DataCenterId, OwnerSubscription> Owners_;
  std::map<DatagramSocket::Endpoint, Subscriber> Subscribers_;
  /// The last subscriber that takePeers returned.
  std::optional<DatagramSocket::Endpoint> LastPeer_;
};

} // namespace rattancart
