#include "Gateway/Exchange.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

constexpr Duration PermissionLifetime = milliseconds(500);
/// Time limit of a connect to another gateway, which accepts within a few ms.
constexpr Duration PeerConnectTimeout = milliseconds(150);

std::int64_t millis(Duration Time) { return Time / milliseconds(1); }

} // namespace

std::uint32_t RoutedRequest::priority() const {
  return Config_->priority(*Route_, Service_->Id_, Customer_);
}

HeadDecision Attempt::onHead(const HttpResponse &Head) {
  if (!Live_)
    return HeadDecision::Abort;
  if (Peer_)
    Refusal_ = peerRefusal(Head, Expected_);
  ResponseInfo Info = Protocol_->parseResponse(Head);
  if (Refusal_ != PeerRefusal::None) {
    Info.Id_ = Expected_;
    Info.NotRun_ = Refusal_ == PeerRefusal::Declined || meansNotRun(Head.Status_);
  }
  // A second, late response to an earlier request may arrive in place of the response to this one.
  if (Info.Id_ != Expected_)
    return HeadDecision::Skip;
  Head_ = Head;
  Info_ = std::move(Info);
  HeadSeen_ = true;
  if (InfoHandler_)
    InfoHandler_();
  if (HeadHandler_)
    HeadHandler_();
  return Live_ && !Rejected_ ? HeadDecision::Accept : HeadDecision::Abort;
}

bool Attempt::onBody(std::string_view Data) { return !Live_ || BodyHandler_(Data); }

Exchange::Exchange(GatewayContext &Context, RoutedRequest Request, Ended OnEnded)
    : Context_(Context), Routed_(std::move(Request)), DeadlineTimer_(Context.Loop_),
      OnEnded_(std::move(OnEnded)) {}

void Exchange::start() {
  const Duration Limit = Routed_.Route_->Timeout_;
  Deadline_ = Routed_.ArrivedAt_ + std::min(Limit, Routed_.Caller_.TimeBudget_.value_or(Limit));
  const auto Self = shared_from_this();
  Routed_.Responder_->onClosed([Weak = weak_from_this()] {
    const auto Held = Weak.lock();
    if (!Held || Held->Ended_)
      return;
    Held->cancelAttempts();
    Held->finish("caller_gone");
  });
  DeadlineTimer_.after(std::max(Duration{}, timeLeft()), [Weak = weak_from_this()] {
    const auto Held = Weak.lock();
    if (Held && !Held->Ended_)
      Held->endEarly(ErrorCode::DeadlineExceeded);
  });
  Context_.Log_.log(
      LogEvent::RequestRouted,
      {{"id", Routed_.Caller_.Id_.str()},
       {"route", Routed_.Route_->Id_.str()},
       {"service", Routed_.Service_->Id_.str()},
       {"customer", Routed_.Customer_ ? Routed_.Customer_->Id_.str() : std::string("-")},
       {"revision", Routed_.Config_->config().Revision_.value()},
       {"left_ms", millis(timeLeft())}});
  // The gateway that forwarded the request has counted it.
  if (!Routed_.Peer_)
    Context_.Retries_.onFirstSend(Routed_.Service_->Id_, Routed_.ArrivedAt_);
  begin();
}

void Exchange::shutDown() {
  const auto Self = shared_from_this();
  if (!Ended_)
    endEarly(ErrorCode::ShuttingDown);
}

Duration Exchange::timeLeft() const { return Deadline_ - Context_.Time_.now(); }

bool Exchange::isPermissionValid(TimePoint GivenAt) const {
  return Context_.Time_.now() - GivenAt <= PermissionLifetime;
}

ForwardOptions Exchange::forwardOptions() const {
  ForwardOptions Options;
  Options.TimeBudget_ = timeLeft();
  Options.LastEvent_ = Routed_.Caller_.LastEvent_;
  Options.Priority_ = priority();
  if (Routed_.Customer_)
    Options.Customer_ = Routed_.Customer_->Id_;
  return Options;
}

AttemptPtr Exchange::makeAttempt(EndpointId Endpoint) {
  auto Sent = std::make_shared<Attempt>();
  Sent->Endpoint_ = std::move(Endpoint);
  Sent->SentAt_ = Context_.Time_.now();
  Sent->Expected_ = Routed_.Caller_.Id_;
  Sent->RetryTakenAt_ = RetryTakenAt_;
  Sent->RetryPurpose_ = RetryPurpose_;
  Sent->Protocol_ = &Context_.Protocol_;
  Sent->BodyHandler_ = [](std::string_view) { return true; };
  ++Sends_;
  return Sent;
}

