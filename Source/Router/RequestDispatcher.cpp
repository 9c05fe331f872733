#include "Router/RequestDispatcher.h"

#include "Router/PoolCapacity.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
/// A longer gap between ticks counts as a pause of the process.
constexpr Duration PauseThreshold = std::chrono::milliseconds(1500);
/// Requests are held at most this long after a pause.
constexpr Duration RenewalTimeout = std::chrono::seconds(2);
constexpr std::size_t MaxHeldRequests = 4096;
/// The number of tokens that a model's first request is expected to produce.
constexpr double InitialTokens = 64;
/// The weight of the newest request in the moving average of tokens.
constexpr double TokenMeanWeight = 0.05;

double toSeconds(Duration Value) { return std::chrono::duration<double>(Value).count(); }

AdmissionOutcome toAdmissionOutcome(const RequestEnd &End) {
  AdmissionOutcome Result;
  Result.Cost_ = std::max<double>(End.Tokens_, 1);
  Result.Tokens_ = End.Tokens_;
  if (End.Status_ >= 200 && End.Status_ < 500)
    Result.Result_ = AdmissionOutcome::Result::Succeeded;
  else if (End.Status_ == 503 || End.Status_ == 504)
    Result.Result_ = AdmissionOutcome::Result::Overloaded;
  else
    Result.Result_ = AdmissionOutcome::Result::Other;
  return Result;
}

/// The outcome that a refusal reports to the caller. A copy of a call with a key may have run
/// through another router, so the outcome is unknown. The same holds before the route is known,
/// since the call may have a key.
Outcome refusalOutcome(const Route *Target) {
  if (!Target)
    return Outcome::Unknown;
  const bool Keyed =
      Target->Safety_ == CallSafety::AtMostOnce && Target->KeySource_ != KeySource::None;
  return Keyed ? Outcome::Unknown : Outcome::NotRun;
}

} // namespace

RequestDispatcher::RequestDispatcher(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                                     MetricSet &Metrics, InstanceId Instance,
                                     Incarnation RouterIncarnation, const ViewSource &View,
                                     AdmissionController &Admission, RouteHandler &Models,
                                     RouteHandler &Calls)
    : Time_(Time), Log_(Log), Metrics_(Metrics),
      IdPrefix_(fmt::format("{}-{:x}-", Instance.str(), RouterIncarnation.value())), View_(View),
      Admission_(Admission), Models_(Models), Calls_(Calls), Pause_(PauseThreshold),
      TickTimer_(Loop) {
  TickTimer_.every(TickInterval, [this] { tick(); });
}

AdmissionRequest RequestDispatcher::makeAdmissionRequest(const RoutedRequest &Request) const {
  AdmissionRequest Wanted;
  Wanted.Customer_ = Request.Customer_;
  Wanted.Pool_ = poolOf(*Request.Route_);
  Wanted.Priority_ = Request.Route_->Priority_;
  Wanted.Deadline_ = Request.Deadline_;
  if (Request.Route_->Model_) {
    const auto Mean = MeanTokens_.find(Wanted.Pool_);
    Wanted.Tokens_ = Mean == MeanTokens_.end() ? InitialTokens : Mean->second;
    Wanted.Cost_ = Wanted.Tokens_;
  }
  return Wanted;
}

void RequestDispatcher::updateMeanTokens(const PoolId &Pool, std::uint32_t Tokens) {
  if (Tokens == 0)
    return;
  const auto Found = MeanTokens_.try_emplace(Pool, Tokens).first;
  Found->second += (Tokens - Found->second) * TokenMeanWeight;
}

RequestId RequestDispatcher::nextRequestId() {
  return RequestId(IdPrefix_ + std::to_string(NextRequest_++));
}

void RequestDispatcher::handle(HttpRequest Http, HttpResponderPtr Responder) {
  const TimePoint Now = Time_.now();
  checkForPause(Now);
  if (!View_.hasView())
    return refuse(*Responder,
                  {nextRequestId(), 503, ErrorCode::NotReady, "no settings or endpoints yet"});
  Arrival Item{std::move(Http), std::move(Responder), Now, View_.claimTail()};
  if (!ResumedAt_)
    return route(std::move(Item));
  if (HeldRequests_.size() >= MaxHeldRequests)
    return refuse(*Item.Responder_,
                  {nextRequestId(), 503, ErrorCode::QueueFull, "renewing the view"});
  HeldRequests_.push_back(std::move(Item));
}

