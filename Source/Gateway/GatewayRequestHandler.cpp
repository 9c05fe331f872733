#include "Gateway/GatewayRequestHandler.h"

#include "Gateway/CallExchange.h"
#include "Gateway/StreamExchange.h"

#include <utility>
#include <vector>

namespace rattancart {

namespace {

/// How often exchanges check their time limits: much shorter than the pauses that they must detect.
constexpr Duration TickInterval = std::chrono::milliseconds(25);
/// Retry-After while there is no configuration, which is read within about this time of the start,
/// or no service for the route.
constexpr Duration NoConfigRetry = std::chrono::milliseconds(500);

} // namespace

GatewayRequestHandler::GatewayRequestHandler(GatewayContext &Context, const ConfigHolder &Config)
    : Context_(Context), Config_(Config), StartupQueue_({}, Context.Time_.now()),
      Timer_(Context.Loop_) {
  Timer_.every(TickInterval, [this] { tick(); });
}

void GatewayRequestHandler::queueUntilReady(StartupQueueOptions Options, TimePoint StartedAt) {
  StartupQueue_ = StartupQueue(Options, StartedAt);
}

bool GatewayRequestHandler::tryQueue(HttpRequest &Request, HttpResponderPtr &Responder) {
  const TimePoint Now = Context_.Time_.now();
  const CallerRequest Caller = Context_.Protocol_.parseRequest(Request);
  const AdmissionTicket Ticket = Context_.NextTicket_;
  if (!StartupQueue_.tryEnqueue(Ticket, Request.Body_.size(),
                                Caller.TimeBudget_.value_or(Duration::max()), Now))
    return false;
  Context_.NextTicket_ = AdmissionTicket(Ticket.value() + 1);
  Responder->onClosed([this, Ticket] {
    StartupQueue_.remove(Ticket);
    AwaitingStart_.erase(Ticket);
  });
  AwaitingStart_.emplace(Ticket, WaitingRequest{std::move(Request), std::move(Responder), Now});
  return true;
}

void GatewayRequestHandler::routeWaiting(const std::vector<AdmissionTicket> &Tickets,
                                         std::string_view Outcome) {
  for (const AdmissionTicket Ticket : Tickets) {
    auto Found = AwaitingStart_.extract(Ticket);
    if (Found.empty())
      continue;
    WaitingRequest &Waited = Found.mapped();
    if (!Waited.Responder_->isOpen())
      continue;
    Context_.Metrics_.observe("startup_wait_seconds", Outcome,
                              Context_.Time_.now() - Waited.ArrivedAt_);
    route(std::move(Waited.Request_), std::move(Waited.Responder_), Waited.ArrivedAt_);
  }
}

void GatewayRequestHandler::onReady() { routeWaiting(StartupQueue_.close(), "ready"); }

void GatewayRequestHandler::tick() {
  const TimePoint Now = Context_.Time_.now();
  routeWaiting(StartupQueue_.takeExpired(Now), "expired");
  // An exchange that ends during its tick removes itself from the set.
  const std::vector<std::shared_ptr<Exchange>> Copy(Active_.begin(), Active_.end());
  for (const auto &Each : Copy)
    Each->tick(Now);
}

void GatewayRequestHandler::onEngineSilent(const EndpointId &Engine) {
  const std::vector<std::shared_ptr<Exchange>> Copy(Active_.begin(), Active_.end());
  for (const auto &Each : Copy)
    Each->onEngineSilent(Engine);
}

void GatewayRequestHandler::shutDown() {
  routeWaiting(StartupQueue_.close(), "shutdown");
  const std::vector<std::shared_ptr<Exchange>> Copy(Active_.begin(), Active_.end());
  for (const auto &Each : Copy)
    Each->shutDown();
}

void GatewayRequestHandler::handle(HttpRequest Request, HttpResponderPtr Responder) {
  if (!tryQueue(Request, Responder))
    route(std::move(Request), std::move(Responder), Context_.Time_.now());
}

void GatewayRequestHandler::handleForwarded(HttpRequest Request, PeerResponderPtr Responder) {
  route(std::move(Request), Responder, Context_.Time_.now(), Responder);
}

void GatewayRequestHandler::route(HttpRequest Request, HttpResponderPtr Responder,
                                  TimePoint ArrivedAt, PeerResponderPtr Peer) {
  RoutedRequest Routed;
  Routed.Peer_ = std::move(Peer);
  Routed.ArrivedAt_ = ArrivedAt;
  Routed.Caller_ = Context_.Protocol_.parseRequest(Request);
  Routed.Request_ = std::move(Request);
  Routed.Responder_ = std::move(Responder);
  Routed.Config_ = Config_.current();
  if (!Routed.Config_)
    return refuse(Routed, 503, ErrorCode::NotReady, NoConfigRetry);
  const ServingIndex &Index = *Routed.Config_;
  Routed.Route_ = Index.match(Routed.Request_.Headers_.get("Host"), Routed.Request_.path());
  if (!Routed.Route_)
    return refuse(Routed, 404, ErrorCode::NoRoute, std::nullopt);
  Routed.Customer_ = Index.customer(Routed.Caller_.Key_);
  if (!Routed.Customer_ && Index.requiresKey(*Routed.Route_))
    return refuse(Routed, 401, ErrorCode::Unauthenticated, std::nullopt);
  Routed.Service_ = Index.chooseService(*Routed.Route_, Context_.randomFraction());
  if (!Routed.Service_)
    return refuse(Routed, 503, ErrorCode::NoEndpoint, NoConfigRetry);
  if (Routed.Peer_ && Context_.Reach_ && Context_.Reach_->isIsolated(Routed.Service_->Id_))
    return Routed.Peer_->decline();
  startExchange(std::move(Routed));
}

void GatewayRequestHandler::refuse(const RoutedRequest &Routed, std::uint32_t Status,
                                   ErrorCode Reason, std::optional<Duration> RetryAfter) {
  Context_.Metrics_.count("refusals_total", errorInfo(Reason).Name_);
  Context_.Log_.log(LogEvent::RequestRefused,
                    {{"id", Routed.Caller_.Id_.str()},
                     {"status", Status},
                     {"error", static_cast<int>(Reason)},
                     {"reason", errorInfo(Reason).Text_},
                     {"route", Routed.Route_ ? Routed.Route_->Id_.str() : std::string("-")},
                     {"revision", Routed.Config_ ? Routed.Config_->config().Revision_.value() : 0},
                     {"revision_age_ms",
                      (Routed.ArrivedAt_ - Config_.changedAt()) / std::chrono::milliseconds(1)}});
  Routed.Responder_->send(Context_.Protocol_.errorResponse(Status, Reason, RetryAfter));
}

void GatewayRequestHandler::startExchange(RoutedRequest Routed) {
  const bool Layered = Routed.Service_->Model_.has_value();
  const std::size_t Forwarded = Routed.Peer_ ? 1 : 0;
  Forwarded_ += Forwarded;
  auto OnEnded = [this, Forwarded](const std::shared_ptr<Exchange> &Ended) {
    Forwarded_ -= Forwarded;
    Active_.erase(Ended);
  };
  std::shared_ptr<Exchange> Started;
  if (Layered)
    Started = std::make_shared<StreamExchange>(Context_, std::move(Routed), OnEnded);
  else
    Started = std::make_shared<CallExchange>(Context_, std::move(Routed), OnEnded);
  Active_.insert(Started);
  Started->start();
}

} // namespace rattancart