AttemptPtr Exchange::send(const EndpointRecord &Endpoint, ForwardOptions Options, ConnectionUse Use,
                          Duration ConnectTimeout,
                          std::function<void(const AttemptPtr &, const HttpResult &)> Done) {
  AttemptPtr Sent = makeAttempt(Endpoint.Listing_.Id_);
  Sent->InfoHandler_ = [this, Raw = Sent.get(), SentTo = Endpoint.Listing_, Run = Endpoint.run()] {
    onResponseInfo(*Raw, SentTo, Run);
  };
  Options.Expected_ = Sent->Endpoint_;
  dispatch(Sent, Endpoint.Listing_.Address_,
           Context_.Protocol_.requestForEndpoint(Routed_.Request_, Options), Use, ConnectTimeout,
           std::move(Done));
  return Sent;
}

void Exchange::dispatch(const AttemptPtr &Sent, const NetAddress &Address, HttpRequest Request,
                        ConnectionUse Use, Duration ConnectTimeout,
                        std::function<void(const AttemptPtr &, const HttpResult &)> Done) {
  HttpSendOptions Http;
  Http.Use_ = Use;
  Http.ConnectTimeout_ = ConnectTimeout;
  Http.ResponseTimeout_ = std::max<Duration>(timeLeft(), milliseconds(1));
  Http.Sink_ = Sent.get();
  Http.KeepHost_ = true;
  Http.BeforeSend_ = [this, Raw = Sent.get()] { return mayHandOver(*Raw); };
  Sent->Call_ = Context_.Client_.send(
      Address, std::move(Request), Http,
      [Self = shared_from_this(), Sent, Done = std::move(Done)](const HttpResult &Result) {
        if (!Sent->Live_)
          return;
        // No endpoint would get the request, so the caller's request is at fault. A later send
        // differs from the first, which was possible, only in what the gateway adds.
        if (Result.Error_ == ErrorCode::RequestNotSendable && Self->Sends_ == 1)
          return Self->refuse(400, ErrorCode::RequestNotSendable, std::nullopt);
        Sent->Live_ = false;
        if (Sent->Peer_)
          Self->Context_.Peers_->onEnded(*Sent->Peer_);
        if (!Sent->Rejected_)
          return Done(Sent, Result);
        HttpResult Rejected = Result;
        Rejected.Error_ = ErrorCode::MalformedResponse;
        Done(Sent, Rejected);
      });
}

bool Exchange::usesPeer() const {
  return Context_.Peers_ && Context_.Reach_ && !Routed_.Peer_ &&
         Context_.Reach_->isIsolated(Routed_.Service_->Id_);
}

std::optional<NetAddress> Exchange::choosePeer() const {
  const TimePoint Now = Context_.Time_.now();
  if (auto Untried = Context_.Peers_->choose(TriedPeers_, Context_.randomFraction(), Now))
    return Untried;
  // One that declined the request, or lost it, gets none for a while.
  return Context_.Peers_->choose({}, Context_.randomFraction(), Now);
}

AttemptPtr Exchange::sendToPeer(const NetAddress &Peer, ForwardOptions Options, ConnectionUse Use,
                                std::function<void(const AttemptPtr &, const HttpResult &)> Done) {
  AttemptPtr Sent = makeAttempt(EndpointId(Peer.str()));
  Sent->Peer_ = Peer;
  TriedPeers_.insert(Peer);
  Context_.Peers_->onSent(Peer);
  HttpRequest Request = Context_.Protocol_.requestForGateway(Routed_.Request_, Options);
  Request.Headers_.set(std::string(forwarding::Revision),
                       std::to_string(Routed_.Config_->config().Revision_.value()));
  Request.Headers_.set(std::string(forwarding::Sender), Context_.Member_);
  Context_.Metrics_.count("forwarded_total", Routed_.Service_->Id_.str());
  Context_.Log_.log(LogEvent::RequestForwarded, {{"id", Routed_.Caller_.Id_.str()},
                                                 {"to", Peer.str()},
                                                 {"send", Sends_},
                                                 {"left_ms", millis(timeLeft())}});
  dispatch(Sent, Peer, std::move(Request), Use, PeerConnectTimeout, std::move(Done));
  return Sent;
}

void Exchange::notePeerFailure(const Attempt &Sent, const HttpResult &Result) {
  const TimePoint Now = Context_.Time_.now();
  const bool Lost = Result.Error_ && Result.Error_ != ErrorCode::Cancelled;
  if (Lost)
    Context_.Peers_->onLost(*Sent.Peer_, Now);
  else if (Sent.Refusal_ == PeerRefusal::Declined)
    Context_.Peers_->onRefused(*Sent.Peer_, Now);
  Context_.Metrics_.count("forwarded_failures_total", Lost ? "lost" : "declined");
}

