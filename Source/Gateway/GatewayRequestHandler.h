#pragma once

#include "Core/Serving/ServingIndex.h"
#include "Gateway/Exchange.h"
#include "Net/HttpServer.h"
#include "Net/Timer.h"

#include <unordered_set>

namespace rattancart {

/// Takes callers' requests: finds route, customer and service, and starts their exchange.
/// Not thread-safe.
class GatewayRequestHandler final : public HttpHandler {
public:
  /// Precondition: all arguments outlive the front.
  GatewayRequestHandler(GatewayContext &Parts, const ConfigHolder &Config);

  void handle(HttpRequest Request, HttpResponderPtr Responder) override;
  /// Tells all exchanges that an engine was found silent.
  void onEngineSilent(const EndpointId &Engine);
  /// Lets waiting and silent requests go on; called by its own timer every few tens of ms.
  void tick();
  std::size_t inFlight() const { return Active_.size(); }

private:
  void refuse(const RoutedRequest &Routed, std::uint32_t Status, ErrorCode Reason,
              std::optional<Duration> RetryAfter);
  void begin(RoutedRequest Routed);

  GatewayContext &Parts_;
  const ConfigHolder &Config_;
  std::unordered_set<std::shared_ptr<Exchange>> Active_;
  Timer Timer_;
};

} // namespace rattancart
