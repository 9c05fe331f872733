#pragma once

#include "Core/Common/Logger.h"
#include "Core/Membership/GatewayCountEstimator.h"
#include "Core/Membership/RelayPlan.h"
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

/// Passes on what the owner of each data centre's placement knows of its engines, so that engines
/// are asked by one gateway and not by all. Gateways subscribe at the owner, which they find
/// through the store; datagrams may get lost, and the next one makes up for it. Not thread-safe.
class EngineBulletin {
public:
  /// Precondition: all arguments outlive the object.
  EngineBulletin(boost::asio::io_context &Loop, const Clock &Time, Logger &Log, MetricSet &Metrics,
                 MetadataStore &Store, EndpointRoster &Roster, GatewayCountEstimator &Census,
                 DataCenterId Home, std::vector<DataCenterId> DataCenters);

  /// Errors: BadAddress, BindFailed.
  std::error_code listen(const NetAddress &Address);
  /// The address that datagrams come to; names this gateway in its group.
  const std::string &member() const { return Member_; }
  /// The group of gateways of which one owns a data centre's placement.
  static std::string group(const DataCenterId &Place);

  /// Sends the states of the home data centre's engines to all subscribers.
  void publish();
  /// Requests need engines of other data centres now. From then on and for some seconds, this
  /// process hears of them as often as of those at home.
  void useOthers();
  /// Tells the other gateways that an engine does not answer.
  void tellSilent(const EndpointId &Engine, const DataCenterId &Place);
  /// Calls Handler when another gateway found an engine silent.
  void onSilent(std::function<void(const EndpointId &)> Handler) { Silent_ = std::move(Handler); }
  /// Whether this gateway owns the placement at home, and under which number. The last owner heard
  /// is told, which may not know that it no longer is.
  void setOwner(std::optional<FencingNumber> Fence) { Fence_ = Fence; }
  /// Calls Handler when another gateway owns the placement at home under a higher number.
  void onOutranked(std::function<void(FencingNumber)> Handler) { Outranked_ = std::move(Handler); }
  /// Time since the owner at home was last heard; nothing if it never was.
  std::optional<Duration> ownerSilence() const;
  /// This gateway's place among those that the last owner at home named as its stand-ins; nothing
  /// if it is none of them.
  std::optional<std::size_t> rank() const;

private:
  using Udp = boost::asio::ip::udp;
  struct Source {
    std::string Owner_;
    TimePoint HeardAt_{};
    TimePoint AskedAt_{};
    bool Asking_ = false;
    /// The log says that this owner is not heard.
    bool SaidSilent_ = false;
    std::vector<std::string> Members_;
    std::size_t NextMember_ = 0;
  };
  struct Subscriber {
    TimePoint Until_{};
    DataCenterId Home_;
    bool InUse_ = false;
    /// Subscribers of other data centres that don't use this one hear of it now and then.
    TimePoint NextAt_{};
  };
  using Frame = std::vector<std::uint8_t>;

  void receive();
  void onDatagram(std::size_t Size);
  void onStates(const wire::EngineStatesT &States);
  void onTold(const wire::EngineSilentT &Told);
  /// The states of the home data centre's engines, each part small enough for one packet.
  std::vector<wire::EngineStatesT> stateParts() const;
  /// Sends all parts to a relay, which passes them on.
  void sendParts(std::vector<wire::EngineStatesT> &Parts, const RelayGroup &Group);
  void passOn(wire::EngineStatesT &States);
  std::vector<std::string> firstMembers() const;
  /// Gateways of the home data centre that subscribe here, and this one.
  std::uint32_t homeGateways() const;
  /// Without a bulletin for this long the owner of a data centre is looked up again.
  Duration silenceLimit(const DataCenterId &Place) const;
  void subscribe();
  void subscribeAt(const DataCenterId &Place, Source &From);
  void findOwner(const DataCenterId &Place, Source &From);
  static Frame packStates(const wire::EngineStatesT &States);
  static Frame pack(const wire::GatewayDatagramT &Content);
  void send(const Udp::endpoint &To, const Frame &Packed);
  /// Says which owner is no longer heard, once.
  void noteSilence(const DataCenterId &Place, Source &From, TimePoint Now);
  /// Says how many datagrams could not be sent since the last time.
  void logDropped();

  const Clock &Time_;
  Logger &Log_;
  MetricSet &Metrics_;
  MetadataStore &Store_;
  EndpointRoster &Roster_;
  GatewayCountEstimator &Census_;
  DataCenterId Home_;
  Udp::socket Socket_;
  Udp::endpoint Sender_;
  Timer Timer_;
  std::string Member_;
  std::array<std::uint8_t, 8192> Buffer_{};
  std::map<DataCenterId, Source> Sources_;
  std::map<Udp::endpoint, Subscriber> Subscribers_;
  std::function<void(const EndpointId &)> Silent_;
  std::function<void(FencingNumber)> Outranked_;
  std::optional<FencingNumber> Fence_;
  TimePoint OthersUsedUntil_{};
  std::mt19937 Random_{std::random_device{}()};
  /// Datagrams that could not be sent, and why the last of them could not.
  std::uint32_t Dropped_ = 0;
  std::error_code DropReason_;
};

} // namespace rattancart
