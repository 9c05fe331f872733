#include "Process/StateServer.h"

#include "Core/Common/ErrorCode.h"

#include <boost/json/serialize.hpp>

#include <utility>

namespace rattancart {

namespace {

HttpResponse makeResponse(std::uint32_t Status, std::string Type, std::string Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.add("Content-Type", std::move(Type));
  Response.Body_ = std::move(Body);
  return Response;
}

HttpResponse readinessResponse(const StateSource &Source) {
  const std::string Reason = Source.notReadyReason();
  if (Reason.empty())
    return makeResponse(200, "text/plain", "ready\n");
  return makeResponse(503, "text/plain", "not ready: " + Reason + "\n");
}

} // namespace

void sendNotFound(HttpResponder &Responder) {
  boost::json::object Body;
  Body["error"] = static_cast<int>(ErrorCode::NoSuchResource);
  Body["message"] = std::string(errorInfo(ErrorCode::NoSuchResource).Text_);
  Responder.send(makeResponse(404, "application/json", boost::json::serialize(Body) + "\n"));
}

void StateServer::handle(HttpRequest Request, HttpResponderPtr Responder) {
  const std::string_view Path = Request.path();
  if (Request.Method_ == "GET" || Request.Method_ == "HEAD") {
    if (Path == "/v1/state")
      return Responder->send(
          makeResponse(200, "application/json", boost::json::serialize(Source_.state()) + "\n"));
    if (Path == "/healthz")
      return Responder->send(makeResponse(200, "text/plain", "ok\n"));
    if (Path == "/readyz")
      return Responder->send(readinessResponse(Source_));
    if (Path == "/metrics")
      return Responder->send(makeResponse(200, "text/plain; version=0.0.4", Source_.metricsText()));
  }
  if (Next_)
    return Next_->handle(std::move(Request), std::move(Responder));
  sendNotFound(*Responder);
}

} // namespace rattancart