void RequestDispatcher::checkForPause(TimePoint Now) {
  // Requests may be handled before the first tick after a pause, so each request checks too.
  const auto Gap = Pause_.tick(Now);
  if (!Gap)
    return;
  Log_.log(LogEvent::ProcessPaused, {{"seconds", toSeconds(*Gap)}});
  ResumedAt_ = Now;
}

void RequestDispatcher::tick() {
  const TimePoint Now = Time_.now();
  checkForPause(Now);
  if (ResumedAt_ && (View_.isRenewedSince(*ResumedAt_) || Now - *ResumedAt_ > RenewalTimeout))
    releaseHeldRequests();
  handleAdmissionQueue();
}

void RequestDispatcher::releaseHeldRequests() {
  ResumedAt_.reset();
  const std::deque<Arrival> Items = std::exchange(HeldRequests_, {});
  for (const Arrival &Item : Items)
    if (Item.Responder_->isOpen())
      route(Item);
}

void RequestDispatcher::onViewChanged() {
  const SettingsViewPtr Settings = View_.settings();
  if (Routes_ && Routes_->view() == Settings)
    return;
  Routes_ = std::make_unique<RouteTable>(Settings);
  Admission_.setView(Settings, Time_.now());
}

void RequestDispatcher::route(Arrival Item) {
  RoutedRequest Request;
  Request.Id_ = nextRequestId();
  Request.View_ = Routes_->view();
  Request.Route_ =
      Routes_->match({Item.Http_.Headers_.get("host"), Item.Http_.Method_, Item.Http_.path()});
  if (!Request.Route_)
    return refuse(*Item.Responder_, {Request.Id_, 404, ErrorCode::NoRoute,
                                     Item.Http_.Method_ + " " + std::string(Item.Http_.path())});
  Request.Customer_ =
      CustomerId(std::string(Item.Http_.Headers_.get(Request.Route_->CustomerHeader_)));
  if (Request.Customer_.empty())
    return refuse(*Item.Responder_,
                  {Request.Id_, 400, ErrorCode::NoCustomer,
                   "header " + Request.Route_->CustomerHeader_, refusalOutcome(Request.Route_)});
  Request.Http_ = std::move(Item.Http_);
  Request.ArrivedAt_ = Item.At_;
  Request.Deadline_ = Item.At_ + Request.Route_->Timeout_;
  Request.ClaimPosition_ = Item.ClaimPosition_;
  Request.Responder_ = std::move(Item.Responder_);
  admit(std::move(Request));
}

void RequestDispatcher::admit(RoutedRequest Request) {
  const TimePoint Now = Time_.now();
  const AdmissionRequest Wanted = makeAdmissionRequest(Request);
  const AdmissionDecision Decision = Admission_.submit(Wanted, Now);
  if (Decision.State_ == AdmissionState::Refused) {
    const bool Limited = Decision.Refusal_ == ErrorCode::LimitExceeded;
    return refuse(*Request.Responder_, {Request.Id_, Limited ? 429U : 503U, Decision.Refusal_,
                                        Request.Customer_.str(), refusalOutcome(Request.Route_)});
  }

  const AdmissionTicket Ticket = Decision.Ticket_;
  Pending Item;
  Item.ArrivedAt_ = Request.ArrivedAt_;
  Item.RouteName_ = Request.Route_->Id_.str();
  Item.Pool_ = Wanted.Pool_;
  Item.Request_ = std::move(Request);
  Pending &Stored = Pending_.emplace(Ticket, std::move(Item)).first->second;
  if (Decision.State_ == AdmissionState::Admitted)
    return dispatch(Ticket);
  Stored.Request_->Responder_->onClosed([this, Ticket] {
    const auto Waiting = Pending_.find(Ticket);
    if (Waiting == Pending_.end() || !Waiting->second.Request_)
      return;
    Log_.log(LogEvent::CallerGone, {{"request", Waiting->second.Request_->Id_.str()}});
    Admission_.cancel(Ticket, Time_.now());
    Pending_.erase(Waiting);
  });
}

