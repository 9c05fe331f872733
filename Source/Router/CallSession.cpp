#include "Router/CallSession.h"

#include "Core/Common/ErrorCode.h"
#include "Router/CallHttp.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace rattancart {

namespace {

/// A holder sends only within this part of the deduplication window.
constexpr int HoldShare = 2;

CallParameters planOf(const RoutedRequest &Request, bool HasKey) {
  const ServiceTraits Traits = Request.View_->traitsOf(*Request.Route_->Service_);
  CallParameters Plan;
  Plan.Route_ = Request.Route_->Id_;
  Plan.Safety_ = Request.Route_->Safety_;
  Plan.HasKey_ = HasKey;
  Plan.Deduplicates_ = Traits.Deduplicates_;
  Plan.Deadline_ = Request.Deadline_;
  Plan.RetryPercent_ = Request.Route_->RetryPercent_;
  Plan.MaxClaimAge_ = Traits.DedupWindow_ / HoldShare;
  return Plan;
}

ClaimOutcome outcomeOf(const ClaimReply &Reply) {
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

CallSession::CallSession(RouterServices &Services, CallEndpoints &Endpoints, CallStats &Stats,
                         RetryBudget &Permit, RoutedRequest Request, std::function<void()> Over)
    : Services_(Services), Endpoints_(Endpoints), Stats_(Stats), Request_(std::move(Request)),
      Over_(std::move(Over)), Key_(findKey(*Request_.Route_, Request_.Http_)),
      Machine_(planOf(Request_, Key_.has_value()), Permit), Deadline_(Services.Loop_) {
  if (Key_)
    ClaimKey_ = claimKey(*Request_.Route_->Service_, Request_.Customer_, *Key_);
}

void CallSession::start() {
  ++Stats_.Begun_;
  Request_.Responder_->onClosed([Weak = weak_from_this()] {
    const std::shared_ptr<CallSession> Self = Weak.lock();
    if (!Self || Self->Answered_)
      return;
    ++Self->Stats_.CallersGone_;
    Self->run(Self->Machine_.onCallerGone());
  });
  run(Machine_.begin(Services_.Clock_.now()));
}

void CallSession::run(CallEffects Effects) {
  // An effect may end the session.
  const std::shared_ptr<CallSession> Self = shared_from_this();
  for (const CallEffect &Effect : Effects)
    std::visit([this](const auto &What) { carryOut(What); }, Effect);
  finishIfOver();
}

void CallSession::carryOut(const CallSend &Send) {
  const ServiceId &Service = *Request_.Route_->Service_;
  Endpoint_ = Endpoints_.pick(Service, Tried_, Services_.Clock_.now());
  if (!Endpoint_ && Send.MayReuseEndpoint_)
    Endpoint_ = Endpoints_.pick(Service, {}, Services_.Clock_.now());
  if (!Endpoint_) {
    run(Machine_.onNoEndpoint());
    return;
  }
  Tried_.insert(Endpoint_->Id_);
  Endpoints_.begun(Endpoint_->Id_, Services_.Clock_.now());
  ++Stats_.Sends_;
  HttpSendOptions Options;
  Options.Use_ = Send.Fresh_ ? ConnectionUse::Fresh : ConnectionUse::Pooled;
  Options.ConnectTimeout_ = std::min(Options.ConnectTimeout_, Send.ResponseTimeout_);
  Options.ResponseTimeout_ = Send.ResponseTimeout_;
  Options.BeforeSend_ = [Self = shared_from_this()] {
    // The endpoint may have begun to leave while it was being connected.
    if (!Self->Services_.Endpoints_.mayTakeWork(Self->Endpoint_->Id_))
      return false;
    return Self->Machine_.onConnectionOpened(Self->Services_.Clock_.now(),
                                             Self->Request_.Responder_->isOpen());
  };
  HttpCall_ = Services_.Client_.send(
      Endpoint_->Address_, endpointRequest(Request_.Http_, Request_.Id_, Key_, Send.Fence_),
      std::move(Options),
      [Self = shared_from_this()](HttpResult Result) { Self->sent(std::move(Result)); });
}

void CallSession::sent(HttpResult Result) {
  const TimePoint Now = Services_.Clock_.now();
  // A call that this router withheld or gave up says nothing about the endpoint.
  const bool Reachable = !Result.Error_ || Result.Error_ == ErrorCode::Cancelled;
  endSend(Reachable, Now);
  if (Result.Error_) {
    run(Machine_.onSendFailed({Result.Error_, Result.BytesHandedOver_}, Now));
    return;
  }
  Response_ = std::move(Result.Response_);
  run(Machine_.onEndpointAnswer(Response_.Status_, Response_.Body_, Now));
}

void CallSession::endSend(bool Reachable, TimePoint Now) {
  if (Endpoint_)
    Endpoints_.ended(Endpoint_->Id_, Reachable, Now);
  Endpoint_.reset();
}

void CallSession::carryOut(const CallCancelSend &) { Services_.Client_.cancel(HttpCall_); }

void CallSession::carryOut(const CallClaim &) {
  ++Stats_.Claims_;
  Services_.Claims_.claim(
      Request_.Id_, ClaimKey_, Request_.ClaimPosition_,
      [Weak = weak_from_this()](const ClaimReply &Reply) {
        const std::shared_ptr<CallSession> Self = Weak.lock();
        if (Self)
          Self->run(Self->Machine_.onClaimReply(outcomeOf(Reply), Self->Services_.Clock_.now()));
      });
}

void CallSession::carryOut(const CallAbandonClaim &) { Services_.Claims_.abandon(Request_.Id_); }

void CallSession::carryOut(const CallRecordAnswer &Finish) {
  Services_.Claims_.finish(Request_.Id_, ClaimKey_, Finish.Status_, Finish.Body_);
}

void CallSession::carryOut(const CallReleaseClaim &) {
  Services_.Claims_.release(Request_.Id_, ClaimKey_);
}

void CallSession::carryOut(const CallAnswer &Answer) {
  answered(Answer.Answer_.Status_, Answer.Answer_.Outcome_);
  if (Request_.Responder_->isOpen())
    sendAnswer(*Request_.Responder_, Request_.Id_, Answer.Answer_);
}

void CallSession::carryOut(const CallForwardAnswer &Forward) {
  answered(Response_.Status_, Forward.Outcome_);
  if (Request_.Responder_->isOpen())
    Request_.Responder_->send(callerResponse(Response_, Request_.Id_, Forward.Outcome_));
}

void CallSession::carryOut(const CallArmDeadline &Arm) {
  const Duration Left = Arm.At_ - Services_.Clock_.now();
  Deadline_.after(std::max(Left, Duration{}), [Weak = weak_from_this()] {
    const std::shared_ptr<CallSession> Self = Weak.lock();
    if (Self)
      Self->run(Self->Machine_.onDeadlinePassed());
  });
}

void CallSession::answered(std::uint32_t Status, Outcome What) {
  Answered_ = true;
  End_ = {Status, What, 0};
  switch (What) {
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
  if (Request_.Finished_)
    Request_.Finished_(End_);
  Over_();
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
