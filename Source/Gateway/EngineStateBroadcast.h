#pragma once

#include "Core/Admission/EndpointLimiter.h"
#include "Core/Common/Logger.h"
#include "Core/Membership/GatewayCountEstimator.h"
#include "Core/Membership/RelayPlan.h"
#include "Core/Recovery/PromptQuarantine.h"
#include "Core/Serving/EndpointRoster.h"
#include "Gateway/MetadataStore.h"
#include "Net/Timer.h"
#include "Process/MetricSet.h"

#include "Gateway_generated.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
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
                       MetricSet &Metrics, MetadataStore &Store, EndpointRoster &Roster,
                       GatewayCountEstimator &CountEstimator, PromptQuarantine &Quarantine,
                       EndpointLimiter &Limiter, DataCenterId Home,
                       std::vector<DataCenterId> DataCenters);

  /// Errors: BadAddress, BindFailed.
  std::error_code listen(const NetAddress &Address);
  /// The address where this gateway receives datagrams; its member name in the group.
  const std::string &member() const { return Member_; }
  /// Name of the group of gateways of which one owns the placement of the data centre.
  static std::string groupName(const DataCenterId &DataCenter);

  /// Sends the states of the home data centre's engines to the subscribers, if this gateway is the
  /// owner.
  void publish();
  /// Requests use engines of other data centres now. For some seconds this gateway receives their
  /// states as often as those of the engines at home.
  void noteRemoteUse();
  /// Notifies the other gateways that an engine does not answer.
  void announceSilent(const EndpointId &Engine, const DataCenterId &DataCenter);
  /// Sends what this process has newly seen of prompt parts that may crash engines to the owners of
  /// all data centres, which pass it on.
  void reportPromptSuspects();
  /// Tells the owner of the endpoint's data centre what this process learned of its limit.
  void reportLimit(const EndpointId &Endpoint);
  /// Sets the handler for engines that another gateway found silent.
  void onSilent(std::function<void(const EndpointId &)> Handler) {
    SilentHandler_ = std::move(Handler);
  }
  /// Sets the fencing number under which this gateway owns the placement at home; nothing if it
  /// does not own it.
  void setOwner(std::optional<FencingNumber> Fence) { Fence_ = Fence; }
  /// Sets the handler for another gateway that owns the placement at home under a higher number.
  void onOutranked(std::function<void(FencingNumber)> Handler) {
    OutrankedHandler_ = std::move(Handler);
  }
  /// Time since the last datagram of the owner at home; nothing if none was received.
  std::optional<Duration> ownerSilence() const;
  /// This gateway's index in the list of stand-ins that the last owner at home sent; nothing if it
  /// is not in the list.
  std::optional<std::size_t> standInRank() const;

private:
  using Udp = boost::asio::ip::udp;
  /// The subscription at the owner of one data centre.
  struct OwnerSubscription {
    std::string Owner_;
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
    /// When a subscriber of another data centre that sends no requests here gets the next states.
    TimePoint NextSendAt_{};
  };
  using Bytes = std::vector<std::uint8_t>;

  void receive();
  void onDatagram(std::size_t Size);
  void onStates(const wire::EngineStatesT &States);
  void onSubscribe(const wire::EngineSubscribeT &Request);
  void onEngineSilent(const wire::EngineSilentT &Message);
  /// The states of the home data centre's engines, split so that each datagram fits into a packet.
  std::vector<wire::EngineStatesT> stateDatagrams() const;
  /// Sends all datagrams to the relay of a group, which forwards them to the others of the group.
  void sendDatagrams(std::vector<wire::EngineStatesT> &Datagrams, const RelayGroup &Group);
  /// Forwards the datagram to the receivers that it lists.
  void relay(wire::EngineStatesT &States);
  /// Sets the fields that all datagrams of the owner have.
  void describeSender(std::vector<wire::EngineStatesT> &Datagrams) const;
  /// A datagram with the prompt parts that may crash engines; nothing if there are none.
  std::optional<wire::EngineStatesT> suspectsDatagram() const;
  /// Datagrams with the limits of the home data centre's endpoints.
  std::vector<wire::EngineStatesT> limitDatagrams();
  /// This process's demand for the endpoints of a data centre whose limits are known.
  std::vector<LimitDemand> demandsAt(const DataCenterId &DataCenter);
  bool isIn(const DataCenterId &DataCenter, const EndpointId &Endpoint) const;
  /// Addresses of the gateways that take over, in this order, when the owner is lost.
  std::vector<std::string> standIns() const;
  /// Number of gateways of the home data centre that subscribe here, this one included.
  std::uint32_t countHomeGateways() const;
  /// If no states arrive for this long, the owner of the data centre is looked up again.
  Duration silenceLimit(const DataCenterId &DataCenter) const;
  void subscribe();
  void subscribeAt(const DataCenterId &DataCenter, OwnerSubscription &Subscription);
  /// Renews the subscription at the owner, with this process's demand for endpoints with a limit.
  void sendSubscriptions(const DataCenterId &DataCenter, const std::string &Owner);
  void findOwner(const DataCenterId &DataCenter, OwnerSubscription &Subscription);
  static Bytes packStates(const wire::EngineStatesT &States);
  static Bytes pack(const wire::GatewayDatagramT &Content);
  void send(const Udp::endpoint &To, const Bytes &Packed);
  /// Logs, once, that an owner sends no more states.
  void logOwnerSilence(const DataCenterId &DataCenter, OwnerSubscription &Subscription,
                       TimePoint Now);
  /// Logs how many datagrams could not be sent since the last call.
  void logDropped();

  const Clock &Time_;
  Logger &Log_;
  MetricSet &Metrics_;
  MetadataStore &Store_;
  EndpointRoster &Roster_;
  GatewayCountEstimator &CountEstimator_;
  PromptQuarantine &Quarantine_;
  EndpointLimiter &Limiter_;
  DataCenterId Home_;
  Udp::socket Socket_;
  Udp::endpoint Sender_;
  Timer Timer_;
  std::string Member_;
  std::array<std::uint8_t, 8192> Buffer_{};
  std::map<DataCenterId, OwnerSubscription> Subscriptions_;
  std::map<Udp::endpoint, Subscriber> Subscribers_;
  std::function<void(const EndpointId &)> SilentHandler_;
  std::function<void(FencingNumber)> OutrankedHandler_;
  std::optional<FencingNumber> Fence_;
  TimePoint RemoteInUseUntil_{};
  std::mt19937 Random_{std::random_device{}()};
  /// Number of datagrams that could not be sent, and the error of the last of them.
  std::uint32_t Dropped_ = 0;
  std::error_code DropReason_;
};

} // namespace rattancart