void RequestDispatcher::dispatch(AdmissionTicket Ticket) {
  const auto Found = Pending_.find(Ticket);
  if (Found == Pending_.end() || !Found->second.Request_)
    return;
  RoutedRequest Request = std::move(*Found->second.Request_);
  Found->second.Request_.reset();
  Request.OnFinished_ = [this, Ticket](const RequestEnd &End) { finished(Ticket, End); };
  RouteHandler &Handler = Request.Route_->Model_ ? Models_ : Calls_;
  Handler.handle(std::move(Request));
}

void RequestDispatcher::finished(AdmissionTicket Ticket, const RequestEnd &End) {
  const auto Found = Pending_.find(Ticket);
  if (Found == Pending_.end())
    return;
  const TimePoint Now = Time_.now();
  const Pending &Item = Found->second;
  Metrics_.observe("request_seconds", Item.RouteName_, Now - Item.ArrivedAt_);
  Metrics_.count("requests_total",
                 fmt::format("{} {} {}", Item.RouteName_, outcomeName(End.Outcome_), End.Status_));
  Metrics_.count("tokens_total", Item.RouteName_, End.Tokens_);
  Log_.log(LogEvent::RequestFinished, {{"ticket", Ticket.value()},
                                       {"route", Item.RouteName_},
                                       {"status", End.Status_},
                                       {"outcome", std::string(outcomeName(End.Outcome_))},
                                       {"seconds", toSeconds(Now - Item.ArrivedAt_)}});
  updateMeanTokens(Item.Pool_, End.Tokens_);
  Admission_.finish(Ticket, toAdmissionOutcome(End), Now);
  Pending_.erase(Found);
  handleAdmissionQueue();
}

void RequestDispatcher::handleAdmissionQueue() {
  const QueueUpdate Update = Admission_.processQueues(Time_.now());
  for (const DroppedRequest &Dropped : Update.Dropped_) {
    const auto Found = Pending_.find(Dropped.Ticket_);
    if (Found == Pending_.end() || !Found->second.Request_)
      continue;
    const RoutedRequest Request = std::move(*Found->second.Request_);
    Pending_.erase(Found);
    refuse(*Request.Responder_,
           {Request.Id_, 503, Dropped.Refusal_, "gave up waiting", refusalOutcome(Request.Route_)});
  }
  for (const AdmissionTicket Ticket : Update.Admitted_)
    dispatch(Ticket);
}

void RequestDispatcher::refuse(HttpResponder &Responder, const Refusal &Cause) {
  Log_.log(LogEvent::RequestRefused, {{"request", Cause.Id_.str()},
                                      {"status", Cause.Status_},
                                      {"error", Cause.Reason_.value()},
                                      {"detail", Cause.Detail_}});
  Metrics_.count("refusals_total", std::to_string(Cause.Reason_.value()));
  CallerAnswer Answer;
  Answer.Status_ = Cause.Status_;
  Answer.Outcome_ = Cause.Outcome_;
  Answer.Error_ = Cause.Reason_;
  Answer.Detail_ = Cause.Detail_;
  sendAnswer(Responder, Cause.Id_, Answer);
}

boost::json::object RequestDispatcher::state() const {
  boost::json::object State;
  State["held"] = HeldRequests_.size();
  State["renewing"] = ResumedAt_.has_value();
  State["pending"] = Pending_.size();
  State["queued"] = Admission_.queued();
  boost::json::array Pools;
  for (const PoolUsage &Usage : Admission_.pools()) {
    boost::json::object Item;
    Item["pool"] = Usage.Pool_.str();
    Item["limit"] = Usage.Limit_;
    Item["in_flight"] = Usage.InFlight_;
    Item["queued"] = Usage.Queued_;
    Item["admitted"] = Usage.Admitted_;
    Item["refused_limit"] = Usage.RefusedLimit_;
    Item["refused_early"] = Usage.RefusedEarly_;
    Item["refused_full"] = Usage.RefusedFull_;
    Item["expired"] = Usage.Expired_;
    Pools.push_back(std::move(Item));
  }
  State["pools"] = std::move(Pools);
  boost::json::array Customers;
  for (const CustomerUsage &Usage : Admission_.customers())
    Customers.push_back({{"customer", Usage.Customer_.str()},
                         {"share", Usage.Share_},
                         {"concurrent", Usage.Concurrent_},
                         {"admitted", Usage.Admitted_},
                         {"refused", Usage.Refused_}});
  State["customers"] = std::move(Customers);
  return State;
}

} // namespace rattancart