void Exchange::sendPeerRefusal(const Attempt &Sent, std::string Body) {
  HttpResponse Answer = Context_.Protocol_.responseForCaller(Sent.Head_);
  Answer.Headers_.remove(forwarding::Refusal);
  Answer.Headers_.remove(forwarding::Request);
  Answer.Body_ = std::move(Body);
  cancelAttempts();
  Routed_.Responder_->send(std::move(Answer));
  finish("refused_by_peer");
}

void Exchange::onResponseInfo(Attempt &Sent, const EndpointListing &SentTo, Incarnation Run) {
  const ResponseInfo &Info = Sent.Info_;
  const TimePoint Now = Context_.Time_.now();
  Context_.Health_.noteReceived(SentTo.Id_);
  if (!Info.Misdirected_)
    return Context_.Limiter_.onAnswer(SentTo.Id_, Run, Info.Limit_, Now);
  if (Info.FaultyEngine_ && *Info.FaultyEngine_ != SentTo.Address_)
    return;
  Sent.AddressTaken_ = true;
  if (!Context_.Roster_.noteAddressTaken(SentTo.Id_, SentTo.Address_, SentTo.Run_, Now))
    return;
  Context_.Metrics_.count("addresses_taken_total", SentTo.DataCenter_.str());
  Context_.Log_.log(
      LogEvent::AddressTaken,
      {{"endpoint", SentTo.Id_.str()}, {"address", SentTo.Address_.str()}, {"message", "request"}});
  // An engine that lacks layers of its stage answers in the same way. Its report tells which.
  if (Routed_.Service_->Model_)
    Context_.Health_.suspect(SentTo.Id_);
}

void Exchange::cancelAttempt(const AttemptPtr &Sent) {
  if (!Sent || !std::exchange(Sent->Live_, false))
    return;
  if (Sent->Peer_)
    Context_.Peers_->onEnded(*Sent->Peer_);
  Context_.Client_.cancel(Sent->Call_);
}

void Exchange::refuse(std::uint32_t Status, ErrorCode Reason, std::optional<Duration> RetryAfter) {
  if (Ended_)
    return;
  Context_.Log_.log(LogEvent::RequestRefused,
                    {{"id", Routed_.Caller_.Id_.str()},
                     {"status", Status},
                     {"error", static_cast<int>(Reason)},
                     {"reason", errorInfo(Reason).Text_},
                     {"retry_after_ms", RetryAfter ? millis(*RetryAfter) : 0},
                     {"sends", Sends_},
                     {"waited_ms", millis(Context_.Time_.now() - Routed_.ArrivedAt_)}});
  Context_.Metrics_.count("refusals_total", errorInfo(Reason).Name_);
  cancelAttempts();
  Routed_.Responder_->send(Context_.Protocol_.errorResponse(Status, Reason, RetryAfter));
  finish("refused");
}

void Exchange::finish(std::string_view Outcome) {
  if (std::exchange(Ended_, true))
    return;
  DeadlineTimer_.cancel();
  const Duration Took = Context_.Time_.now() - Routed_.ArrivedAt_;
  Context_.Metrics_.count("requests_total", Outcome);
  Context_.Metrics_.observe("request_seconds", Routed_.Service_->Id_.str(), Took);
  Context_.Log_.log(LogEvent::RequestEnded, {{"id", Routed_.Caller_.Id_.str()},
                                             {"outcome", Outcome},
                                             {"took_ms", millis(Took)},
                                             {"sends", Sends_},
                                             {"detail", endDetail()}});
  const auto Self = shared_from_this();
  if (OnEnded_)
    OnEnded_(Self);
}

bool Exchange::tryAdmit(const EndpointRecord &Endpoint, std::uint32_t Priority) {
  if (Context_.Limiter_.tryAdmit(Endpoint.Listing_.Id_, Endpoint.run(), Priority,
                                 Context_.Time_.now()))
    return true;
  Context_.Metrics_.count("limited_total", Endpoint.Listing_.DataCenter_.str());
  return false;
}

void Exchange::noteAnswer(const EndpointId &Endpoint, EndpointAnswer Answer, TimePoint SentAt) {
  if (Context_.SlowStart_)
    Context_.SlowStart_->onAnswer(Endpoint, Answer, SentAt, Context_.Time_.now());
}

