#pragma once

#include "Core/Common/Logger.h"
#include "Core/Membership/Endpoint.h"
#include "Core/Membership/RelayPlan.h"
#include "Gateway/DatagramCodec.h"
#include "Net/Address.h"
#include "Process/MetricSet.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

namespace rattancart {

/// Sends and receives the datagrams of gateways on one UDP port. A datagram for many gateways is
/// sent to a few of them, which forward it; lost datagrams are not repeated. Not thread-safe.
class DatagramSocket {
public:
  using Endpoint = boost::asio::ip::udp::endpoint;
  using Handler = std::function<void(wire::GatewayDatagramT &, const Endpoint &From)>;

  /// Precondition: all arguments outlive the object.
  DatagramSocket(boost::asio::io_context &Loop, Logger &Log, MetricSet &Metrics)
      : Log_(Log), Metrics_(Metrics), Socket_(Loop) {}

  /// Errors: BadAddress, BindFailed.
  std::error_code listen(const NetAddress &Address);
  /// The address where datagrams are received.
  const std::string &address() const { return Address_; }
  /// Adds a handler, which is called for each valid datagram.
  void onDatagram(Handler Receive) { Handlers_.push_back(std::move(Receive)); }

  void send(const Endpoint &To, const DatagramBytes &Packed);
  /// Sends to an address; does nothing if it is not valid.
  void send(const std::string &To, const DatagramBytes &Packed);
  /// Sends all messages to all receivers, which are the addresses of each data centre. A message
  /// has a list of addresses that its first receiver forwards it to.
  template <typename Message>
  void sendToAll(std::vector<Message> &Messages,
                 const std::map<DataCenterId, std::vector<std::string>> &Receivers) {
    for (const RelayGroup &Group : planRelays(Receivers, Random_)) {
      const auto To = parseAddress(NetAddress(Group.Relay_));
      if (!To)
        continue;
      for (Message &Each : Messages) {
        Each.pass_to = Group.Receivers_;
        send(Endpoint(To->address(), To->port()), packPayload(Message(Each)));
      }
    }
  }
  /// Forwards a message to the receivers that it lists, without that list.
  template <typename Message> void forward(Message &Received) {
    const std::vector<std::string> Others = std::exchange(Received.pass_to, {});
    if (Others.empty())
      return;
    const DatagramBytes Packed = packPayload(Message(Received));
    for (const std::string &Other : Others)
      send(Other, Packed);
  }
  /// Logs how many datagrams could not be sent since the last call. Receivers is the number of
  /// gateways that subscribe here.
  void logDropped(std::size_t Receivers);

private:
  void receive();
  void dispatch(std::size_t Size);

  Logger &Log_;
  MetricSet &Metrics_;
  boost::asio::ip::udp::socket Socket_;
  Endpoint Sender_;
  std::string Address_;
  std::array<std::uint8_t, 8192> Buffer_{};
  std::vector<Handler> Handlers_;
  std::mt19937 Random_{std::random_device{}()};
  /// Number of datagrams that could not be sent, and the error of the last of them.
  std::uint32_t Dropped_ = 0;
  std::error_code DropReason_;
};

/// The text form of an address, as parseAddress reads it.
std::string addressText(const DatagramSocket::Endpoint &Endpoint);

} // namespace rattancart
