#include "Router/CallSession.h"

#include "Core/Common/ErrorCode.h"
#include "Router/CallHttp.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace rattancart {

namespace {

/// The holder of a claim may send only within the deduplication window divided by this.
constexpr int HoldLimitDivisor = 2;

CallParameters makeCallParameters(const RoutedRequest &Request, bool HasKey) {
  const ServiceTraits Traits = Request.View_->traitsOf(*Request.Route_->Service_);
  CallParameters Parameters;
  Parameters.Route_ = Request.Route_->Id_;
  Parameters.Safety_ = Request.Route_->Safety_;
  Parameters.HasKey_ = HasKey;
  Parameters.Deduplicates_ = Traits.Deduplicates_;
  Parameters.Deadline_ = Request.Deadline_;
  Parameters.RetryPercent_ = Request.Route_->RetryPercent_;
  Parameters.MaxClaimAge_ = Traits.DedupWindow_ / HoldLimitDivisor;
  return Parameters;
}

ClaimOutcome toClaimOutcome(const ClaimReply &Reply) {
  ClaimOutcome Outcome;
  Outcome.Offset_ = Reply.Offset_;
  Outcome.Status_ = Reply.Status_;
  Outcome.Body_ = Reply.Body_;
  switch (Reply.State_) {
  case ClaimReply::State::Won:
    Outcome.State_ = ClaimOutcome::State::Won;
    break;
  case ClaimReply::State::Lost:
    Outcome.State_ = ClaimOutcome::State::Lost;
    break;
  case ClaimReply::State::NotEligible:
    Outcome.State_ = ClaimOutcome::State::NotEligible;
    break;
  case ClaimReply::State::Done:
    Outcome.State_ = ClaimOutcome::State::Done;
    break;
  case ClaimReply::State::Unavailable:
    break;
  }
  return Outcome;
}

} // namespace

CallSession::CallSession(RouterServices &Services, CallEndpointPicker &Picker, CallStats &Stats,
                         RetryBudget &Budget, RoutedRequest Request, std::function<void()> OnOver)
    : Services_(Services), Picker_(Picker), Stats_(Stats), Request_(std::move(Request)),
      OnOver_(std::move(OnOver)), Key_(findKey(*Request_.Route_, Request_.Http_)),
      Machine_(makeCallParameters(Request_, Key_.has_value()), Budget), Deadline_(Services.Loop_) {
  if (Key_)
    ClaimKey_ = claimKey(*Request_.Route_->Service_, Request_.Customer_, *Key_);
}

void CallSession::start() {
  ++Stats_.Started_;
  Request_.Responder_->onClosed([Weak = weak_from_this()] {
    const std::shared_ptr<CallSession> Self = Weak.lock();
    if (!Self || Self->Answered_)
      return;
    ++Self->Stats_.CallersGone_;
    Self->performEffects(Self->Machine_.onCallerGone());
  });
  performEffects(Machine_.begin(Services_.Clock_.now()));
}

void CallSession::performEffects(CallEffects Effects) {
  // An effect may end the session, whose owner then drops it.
  const std::shared_ptr<CallSession> Self = shared_from_this();
  for (const CallEffect &Effect : Effects)
    std::visit([this](const auto &Concrete) { perform(Concrete); }, Effect);
  finishIfOver();
}

void CallSession::perform(const CallSend &Send) {
  const ServiceId &Service = *Request_.Route_->Service_;
  Endpoint_ = Picker_.pick(Service, Tried_, Services_.Clock_.now());
  if (!Endpoint_ && Send.MayReuseEndpoint_)
    Endpoint_ = Picker_.pick(Service, {}, Services_.Clock_.now());
  if (!Endpoint_) {
    performEffects(Machine_.onNoEndpoint());
    return;
  }
  Tried_.insert(Endpoint_->Id_);
  Picker_.sendStarted(Endpoint_->Id_, Services_.Clock_.now());
  ++Stats_.Sends_;
  HttpSendOptions Options;
  Options.Use_ = Send.Fresh_ ? ConnectionUse::Fresh : ConnectionUse::Pooled;
  Options.ConnectTimeout_ = std::min(Options.ConnectTimeout_, Send.ResponseTimeout_);
  Options.ResponseTimeout_ = Send.ResponseTimeout_;
  Options.BeforeSend_ = [Self = shared_from_this()] {
    // The endpoint may have started to leave while the connection was opened.
    if (!Self->Services_.Endpoints_.mayTakeWork(Self->Endpoint_->Id_))
      return false;
    return Self->Machine_.onConnectionOpened(Self->Services_.Clock_.now(),
                                             Self->Request_.Responder_->isOpen());
  };
  HttpCall_ = Services_.Client_.send(
      Endpoint_->Address_, makeEndpointRequest(Request_.Http_, Request_.Id_, Key_, Send.Fence_),
      std::move(Options),
      [Self = shared_from_this()](HttpResult Result) { Self->onSendFinished(std::move(Result)); });
}

