#include "Gateway/PeerForwarding.h"

#include "Gateway/ConfigExchange.h"
#include "Gateway/GatewayRequestHandler.h"

#include <charconv>
#include <string>
#include <utility>

namespace rattancart {

namespace {

constexpr std::string_view DeclinedKind = "declined";
constexpr std::string_view FinalKind = "final";
/// Forwarded requests in flight from which on no more are taken. Two thirds of the gateways may
/// forward theirs, and a gateway's own callers need descriptors and memory too.
constexpr std::size_t MaxForwarded = 400;

std::uint64_t forwardedRevision(const HttpRequest &Request) {
  const std::string_view Text = Request.Headers_.get(forwarding::Revision);
  std::uint64_t Revision = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Revision);
  return Revision;
}

/// An endpoint must not refuse in the name of its gateway.
void removeOwnFields(HttpResponse &Response) {
  Response.Headers_.remove(forwarding::Refusal);
  Response.Headers_.remove(forwarding::Request);
}

} // namespace

PeerRefusal peerRefusal(const HttpResponse &Head, const RequestId &Expected) {
  const std::string_view Kind = Head.Headers_.get(forwarding::Refusal);
  if (Kind.empty() || Head.Headers_.get(forwarding::Request) != Expected.str())
    return PeerRefusal::None;
  return Kind == DeclinedKind ? PeerRefusal::Declined : PeerRefusal::Final;
}

void PeerResponder::decline() {
  sendRefusal(Protocol_.errorResponse(503, ErrorCode::NotReady, std::nullopt), DeclinedKind);
}

void PeerResponder::send(HttpResponse Response) {
  // An endpoint signs its answers; the others are this gateway's.
  if (!Protocol_.parseResponse(Response).Signed_)
    return sendRefusal(std::move(Response), FinalKind);
  removeOwnFields(Response);
  Connection_->send(std::move(Response));
}

void PeerResponder::startChunked(HttpResponse Head) {
  removeOwnFields(Head);
  Connection_->startChunked(std::move(Head));
}

void PeerResponder::startUntilClose(HttpResponse Head) {
  removeOwnFields(Head);
  Connection_->startUntilClose(std::move(Head));
}

void PeerResponder::sendRefusal(HttpResponse Response, std::string_view Kind) {
  Response.Headers_.set(std::string(forwarding::Refusal), std::string(Kind));
  Response.Headers_.set(std::string(forwarding::Request), Id_.str());
  Connection_->send(std::move(Response));
}

std::string_view PeerRequestHandler::declineReason(const HttpRequest &Request) const {
  if (!Accepting_)
    return "closing";
  if (Handler_.forwardedInFlight() >= MaxForwarded)
    return "busy";
  // A request must not be handled by an older configuration than the one that its caller has seen
  // in force.
  if (!Config_.current() ||
      Config_.current()->config().Revision_.value() < forwardedRevision(Request))
    return "older configuration";
  return {};
}

void PeerRequestHandler::handle(HttpRequest Request, HttpResponderPtr Responder) {
  if (ServeConfig_ && ConfigServer::isForConfig(Request))
    return ServeConfig_(Request, Responder);
  const RequestId Id = Context_.Protocol_.parseRequest(Request).Id_;
  auto Peer = std::make_shared<PeerResponder>(std::move(Responder), Context_.Protocol_, Id);
  const std::string_view Reason = declineReason(Request);
  Context_.Log_.log(LogEvent::ForwardedReceived,
                    {{"id", Id.str()},
                     {"from", std::string(Request.Headers_.get(forwarding::Sender))},
                     {"declined", Reason.empty() ? "-" : Reason}});
  Context_.Metrics_.count("forwarded_received_total", Reason.empty() ? "taken" : Reason);
  if (!Reason.empty())
    return Peer->decline();
  Request.Headers_.remove(forwarding::Revision);
  Request.Headers_.remove(forwarding::Sender);
  Handler_.handleForwarded(std::move(Request), std::move(Peer));
}

} // namespace rattancart
