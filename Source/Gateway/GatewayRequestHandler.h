#pragma once

#include "Core/Serving/ServingIndex.h"
#include "Gateway/Exchange.h"
#include "Net/HttpServer.h"
#include "Net/Timer.h"

#include <unordered_set>

namespace rattancart {

/// Accepts callers' requests: finds the route, customer and service of each, and starts its
/// exchange. Not thread-safe.
class GatewayRequestHandler final : public HttpHandler {
public:
  /// Precondition: all arguments outlive the handler.
  GatewayRequestHandler(GatewayContext &Context, const ConfigHolder &Config);

  void handle(HttpRequest Request, HttpResponderPtr Responder) override;
  /// Notifies all exchanges that an engine was found silent.
  void onEngineSilent(const EndpointId &Engine);
  /// Lets exchanges handle queueing, timeouts and silence; called by a timer every few tens of ms.
  void tick();
  /// Ends all exchanges, because the process ends.
  void shutDown();
  std::size_t inFlight() const { return Active_.size(); }

private:
  void refuse(const RoutedRequest &Routed, std::uint32_t Status, ErrorCode Reason,
              std::optional<Duration> RetryAfter);
  void startExchange(RoutedRequest Routed);

  GatewayContext &Context_;
  const ConfigHolder &Config_;
  std::unordered_set<std::shared_ptr<Exchange>> Active_;
  Timer Timer_;
};

} // namespace rattancart
