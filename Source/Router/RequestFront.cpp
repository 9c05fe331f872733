#include "Router/RequestFront.h"

#include "Router/PoolCapacity.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);
/// A gap between ticks that counts as a pause of the process.
constexpr Duration PauseThreshold = std::chrono::milliseconds(1500);
/// Requests are held at most this long after a pause.
constexpr Duration RenewalTimeout = std::chrono::seconds(2);
constexpr std::size_t MaxHeld = 4096;
/// Tokens that a model's first request is expected to produce.
constexpr double InitialTokens = 64;
/// Weight of the newest request in the running mean of tokens.
constexpr double TokenMeanWeight = 0.05;

double toSeconds(Duration Value) { return std::chrono::duration<double>(Value).count(); }

AdmissionOutcome admissionEndOf(const RequestEnd &End) {
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

/// What a caller may conclude from a refusal. A call with a key may have run as a copy through
/// another router, and before the route is known it may have a key.
Outcome refusalOutcome(const Route *Target) {
  if (!Target)
    return Outcome::Unknown;
  const bool Keyed =
      Target->Safety_ == CallSafety::AtMostOnce && Target->KeySource_ != KeySource::None;
  return Keyed ? Outcome::Unknown : Outcome::NotRun;
}

} // namespace

RequestFront::RequestFront(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                           MetricSet &Metrics, InstanceId Instance, Incarnation Run,
                           const FrontView &View, AdmissionController &Admission,
                           RouteHandler &Models, RouteHandler &Calls)
    : Time_(Time), Log_(Log), Metrics_(Metrics),
      IdPrefix_(fmt::format("{}-{:x}-", Instance.str(), Run.value())), View_(View),
      Admission_(Admission), Models_(Models), Calls_(Calls), Pause_(PauseThreshold), Ticker_(Loop) {
  Ticker_.every(TickInterval, [this] { tick(); });
}

AdmissionRequest RequestFront::admissionOf(const RoutedRequest &Request) const {
  AdmissionRequest Asked;
  Asked.Customer_ = Request.Customer_;
  Asked.Pool_ = poolOf(*Request.Route_);
  Asked.Priority_ = Request.Route_->Priority_;
  Asked.Deadline_ = Request.Deadline_;
  if (Request.Route_->Model_) {
    const auto Mean = MeanTokens_.find(Asked.Pool_);
    Asked.Tokens_ = Mean == MeanTokens_.end() ? InitialTokens : Mean->second;
    Asked.Cost_ = Asked.Tokens_;
  }
  return Asked;
}

void RequestFront::learnTokens(const PoolId &Pool, std::uint32_t Tokens) {
  if (Tokens == 0)
    return;
  const auto Place = MeanTokens_.try_emplace(Pool, Tokens).first;
  Place->second += (Tokens - Place->second) * TokenMeanWeight;
}

RequestId RequestFront::nextId() { return RequestId(IdPrefix_ + std::to_string(NextRequest_++)); }

void RequestFront::handle(HttpRequest Http, HttpResponderPtr Responder) {
  const TimePoint Now = Time_.now();
  notePause(Now);
  if (!View_.hasView())
    return refuse(*Responder, {nextId(), 503, ErrorCode::NotReady, "no settings or endpoints yet"});
  Arrival Item{std::move(Http), std::move(Responder), Now, View_.claimTail()};
  if (!ResumedAt_)
    return route(std::move(Item));
  if (Held_.size() >= MaxHeld)
    return refuse(*Item.Responder_, {nextId(), 503, ErrorCode::QueueFull, "renewing the view"});
  Held_.push_back(std::move(Item));
}

void RequestFront::notePause(TimePoint Now) {
  // Requests may be handled before the tick that follows a pause, so each looks for itself.
  const auto Gap = Pause_.tick(Now);
  if (!Gap)
    return;
  Log_.log(LogEvent::ProcessPaused, {{"seconds", toSeconds(*Gap)}});
  ResumedAt_ = Now;
}

void RequestFront::tick() {
  const TimePoint Now = Time_.now();
  notePause(Now);
  if (ResumedAt_ && (View_.isRenewedSince(*ResumedAt_) || Now - *ResumedAt_ > RenewalTimeout))
    releaseHeld();
  takeReady();
}

void RequestFront::releaseHeld() {
  ResumedAt_.reset();
  const std::deque<Arrival> Items = std::exchange(Held_, {});
  for (const Arrival &Item : Items)
    if (Item.Responder_->isOpen())
      route(Item);
}

void RequestFront::onViewChanged() {
  const SettingsViewPtr Settings = View_.settings();
  if (Routes_ && Routes_->view() == Settings)
    return;
  Routes_ = std::make_unique<RouteTable>(Settings);
  Admission_.setView(Settings, Time_.now());
}

