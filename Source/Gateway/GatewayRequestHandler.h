#pragma once

#include "Core/Admission/StartupQueue.h"
#include "Core/Serving/ServingIndex.h"
#include "Gateway/Exchange.h"
#include "Net/HttpServer.h"
#include "Net/Timer.h"

#include <map>
#include <unordered_set>

namespace rattancart {

/// Accepts callers' requests: finds the route, customer and service of each, and starts its
/// exchange. Not thread-safe.
class GatewayRequestHandler final : public HttpHandler {
public:
  /// Precondition: all arguments outlive the handler.
  GatewayRequestHandler(GatewayContext &Context, const ConfigHolder &Config);

  void handle(HttpRequest Request, HttpResponderPtr Responder) override;
  /// Handles a request that another gateway forwarded, or declines it if this one can't serve it
  /// either.
  void handleForwarded(HttpRequest Request, PeerResponderPtr Responder);
  std::size_t forwardedInFlight() const { return Forwarded_; }
  /// Until the call of onReady, requests wait in a queue with these options instead of being
  /// refused. Without this call, no request waits.
  void queueUntilReady(StartupQueueOptions Options, TimePoint StartedAt);
  /// The process has its configuration and the list of endpoints: handles the requests that wait.
  void onReady();
  /// Notifies all exchanges that an engine was found silent.
  void onEngineSilent(const EndpointId &Engine);
  /// Lets exchanges handle queueing, timeouts and silence; called by a timer every few tens of ms.
  void tick();
  /// Ends all exchanges, because the process ends.
  void shutDown();
  std::size_t inFlight() const { return Active_.size() + AwaitingStart_.size(); }

private:
  struct WaitingRequest {
    HttpRequest Request_;
    HttpResponderPtr Responder_;
    TimePoint ArrivedAt_{};
  };

  /// False if the request can't wait for the process to become ready.
  bool tryQueue(HttpRequest &Request, HttpResponderPtr &Responder);
  /// Stops waiting for these requests and routes them. Those that can't be served yet are refused.
  void routeWaiting(const std::vector<AdmissionTicket> &Tickets, std::string_view Outcome);
  void route(HttpRequest Request, HttpResponderPtr Responder, TimePoint ArrivedAt,
             PeerResponderPtr Peer = nullptr);
  void refuse(const RoutedRequest &Routed, std::uint32_t Status, ErrorCode Reason,
              std::optional<Duration> RetryAfter);
  void startExchange(RoutedRequest Routed);

  GatewayContext &Context_;
  const ConfigHolder &Config_;
  std::unordered_set<std::shared_ptr<Exchange>> Active_;
  std::size_t Forwarded_ = 0;
  StartupQueue StartupQueue_;
  std::map<AdmissionTicket, WaitingRequest> AwaitingStart_;
  Timer Timer_;
};

} // namespace rattancart
