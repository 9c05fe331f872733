#pragma once

#include "Net/HttpServer.h"

#include <boost/json/object.hpp>

#include <string>

namespace rattancart {

/// Provides the state, readiness and metrics of a process. Not thread-safe: called on the event
/// loop.
class StateSource {
public:
  virtual ~StateSource() = default;
  /// The state dump of the process.
  virtual boost::json::object state() const = 0;
  /// Why the process is not ready to serve; empty if it is ready.
  virtual std::string notReadyReason() const = 0;
  /// Metrics in Prometheus text format.
  virtual std::string metricsText() const = 0;
};

/// Sends a 404 response. Precondition: nothing was sent yet.
void sendNotFound(HttpResponder &Responder);

/// Answers GET /v1/state, /healthz, /readyz and /metrics. Not thread-safe.
class StateServer final : public HttpHandler {
public:
  /// Next, if any, handles all other requests. Precondition: Source and Next outlive the server.
  explicit StateServer(const StateSource &Source, HttpHandler *Next = nullptr)
      : Source_(Source), Next_(Next) {}

  void handle(HttpRequest Request, HttpResponderPtr Responder) override;

private:
  const StateSource &Source_;
  HttpHandler *Next_;
};

} // namespace rattancart
