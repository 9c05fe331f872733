#pragma once

#include "Net/HttpSender.h"
#include "Net/HttpServer.h"
#include "SiteModel/EventQueue.h"
#include "SiteModel/SimulatedEngines.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace rattancart {

/// What happens to the connections of a simulated gateway that is cut off from all engines.
enum class LinkFault : std::uint8_t {
  None,
  /// New connections time out, and nothing arrives on those that are open.
  Hangs,
  /// New connections are refused, and those that are open are reset.
  Resets,
  /// New connections are refused, and those that are open go on.
  RefusesNew,
};

/// The connections of one simulated gateway to all engines and to the other gateways, which a fault
/// doesn't concern. Not thread-safe.
class GatewayLink final : public HttpSender {
public:
  /// Called when an engine accepts a connection of the gateway, or refuses it or lets it time out.
  using ConnectHandler = std::function<void(const NetAddress &, bool Accepted, Duration Took)>;

  /// Finds what takes the requests at another gateway's address; null if it is no gateway's.
  using PeerFinder = std::function<HttpHandler *(const NetAddress &)>;

  /// Precondition: both arguments outlive the link.
  GatewayLink(EventQueue &Queue, SimulatedEngines &Engines) : Queue_(Queue), Engines_(Engines) {}

  void setFault(LinkFault Fault);
  LinkFault fault() const { return Fault_; }
  void onConnect(ConnectHandler Handler) { ConnectHandler_ = std::move(Handler); }

  void setPeers(PeerFinder Find) { FindPeer_ = std::move(Find); }

  HttpCallId send(const NetAddress &Address, HttpRequest Request, HttpSendOptions Options,
                  HttpCallback Done) override;
  void cancel(HttpCallId Id) override;

private:
  struct Call;
  class PeerConnection;
  using CallPtr = std::shared_ptr<Call>;

  void start(const CallPtr &Sent, const NetAddress &Address, HttpRequest Request,
             HttpSendOptions Options);
  void startAtPeer(const CallPtr &Sent, HttpHandler &Peer, HttpRequest Request,
                   const HttpSendOptions &Options);
  /// Connects to an engine to see whether that works; nothing is sent.
  void connectOnly(const CallPtr &Sent, const NetAddress &Address, Duration Timeout);
  void fail(const CallPtr &Sent, const NetAddress &Address, Duration After);
  void end(const CallPtr &Sent, HttpResult Result);
  bool hangs() const { return Fault_ == LinkFault::Hangs; }

  EventQueue &Queue_;
  SimulatedEngines &Engines_;
  LinkFault Fault_ = LinkFault::None;
  ConnectHandler ConnectHandler_;
  PeerFinder FindPeer_;
  std::map<std::int64_t, CallPtr> Calls_;
  std::int64_t NextCall_ = 1;
};

} // namespace rattancart
