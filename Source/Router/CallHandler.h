#pragma once

#include "Core/Calls/RetryBudget.h"
#include "Router/CallEndpointPicker.h"
#include "Router/CallSession.h"
#include "Router/RouteHandler.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace rattancart {

/// Serves the routes to plain services. Not thread-safe: use it on the router's event loop.
class CallHandler final : public RouteHandler {
public:
  /// Precondition: Services and Budget outlive the handler.
  CallHandler(RouterServices &Services, RetryBudget &Budget);

  /// Precondition: the request's route names a service.
  void handle(RoutedRequest Request) override;
  /// The number of calls that are not over. A call whose caller was already answered still counts
  /// while the router waits for the endpoint's answer to record it.
  std::size_t inFlight() const override { return Sessions_.size(); }
  boost::json::object state() const override;
  const CallStats &stats() const { return Stats_; }

private:
  RouterServices &Services_;
  RetryBudget &Budget_;
  CallEndpointPicker Picker_;
  CallStats Stats_;
  std::uint64_t NextSession_ = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<CallSession>> Sessions_;
};

} // namespace rattancart