void Exchange::noteAnswered(const EndpointId &Endpoint, TimePoint SentAt) {
  const Duration Objective = Routed_.Route_->Objective_;
  const bool Late = Objective > Duration{} && Context_.Time_.now() - SentAt > Objective;
  noteAnswer(Endpoint, Late ? EndpointAnswer::Late : EndpointAnswer::Good, SentAt);
}

bool Exchange::mayHandOverLate(const Attempt &Sent) {
  const EndpointRecord *Endpoint = Context_.Roster_.find(Sent.Endpoint_);
  return !Endpoint || !Context_.Limiter_.isLimited(Sent.Endpoint_, Endpoint->run()) ||
         tryAdmit(*Endpoint, priority());
}

bool Exchange::mayHandOver(const Attempt &Sent) {
  if (!Sent.Live_ || !mayStillBeSent(Sent))
    return false;
  if (!isPermissionValid(Sent.SentAt_) && !mayHandOverLate(Sent))
    return false;
  if (!Sent.RetryTakenAt_)
    return true;
  const Duration Age = Context_.Time_.now() - *Sent.RetryTakenAt_;
  if (!isPermissionValid(*Sent.RetryTakenAt_) && !tryTakeRetry("late", Sent.RetryPurpose_))
    return false;
  Context_.Log_.log(LogEvent::RepeatHandedOver, {{"id", Routed_.Caller_.Id_.str()},
                                                 {"endpoint", Sent.Endpoint_.str()},
                                                 {"age_ms", millis(Age)}});
  Context_.Metrics_.observe("repeat_delay_seconds", Routed_.Service_->Id_.str(), Age);
  return true;
}

bool Exchange::tryTakeRetry(std::string_view Cause, RetryPurpose Purpose) {
  const TimePoint Now = Context_.Time_.now();
  if (Context_.Retries_.tryRetry(Routed_.Service_->Id_, Now, Purpose)) {
    RetryTakenAt_ = Now;
    RetryPurpose_ = Purpose;
    logRetry(LogEvent::RepeatAllowed, Cause, Now);
    Context_.Metrics_.count("repeats_total", "allowed");
    return true;
  }
  if (LoggedDenials_.insert(Cause).second)
    logRetry(LogEvent::RepeatDenied, Cause, Now);
  // Left for requests that lost their engine.
  const bool Kept = Context_.Retries_.mayRetry(Routed_.Service_->Id_, Now, RetryPurpose::AfterLoss);
  Context_.Metrics_.count("repeats_total", Kept ? "kept" : "denied");
  return false;
}

void Exchange::logRetry(LogEvent Outcome, std::string_view Cause, TimePoint Now) {
  const ServiceId &Service = Routed_.Service_->Id_;
  Context_.Log_.log(Outcome, {{"id", Routed_.Caller_.Id_.str()},
                              {"cause", Cause},
                              {"budget_left", Context_.Retries_.left(Service, Now)},
                              {"spent", Context_.Retries_.spent(Service, Now)},
                              {"gateways", Context_.Retries_.processes().value_or(0)},
                              {"sends", Sends_}});
}

void Exchange::logSend(const EndpointId &Endpoint, std::string_view Detail) {
  Context_.Log_.log(LogEvent::RequestSent, {{"id", Routed_.Caller_.Id_.str()},
                                            {"endpoint", Endpoint.str()},
                                            {"send", Sends_},
                                            {"left_ms", millis(timeLeft())},
                                            {"detail", Detail}});
}

void Exchange::logFailure(const Attempt &Sent, const HttpResult &Result) {
  Context_.Metrics_.count("send_failures_total",
                          Result.Error_ ? Result.Error_.message() : std::string("status"));
  Context_.Log_.log(
      LogEvent::SendFailed,
      {{"id", Routed_.Caller_.Id_.str()},
       {"endpoint", Sent.Endpoint_.str()},
       {"error", Result.Error_.value()},
       {"status", Sent.HeadSeen_ ? Sent.Head_.Status_ : 0},
       {"not_run", static_cast<int>(Sent.Info_.NotRun_)},
       {"fault", Sent.Info_.FaultyEngine_ ? Sent.Info_.FaultyEngine_->str() : std::string("-")},
       {"bytes_sent", static_cast<int>(Result.BytesHandedOver_)},
       {"after_ms", millis(Context_.Time_.now() - Sent.SentAt_)}});
}

Duration Exchange::randomDuration(Duration Least, Duration Most) {
  return Least + Duration(static_cast<std::int64_t>(static_cast<double>((Most - Least).count()) *
                                                    Context_.randomFraction()));
}

} // namespace rattancart