void CallSession::onSendFinished(HttpResult Result) {
  const TimePoint Now = Services_.Clock_.now();
  // A call that this router withheld or cancelled says nothing about the endpoint.
  const bool Reachable = !Result.Error_ || Result.Error_ == ErrorCode::Cancelled;
  releaseEndpoint(Reachable, Now);
  if (Result.Error_) {
    performEffects(Machine_.onSendFailed({Result.Error_, Result.BytesHandedOver_}, Now));
    return;
  }
  Response_ = std::move(Result.Response_);
  performEffects(Machine_.onEndpointAnswer(Response_.Status_, Response_.Body_, Now));
}

void CallSession::releaseEndpoint(bool Reachable, TimePoint Now) {
  if (Endpoint_)
    Picker_.sendEnded(Endpoint_->Id_, Reachable, Now);
  Endpoint_.reset();
}

void CallSession::perform(const CallCancelSend &) { Services_.Client_.cancel(HttpCall_); }

void CallSession::perform(const CallClaim &) {
  ++Stats_.Claims_;
  Services_.Claims_.claim(Request_.Id_, ClaimKey_, Request_.ClaimPosition_,
                          [Weak = weak_from_this()](const ClaimReply &Reply) {
                            const std::shared_ptr<CallSession> Self = Weak.lock();
                            if (Self)
                              Self->performEffects(Self->Machine_.onClaimReply(
                                  toClaimOutcome(Reply), Self->Services_.Clock_.now()));
                          });
}

void CallSession::perform(const CallAbandonClaim &) { Services_.Claims_.abandon(Request_.Id_); }

void CallSession::perform(const CallRecordAnswer &Finish) {
  Services_.Claims_.finish(Request_.Id_, ClaimKey_, Finish.Status_, Finish.Body_);
}

void CallSession::perform(const CallReleaseClaim &) {
  Services_.Claims_.release(Request_.Id_, ClaimKey_);
}

void CallSession::perform(const CallAnswer &Answer) {
  recordOutcome(Answer.Answer_.Status_, Answer.Answer_.Outcome_);
  if (Request_.Responder_->isOpen())
    sendAnswer(*Request_.Responder_, Request_.Id_, Answer.Answer_);
}

void CallSession::perform(const CallForwardAnswer &Forward) {
  recordOutcome(Response_.Status_, Forward.Outcome_);
  if (Request_.Responder_->isOpen())
    Request_.Responder_->send(makeCallerResponse(Response_, Request_.Id_, Forward.Outcome_));
}

void CallSession::perform(const CallArmDeadline &Arm) {
  const Duration Left = Arm.At_ - Services_.Clock_.now();
  Deadline_.after(std::max(Left, Duration{}), [Weak = weak_from_this()] {
    const std::shared_ptr<CallSession> Self = Weak.lock();
    if (Self)
      Self->performEffects(Self->Machine_.onDeadlinePassed());
  });
}

void CallSession::recordOutcome(std::uint32_t Status, Outcome CallOutcome) {
  Answered_ = true;
  End_ = {Status, CallOutcome, 0};
  switch (CallOutcome) {
  case Outcome::Done:
    ++Stats_.Done_;
    return;
  case Outcome::NotRun:
    ++Stats_.NotRun_;
    Services_.Log_.log(LogEvent::CallNotRun, {{"request", Request_.Id_.str()}, {"status", Status}});
    return;
  case Outcome::Unknown:
    break;
  }
  ++Stats_.Unknown_;
  Services_.Log_.log(LogEvent::CallUnknown, {{"request", Request_.Id_.str()}, {"status", Status}});
}

void CallSession::finishIfOver() {
  if (Finished_ || !Machine_.isOver())
    return;
  Finished_ = true;
  Deadline_.cancel();
  if (Request_.OnFinished_)
    Request_.OnFinished_(End_);
  OnOver_();
}

boost::json::object CallSession::state() const {
  return {{"request", Request_.Id_.str()},
          {"route", Request_.Route_->Id_.str()},
          {"state", Machine_.stateName()},
          {"keyed", Key_.has_value()},
          {"sent", Machine_.isSent()},
          {"endpoint", Endpoint_ ? Endpoint_->Id_.str() : std::string()}};
}

} // namespace rattancart
