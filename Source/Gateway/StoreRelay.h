#pragma once

#include "Core/Common/Logger.h"
#include "Core/Membership/ConfigHistory.h"
#include "Core/Membership/ListRelay.h"
#include "Gateway/ConfigExchange.h"
#include "Gateway/DatagramSocket.h"
#include "Gateway/EngineStateBroadcast.h"
#include "Gateway/MetadataStore.h"
#include "Net/Timer.h"
#include "Process/MetricSet.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattancart {

/// Lets a few gateways of each data centre read the platform's store for the others: sends what a
/// reader has read to its subscribers, passes what arrives from readers to the store's client, and
/// gets the configurations that readers offer.
/// ListRelay decides; a lost datagram is not repeated, since the next one replaces it. Not
/// thread-safe.
class StoreRelay {
public:
  /// All references must outlive the object.
  struct Dependencies {
    boost::asio::io_context &Loop_;
    const Clock &Time_;
    Logger &Log_;
    MetricSet &Metrics_;
    MetadataStore &Store_;
    DatagramSocket &Datagrams_;
    const EngineStateBroadcast &StateBroadcast_;
    /// Sends requests to other gateways.
    HttpSender &Client_;
  };

  /// Readers is the number of readers in each data centre; 0 switches the relay off.
  StoreRelay(Dependencies Use, DataCenterId Home, std::size_t Readers, ListRelay::Options Timing);

  /// Precondition: called before the store is followed, and after the socket listens.
  void start();
  bool enabled() const { return ReaderCount_ > 0; }
  StoreRole role() const { return Relay_.role(); }
  /// The time up to which the list is known to be complete; the epoch before the first listing.
  TimePoint listKnownAt() const { return Relay_.listKnownAt(); }
  /// Answers another gateway that asks for the configuration; see ConfigServer::handle().
  void handOutConfig(const HttpRequest &Request, const HttpResponderPtr &Responder) {
    ConfigServer_.handle(Request, Relay_.era(), Responder);
  }

private:
  void tick();
  std::vector<std::string> findReaders() const;
  /// Determines the readers of the home data centre and whether this gateway is one of them.
  void updateRole();
  void subscribe();
  void publish();
  /// Gets the configuration that a reader offers, if there is a later one.
  void fetchConfig();
  void onConfigFetched(const ConfigOffer &Offer, TimePoint BeganAt, Result<FetchedConfig> Fetched);
  /// Logs an end of the configuration's log that lies after the position here, once.
  void logLaterConfig();
  void onDatagram(wire::GatewayDatagramT &Content, const DatagramSocket::Endpoint &From);
  void onSubscribe(const wire::ListSubscribeT &Request, const DatagramSocket::Endpoint &From);
  void onChanges(const wire::ListChangesT &Received);
  /// The datagrams of a publication.
  std::vector<wire::ListChangesT> encode(const ListPublication &Content) const;
  /// Time since the epoch of the monotonic clock.
  Duration sinceEpoch() const { return Use_.Time_.now().time_since_epoch(); }

  Dependencies Use_;
  DataCenterId Home_;
  std::size_t ReaderCount_;
  GatewayRun Run_;
  ListRelay Relay_;
  ConfigHistory History_;
  ConfigServer ConfigServer_;
  ConfigFetcher Fetcher_;
  ReaderClocks Clocks_;
  Timer Timer_;
  std::vector<std::string> Readers_;
  /// The gateways of this data centre that subscribe here, and when their subscriptions end.
  std::map<DatagramSocket::Endpoint, TimePoint> Subscribers_;
  TimePoint SubscribedAt_{};
  TimePoint PublishedAt_{};
  /// What was published last.
  std::optional<TimePoint> PublishedRead_;
  std::optional<ListPosition> PublishedConfigEnd_;
  std::optional<ListPosition> LoggedConfigEnd_;
};

} // namespace rattancart
