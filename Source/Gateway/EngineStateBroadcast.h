#pragma once

#include "Core/Admission/EndpointLimiter.h"
#include "Core/Common/Logger.h"
#include "Core/Membership/GatewayCountEstimator.h"
#include "Core/Recovery/ProbeVerdict.h"
#include "Core/Recovery/PromptQuarantine.h"
#include "Core/Serving/EndpointRoster.h"
#include "Gateway/DatagramSocket.h"
#include "Gateway/MetadataStore.h"
#include "Gateway/StateSubscriptions.h"
#include "Net/Timer.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace rattancart {

/// Distributes engine states over UDP, so that engines are polled by one gateway and not by all,
/// what gateways saw of prompt parts that crash engines, and the limits that endpoints name.
///
/// In each data centre one gateway, the owner of the placement, polls the engines and sends their
/// states to its subscribers, the other gateways. They look the owner up in the store. A lost
/// datagram is not repeated, since the next one replaces it. Not thread-safe.
class EngineStateBroadcast {
public:
  /// Precondition: all arguments outlive the object.
  EngineStateBroadcast(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                       DatagramSocket &Datagrams, MetadataStore &Store, EndpointRoster &Roster,
                       GatewayCountEstimator &CountEstimator, PromptQuarantine &Quarantine,
                       EndpointLimiter &Limiter, DataCenterId Home,
                       std::vector<DataCenterId> DataCenters);

  /// Errors: BadAddress, BindFailed.
  std::error_code listen(const NetAddress &Address);
  /// The address where this gateway receives datagrams; its member name in the group.
  const std::string &member() const { return Datagrams_.address(); }
  /// Name of the group of gateways of which one owns the placement of the data centre.
  static std::string groupName(const DataCenterId &DataCenter) {
    return StateSubscriptions::groupName(DataCenter);
  }

  /// Sends the states of the home data centre's engines to the subscribers, if this gateway is the
  /// owner.
  void publish();
  /// Requests use engines of other data centres now. For some seconds this gateway receives their
  /// states as often as those of the engines at home.
  void noteRemoteUse();
  /// Notifies the other gateways that an engine does not answer this one. Refused: the engine
  /// refused or reset the connections.
  void announceSilent(const EndpointId &Engine, const DataCenterId &DataCenter, bool Refused);
  /// Sends what this process has newly seen of prompt parts that may crash engines to the owners of
  /// all data centres, which pass it on.
  void reportPromptSuspects();
  /// Tells the owner of the endpoint's data centre what this process learned of its limit.
  void reportLimit(const EndpointId &Endpoint);
  /// Sets the handler for engines that another gateway found silent. It returns whether the owner
  /// of the engine's data centre passes the report on.
  void onSilent(std::function<bool(const SilenceReport &)> Handler) {
    SilentHandler_ = std::move(Handler);
  }
  /// Sets the handler that decides whether this gateway rejects the finding of an engine's owner
  /// that the engine is silent.
  void onOwnerFinding(std::function<bool(const EndpointId &)> Rejects) {
    RejectsOwnerFinding_ = std::move(Rejects);
  }
  /// Sets whether this gateway reaches no endpoint of some service, so that no others forward their
  /// requests here.
  void setIsolated(bool Isolated) { Isolated_ = Isolated; }
  /// Sets the handler for a gateway to which requests may be forwarded.
  void onPeer(std::function<void(const PeerGateway &)> Handler) {
    PeerHandler_ = std::move(Handler);
  }
  /// Sets the handler that is called for every datagram.
  void onReceived(std::function<void()> Handler) { ReceivedHandler_ = std::move(Handler); }
  /// Sets the fencing number under which this gateway owns the placement at home; nothing if it
  /// does not own it.
  void setOwner(std::optional<FencingNumber> Fence) { Fence_ = Fence; }
  /// Sets the handler for another gateway that owns the placement at home under a higher number.
  void onOutranked(std::function<void(FencingNumber)> Handler) {
    OutrankedHandler_ = std::move(Handler);
  }
  /// Time since the last datagram of the owner at home; nothing if none was received.
  std::optional<Duration> ownerSilence() const { return Subscriptions_.ownerSilence(); }
  /// This gateway's index in the list of stand-ins that the last owner at home sent; nothing if it
  /// is not in the list.
  std::optional<std::size_t> standInRank() const;
  /// Whether this gateway owns the placement at home.
  bool isOwner() const { return Fence_.has_value(); }
  /// The gateway that owns the placement at home, as far as it is known here; empty if it is not.
  const std::string &ownerAtHome() const;
  /// The gateways that take over when the owner at home is lost, in this order. The owner itself
  /// may be among them.
  std::vector<std::string> standInsAtHome() const;

private:
  void onDatagram(wire::GatewayDatagramT &Content, const DatagramSocket::Endpoint &From);
  void onStates(const wire::EngineStatesT &States);
  void onSubscribe(const wire::EngineSubscribeT &Request, const DatagramSocket::Endpoint &From);
  void onEngineSilent(const wire::EngineSilentT &Message, const DatagramSocket::Endpoint &From);
  void sendReport(const SilenceReport &Report, const DataCenterId &DataCenter);
  /// The states of the home data centre's engines, split so that each datagram fits into a packet.
  std::vector<wire::EngineStatesT> stateDatagrams();
  /// Some gateways that reach endpoints, as the first datagram lists them.
  std::vector<std::unique_ptr<wire::PeerGatewayT>> peers();
  /// Sets the fields that all datagrams of the owner have.
  void describeSender(std::vector<wire::EngineStatesT> &Datagrams) const;
  /// A datagram with the prompt parts that may crash engines; nothing if there are none.
  std::optional<wire::EngineStatesT> suspectsDatagram() const;
  /// Datagrams with the limits of the home data centre's endpoints.
  std::vector<wire::EngineStatesT> limitDatagrams();
  /// This process's demand for the endpoints of a data centre whose limits are known.
  std::vector<LimitDemand> demandsAt(const DataCenterId &DataCenter);
  bool isIn(const DataCenterId &DataCenter, const EndpointId &Endpoint) const;
  void subscribe();
  /// Renews the subscription at the owner, with this process's demand for endpoints with a limit.
  void sendSubscriptions(const DataCenterId &DataCenter, const std::string &Owner);

  const Clock &Time_;
  DatagramSocket &Datagrams_;
  EndpointRoster &Roster_;
  GatewayCountEstimator &CountEstimator_;
  PromptQuarantine &Quarantine_;
  EndpointLimiter &Limiter_;
  DataCenterId Home_;
  StateSubscriptions Subscriptions_;
  Timer Timer_;
  std::function<bool(const SilenceReport &)> SilentHandler_;
  std::function<bool(const EndpointId &)> RejectsOwnerFinding_;
  std::function<void()> ReceivedHandler_;
  std::function<void(FencingNumber)> OutrankedHandler_;
  std::function<void(const PeerGateway &)> PeerHandler_;
  bool Isolated_ = false;
  std::optional<FencingNumber> Fence_;
  TimePoint RemoteInUseUntil_{};
};

} // namespace rattancart
