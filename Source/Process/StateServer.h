#pragma once

#include "Net/HttpServer.h"

#include <boost/json/object.hpp>

#include <string>

namespace rattancart {

/// What a process tells about itself. Not thread-safe: called on the event loop.
class StateSource {
public:
  virtual ~StateSource() = default;
  /// The process's whole state.
  virtual boost::json::object state() const = 0;
  /// Why the process can't serve now; empty if it can.
  virtual std::string notReadyReason() const = 0;
  /// Metrics in Prometheus text format.
  virtual std::string metricsText() const = 0;
};

/// Answers that there is no such resource. Precondition: nothing was sent yet.
void sendNotFound(HttpResponder &Responder);

/// Answers GET /v1/state, /healthz, /readyz and /metrics. Not thread-safe.
class StateServer final : public HttpHandler {
public:
  /// Precondition: Source outlives the server. Next, if any, gets all other requests.
  explicit StateServer(const StateSource &Source, HttpHandler *Next = nullptr)
      : Source_(Source), Next_(Next) {}

  void handle(HttpRequest Request, HttpResponderPtr Responder) override;

private:
  const StateSource &Source_;
  HttpHandler *Next_;
};

} // namespace rattancart