void RequestFront::route(Arrival Item) {
  RoutedRequest Request;
  Request.Id_ = nextId();
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

void RequestFront::admit(RoutedRequest Request) {
  const TimePoint Now = Time_.now();
  const AdmissionRequest Asked = admissionOf(Request);
  const AdmissionDecision Decision = Admission_.submit(Asked, Now);
  if (Decision.State_ == AdmissionState::Refused) {
    const bool Limited = Decision.Refusal_ == ErrorCode::LimitExceeded;
    return refuse(*Request.Responder_, {Request.Id_, Limited ? 429U : 503U, Decision.Refusal_,
                                        Request.Customer_.str(), refusalOutcome(Request.Route_)});
  }

  const AdmissionTicket Ticket = Decision.Ticket_;
  Pending Item;
  Item.ArrivedAt_ = Request.ArrivedAt_;
  Item.RouteName_ = Request.Route_->Id_.str();
  Item.Pool_ = Asked.Pool_;
  Item.Request_ = std::move(Request);
  Pending &Place = Pending_.emplace(Ticket, std::move(Item)).first->second;
  if (Decision.State_ == AdmissionState::Admitted)
    return dispatch(Ticket);
  Place.Request_->Responder_->onClosed([this, Ticket] {
    const auto Waiting = Pending_.find(Ticket);
    if (Waiting == Pending_.end() || !Waiting->second.Request_)
      return;
    Log_.log(LogEvent::CallerGone, {{"request", Waiting->second.Request_->Id_.str()}});
    Admission_.cancel(Ticket, Time_.now());
    Pending_.erase(Waiting);
  });
}

void RequestFront::dispatch(AdmissionTicket Ticket) {
  const auto Place = Pending_.find(Ticket);
  if (Place == Pending_.end() || !Place->second.Request_)
    return;
  RoutedRequest Request = std::move(*Place->second.Request_);
  Place->second.Request_.reset();
  Request.Finished_ = [this, Ticket](const RequestEnd &End) { finished(Ticket, End); };
  RouteHandler &Handler = Request.Route_->Model_ ? Models_ : Calls_;
  Handler.handle(std::move(Request));
}

void RequestFront::finished(AdmissionTicket Ticket, const RequestEnd &End) {
  const auto Place = Pending_.find(Ticket);
  if (Place == Pending_.end())
    return;
  const TimePoint Now = Time_.now();
  const Pending &Item = Place->second;
  Metrics_.observe("request_seconds", Item.RouteName_, Now - Item.ArrivedAt_);
  Metrics_.count("requests_total",
                 fmt::format("{} {} {}", Item.RouteName_, outcomeName(End.Outcome_), End.Status_));
  Metrics_.count("tokens_total", Item.RouteName_, End.Tokens_);
  Log_.log(LogEvent::RequestFinished, {{"ticket", Ticket.value()},
                                       {"route", Item.RouteName_},
                                       {"status", End.Status_},
                                       {"outcome", std::string(outcomeName(End.Outcome_))},
                                       {"seconds", toSeconds(Now - Item.ArrivedAt_)}});
  learnTokens(Item.Pool_, End.Tokens_);
  Admission_.finish(Ticket, admissionEndOf(End), Now);
  Pending_.erase(Place);
  takeReady();
}

void RequestFront::takeReady() {
  const QueueUpdate Ready = Admission_.processQueues(Time_.now());
  for (const DroppedRequest &Expiry : Ready.Dropped_) {
    const auto Place = Pending_.find(Expiry.Ticket_);
    if (Place == Pending_.end() || !Place->second.Request_)
      continue;
    const RoutedRequest Request = std::move(*Place->second.Request_);
    Pending_.erase(Place);
    refuse(*Request.Responder_,
           {Request.Id_, 503, Expiry.Refusal_, "gave up waiting", refusalOutcome(Request.Route_)});
  }
  for (const AdmissionTicket Ticket : Ready.Admitted_)
    dispatch(Ticket);
}

void RequestFront::refuse(HttpResponder &Responder, const Refusal &Why) {
  Log_.log(LogEvent::RequestRefused, {{"request", Why.Id_.str()},
                                      {"status", Why.Status_},
                                      {"error", Why.Reason_.value()},
                                      {"detail", Why.Detail_}});
  Metrics_.count("refusals_total", std::to_string(Why.Reason_.value()));
  CallerAnswer Answer;
  Answer.Status_ = Why.Status_;
  Answer.Outcome_ = Why.Outcome_;
  Answer.Error_ = Why.Reason_;
  Answer.Detail_ = Why.Detail_;
  sendAnswer(Responder, Why.Id_, Answer);
}

boost::json::object RequestFront::state() const {
  boost::json::object State;
  State["held"] = Held_.size();
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
