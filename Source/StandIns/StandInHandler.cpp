#include "StandIns/StandInHandler.h"

#include <boost/asio/steady_timer.hpp>

#include <fmt/format.h>

#include <charconv>
#include <memory>

namespace rattancart {

namespace {

std::uint64_t parseNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

} // namespace

HttpResponse jsonAnswer(std::uint32_t Status, std::string Body) {
  HttpResponse Response;
  Response.Status_ = Status;
  Response.Headers_.add("Content-Type", "application/json");
  if (Status == 503 || Status == 429)
    Response.Headers_.add("Retry-After", "1");
  Response.Body_ = std::move(Body);
  return Response;
}

void StandInHandler::handle(HttpRequest Request, HttpResponderPtr Responder) {
  if (Request.path() == "/healthz")
    return Responder->send(
        jsonAnswer(200, fmt::format("{{\"ok\":true,\"waiting\":{}}}\n", waitingRequests())));
  if (Request.path() == "/faults")
    return serveFaults(Request, *Responder);
  if (Request.path() == "/v1/history") {
    HttpResponse Response;
    Response.Headers_.add("Content-Type", "application/x-ndjson");
    Response.Body_ = historyText(parseNumber(Request.query("from")));
    return Responder->send(std::move(Response));
  }
  const Duration Delay = commonFaults().Delay_;
  if (Delay.count() == 0)
    return dispatch(std::move(Request), std::move(Responder));
  auto Held = std::make_shared<HeldRequest>(HeldRequest{std::move(Request), std::move(Responder)});
  ++DelayedRequests_;
  after(Delay, [this, Held] {
    --DelayedRequests_;
    dispatch(std::move(Held->Request_), std::exchange(Held->Responder_, nullptr));
  });
}

void StandInHandler::dispatch(HttpRequest Request, HttpResponderPtr Responder) {
  if (commonFaults().Down_)
    return Responder->abort();
  if (commonFaults().Hang_) {
    HeldRequests_.push_back({std::move(Request), std::move(Responder)});
    return;
  }
  serve(std::move(Request), std::move(Responder));
}

void StandInHandler::serveFaults(const HttpRequest &Request, HttpResponder &Responder) {
  if (Request.Method_ != "GET") {
    if (!setFaultText(Request.Body_))
      return Responder.send(jsonAnswer(400, "{\"error\":\"not a JSON object\"}\n"));
    Log_.log(LogEvent::FaultSet, {{"faults", Request.Body_}});
    releaseHeld();
  }
  Responder.send(jsonAnswer(200, faultText()));
}

void StandInHandler::releaseHeld() {
  if (commonFaults().Hang_ && !commonFaults().Down_)
    return;
  for (HeldRequest &Held : std::exchange(HeldRequests_, {}))
    dispatch(std::move(Held.Request_), std::move(Held.Responder_));
  for (HeldAnswer &Held : std::exchange(HeldAnswers_, {}))
    deliver(Held.Responder_, std::move(Held.Response_));
}

void StandInHandler::deliver(const HttpResponderPtr &Responder, HttpResponse Response) {
  if (commonFaults().Down_)
    return Responder->abort();
  if (commonFaults().Hang_) {
    HeldAnswers_.push_back({Responder, std::move(Response)});
    return;
  }
  Responder->send(std::move(Response));
}

void StandInHandler::after(Duration Delay, std::function<void()> Handler) {
  if (Delay.count() <= 0)
    return Handler();
  auto DelayTimer = std::make_shared<boost::asio::steady_timer>(Loop_, Delay);
  DelayTimer->async_wait([DelayTimer, Handler = std::move(Handler)](boost::system::error_code E) {
    if (!E)
      Handler();
  });
}

void StandInHandler::notifyEntryChanged(const EntryChange &Change) const {
  if (EntryChanged_)
    EntryChanged_(Change);
}

std::string StandInHandler::historyText(std::uint64_t From) const {
  (void)From;
  return {};
}

} // namespace rattancart
