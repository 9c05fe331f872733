// The transition table is longer than the default limit of Boost.MPL's vectors.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 40
#define BOOST_MPL_LIMIT_LIST_SIZE 40

#include "Core/Calls/CallMachine.h"

#include "Core/Common/ErrorCode.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <boost/msm/front/states.hpp>

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

constexpr Duration MinResponseTimeout = std::chrono::milliseconds(50);
/// From this status on, an answer does not show whether the call was executed.
constexpr std::uint32_t FirstServerError = 500;

struct Begin {};
struct ClaimWon {
  bool TooLate_;
};
struct ClaimLost {};
struct ClaimIneligible {};
struct ClaimRecorded {
  const ClaimOutcome &Reply_;
};
struct ClaimRefused {};
struct Opened {};
struct Answered {
  std::uint32_t Status_;
  std::string_view Body_;
  bool Retry_;
};
struct Failed {
  std::error_code Error_;
  bool Retry_;
};
struct NoEndpointLeft {};
struct DeadlinePassed {};
struct CallerGone {};

/// The states and transitions. The actions append to Effects_.
struct CallStates : boost::msm::front::state_machine_def<CallStates> {
  struct Idle : boost::msm::front::state<> {};
  /// The claim was made and is not decided yet.
  struct Claiming : boost::msm::front::state<> {};
  /// Another call holds the key; waits for its answer.
  struct Following : boost::msm::front::state<> {};
  /// Connects to an endpoint; no byte of this attempt was handed to a connection.
  struct Connecting : boost::msm::front::state<> {};
  /// Bytes of this attempt were handed to a connection; waits for the answer.
  struct Sent : boost::msm::front::state<> {};
  /// The caller was answered or is gone; waits for the endpoint's answer, to record it.
  struct Detached : boost::msm::front::state<> {};
  struct Over : boost::msm::front::state<> {};
  using initial_state = Idle;

  bool needsClaim(const Begin &) { return usesClaim(); }
  bool needsNoClaim(const Begin &) { return !usesClaim(); }
  bool isInTime(const ClaimWon &Event) { return !Event.TooLate_; }
  bool isTooLate(const ClaimWon &Event) { return Event.TooLate_; }
  template <typename Event> bool willRetry(const Event &Happened) { return Happened.Retry_; }
  template <typename Event> bool willNotRetry(const Event &Happened) { return !Happened.Retry_; }
  template <typename Event> bool holdsClaim(const Event &) { return usesClaim(); }
  template <typename Event> bool holdsNoClaim(const Event &) { return !usesClaim(); }

  void startClaim(const Begin &) {
    push(CallArmDeadline{Parameters_.Deadline_});
    push(CallClaim{});
  }
  void startSend(const Begin &) {
    push(CallArmDeadline{Parameters_.Deadline_});
    send();
  }
  void sendAsHolder(const ClaimWon &) { send(); }
  void answerLateWin(const ClaimWon &) { answerNotSent(504, ErrorCode::DeadlineExceeded); }
  void answerIneligible(const ClaimIneligible &) {
    answer(409, Outcome::Unknown, ErrorCode::ClaimNotEligible,
           "a copy may have run before its key was released; repeat the call to have it run");
  }
  void answerRecorded(const ClaimRecorded &Event) {
    if (Event.Reply_.Status_ == 0) {
      answer(502, Outcome::Unknown, ErrorCode::OutcomeUnknown,
             "another copy of the call was sent and its answer was lost");
      return;
    }
    CallerAnswer Recorded;
    Recorded.Status_ = Event.Reply_.Status_;
    Recorded.Outcome_ = outcomeOf(Event.Reply_.Status_);
    Recorded.Body_ = Event.Reply_.Body_;
    push(CallAnswer{std::move(Recorded)});
  }
  void answerClaimUnavailable(const ClaimRefused &) {
    push(CallAbandonClaim{});
    answer(503, Outcome::Unknown, ErrorCode::ClaimUnavailable,
           "this router did not send the call; a copy may have run through another one");
  }
  void abandonClaimAtDeadline(const DeadlinePassed &) {
    push(CallAbandonClaim{});
    answer(504, Outcome::Unknown, ErrorCode::DeadlineExceeded, "the claim was not decided in time");
  }
  void abandonFollowingAtDeadline(const DeadlinePassed &) {
    push(CallAbandonClaim{});
    answer(409, Outcome::Unknown, ErrorCode::ClaimLost, "another copy has not finished");
  }
  void abandonClaim(const CallerGone &) { push(CallAbandonClaim{}); }

  void markSent(const Opened &) { AnyBytesSent_ = true; }
  template <typename Event> void resend(const Event &) { send(); }
  void answerUnsentFailure(const Failed &Event) {
    if (WithheldAtOpen_)
      answerNotSent(504, ErrorCode::DeadlineExceeded);
    else
      answerNotSent(502, Event.Error_);
  }
  void answerNoEndpoint(const NoEndpointLeft &) { answerNotSent(503, ErrorCode::NoEndpoint); }
  void answerUnsentAtDeadline(const DeadlinePassed &) {
    push(CallCancelSend{});
    answerNotSent(504, ErrorCode::DeadlineExceeded);
  }
  void cancelUnsentForGoneCaller(const CallerGone &) {
    push(CallCancelSend{});
    if (usesClaim())
      push(CallReleaseClaim{});
  }

  void forward(const Answered &Event) {
    recordResult(Event.Status_, Event.Body_);
    push(CallForwardAnswer{outcomeOf(Event.Status_)});
  }
  void failSent(const Failed &Event) {
    recordResult(0, {});
    const bool IsTimeout = Event.Error_ == ErrorCode::ResponseTimeout;
    answer(IsTimeout ? 504 : 502, Outcome::Unknown, Event.Error_, "the call was sent");
  }
  void answerAtDeadline(const DeadlinePassed &) {
    answer(504, Outcome::Unknown, ErrorCode::DeadlineExceeded, "the call was sent");
  }
  void cancelAtDeadline(const DeadlinePassed &Event) {
    push(CallCancelSend{});
    answerAtDeadline(Event);
  }
  void cancelForGoneCaller(const CallerGone &) { push(CallCancelSend{}); }
  void recordAnswer(const Answered &Event) { recordResult(Event.Status_, Event.Body_); }
  void recordFailure(const Failed &) { recordResult(0, {}); }

  using C = CallStates;
  // clang-format off
  struct transition_table : boost::mpl::vector< // NOLINT
    row  <Idle,       Begin,           Claiming,   &C::startClaim,                 &C::needsClaim>,
    row  <Idle,       Begin,           Connecting, &C::startSend,                  &C::needsNoClaim>,
    row  <Claiming,   ClaimWon,        Connecting, &C::sendAsHolder,               &C::isInTime>,
    row  <Claiming,   ClaimWon,        Over,       &C::answerLateWin,              &C::isTooLate>,
    _row <Claiming,   ClaimLost,       Following>,
    a_row<Claiming,   ClaimIneligible, Over,       &C::answerIneligible>,
    a_row<Claiming,   ClaimRecorded,   Over,       &C::answerRecorded>,
    a_row<Claiming,   ClaimRefused,    Over,       &C::answerClaimUnavailable>,
    a_row<Claiming,   DeadlinePassed,  Over,       &C::abandonClaimAtDeadline>,
    a_row<Claiming,   CallerGone,      Over,       &C::abandonClaim>,
    a_row<Following,  ClaimIneligible, Over,       &C::answerIneligible>,
    a_row<Following,  ClaimRecorded,   Over,       &C::answerRecorded>,
    a_row<Following,  DeadlinePassed,  Over,       &C::abandonFollowingAtDeadline>,
    a_row<Following,  CallerGone,      Over,       &C::abandonClaim>,
    a_row<Connecting, Opened,          Sent,       &C::markSent>,
    row  <Connecting, Failed,          Connecting, &C::resend<Failed>,             &C::willRetry<Failed>>,
    row  <Connecting, Failed,          Over,       &C::answerUnsentFailure,        &C::willNotRetry<Failed>>,
    a_row<Connecting, NoEndpointLeft,  Over,       &C::answerNoEndpoint>,
    a_row<Connecting, DeadlinePassed,  Over,       &C::answerUnsentAtDeadline>,
    a_row<Connecting, CallerGone,      Over,       &C::cancelUnsentForGoneCaller>,
    row  <Sent,       Answered,        Connecting, &C::resend<Answered>,           &C::willRetry<Answered>>,
    row  <Sent,       Answered,        Over,       &C::forward,                    &C::willNotRetry<Answered>>,
    row  <Sent,       Failed,          Connecting, &C::resend<Failed>,             &C::willRetry<Failed>>,
    row  <Sent,       Failed,          Over,       &C::failSent,                   &C::willNotRetry<Failed>>,
    row  <Sent,       DeadlinePassed,  Detached,   &C::answerAtDeadline,           &C::holdsClaim<DeadlinePassed>>,
    row  <Sent,       DeadlinePassed,  Over,       &C::cancelAtDeadline,           &C::holdsNoClaim<DeadlinePassed>>,
    g_row<Sent,       CallerGone,      Detached,                                   &C::holdsClaim<CallerGone>>,
    row  <Sent,       CallerGone,      Over,       &C::cancelForGoneCaller,        &C::holdsNoClaim<CallerGone>>,
    a_row<Detached,   Answered,        Over,       &C::recordAnswer>,
    a_row<Detached,   Failed,          Over,       &C::recordFailure>
  > {};
  // clang-format on

  /// An event that doesn't fit the state comes from a race and has no effect.
  template <typename Machine, typename Event> void no_transition(const Event &, Machine &, int) {}

  bool isKeyed() const {
    return Parameters_.Safety_ == CallSafety::AtMostOnce && Parameters_.HasKey_;
  }
  bool usesClaim() const { return isKeyed() && !Parameters_.Deduplicates_; }
  bool isRepeatable() const {
    return Parameters_.Safety_ != CallSafety::AtMostOnce ||
           (isKeyed() && Parameters_.Deduplicates_);
  }
  static Outcome outcomeOf(std::uint32_t Status) {
    return Status < FirstServerError ? Outcome::Done : Outcome::Unknown;
  }

  template <typename Effect> void push(Effect Added) {
    Effects_.emplace_back(std::in_place_type<Effect>, std::move(Added));
  }

  void answer(std::uint32_t Status, Outcome Result, std::error_code Error, std::string Detail) {
    CallerAnswer Answer;
    Answer.Status_ = Status;
    Answer.Outcome_ = Result;
    Answer.Error_ = Error;
    Answer.Detail_ = std::move(Detail);
    push(CallAnswer{std::move(Answer)});
  }

  void send() {
    ++Attempts_;
    CallSend Send;
    Send.Attempt_ = Attempts_;
    Send.Fresh_ = !isRepeatable() || Attempts_ > 1;
    Send.MayReuseEndpoint_ = isRepeatable();
    Send.Fence_ = ClaimOffset_;
    Send.ResponseTimeout_ = responseTimeout();
    push(Send);
  }

  Duration responseTimeout() const {
    const Duration Left = Parameters_.Deadline_ - Now_;
    if (usesClaim())
      return std::max(Left, MinResponseTimeout) + Parameters_.RecordGrace_;
    // Unless this is the last attempt, leave time to try another endpoint.
    const bool IsLast = !isRepeatable() || Attempts_ >= Parameters_.MaxAttempts_;
    return std::max(IsLast ? Left : Left / 2, MinResponseTimeout);
  }

  void recordResult(std::uint32_t Status, std::string_view Body) {
    if (usesClaim())
      push(CallRecordAnswer{Status, std::string(Body)});
  }

  /// Answers a call whose current attempt handed no byte to a connection, and releases its key.
  void answerNotSent(std::uint32_t Status, std::error_code Error) {
    // Unless this call holds its key, another copy of it may run.
    const bool IsKnownNotRun = !AnyBytesSent_ && (!isKeyed() || usesClaim());
    answer(Status, IsKnownNotRun ? Outcome::NotRun : Outcome::Unknown, Error,
           "the call was not sent");
    // The caller must be answered not-run before another call can win the key.
    if (usesClaim())
      push(CallReleaseClaim{});
  }

  CallParameters Parameters_;
  CallEffects Effects_;
  TimePoint Now_{};
  LogOffset ClaimOffset_ = NoOffset;
  std::uint32_t Attempts_ = 0;
  bool AnyBytesSent_ = false;
  bool WithheldAtOpen_ = false;
};

} // namespace

class CallMachine::Impl {
public:
  Impl(CallParameters Parameters, RetryBudget &Budget) : Budget_(Budget) {
    States_.Parameters_ = std::move(Parameters);
    States_.start();
  }

  template <typename Event> CallEffects process(const Event &Happened) {
    States_.process_event(Happened);
    return std::exchange(States_.Effects_, {});
  }

  template <typename State> bool is() {
    return States_.current_state()[0] ==
           boost::msm::back::get_state_id<boost::msm::back::state_machine<CallStates>::stt,
                                          State>::type::value;
  }

  bool hasAttemptsLeft(TimePoint Now) const {
    return !States_.WithheldAtOpen_ && Now < States_.Parameters_.Deadline_ &&
           States_.Attempts_ < States_.Parameters_.MaxAttempts_;
  }
  bool tryConsumeRepeat(TimePoint Now) {
    return States_.isRepeatable() && hasAttemptsLeft(Now) &&
           Budget_.tryConsumeRetry(States_.Parameters_.Route_, Now);
  }

  RetryBudget &Budget_;
  boost::msm::back::state_machine<CallStates> States_;
  TimePoint BeganAt_{};
};

CallMachine::CallMachine(CallParameters Parameters, RetryBudget &Budget)
    : Impl_(std::make_unique<Impl>(std::move(Parameters), Budget)) {}

CallMachine::~CallMachine() = default;

CallEffects CallMachine::begin(TimePoint Now) {
  Impl_->BeganAt_ = Now;
  Impl_->States_.Now_ = Now;
  const CallParameters &Parameters = Impl_->States_.Parameters_;
  Impl_->Budget_.onFirstAttempt(Parameters.Route_, Parameters.RetryPercent_, Now);
  return Impl_->process(Begin{});
}

CallEffects CallMachine::onClaimReply(const ClaimOutcome &Reply, TimePoint Now) {
  Impl_->States_.Now_ = Now;
  switch (Reply.State_) {
  case ClaimOutcome::State::Won:
    Impl_->States_.ClaimOffset_ = Reply.Offset_;
    return Impl_->process(ClaimWon{Now >= Impl_->States_.Parameters_.Deadline_});
  case ClaimOutcome::State::Lost:
    return Impl_->process(ClaimLost{});
  case ClaimOutcome::State::NotEligible:
    return Impl_->process(ClaimIneligible{});
  case ClaimOutcome::State::Done:
    return Impl_->process(ClaimRecorded{Reply});
  case ClaimOutcome::State::Unavailable:
    break;
  }
  return Impl_->process(ClaimRefused{});
}

bool CallMachine::onConnectionOpened(TimePoint Now, bool IsCallerConnected) {
  CallStates &States = Impl_->States_;
  if (!Impl_->is<CallStates::Connecting>())
    return false;
  const bool IsStale =
      States.usesClaim() && Now - Impl_->BeganAt_ > States.Parameters_.MaxClaimAge_;
  if (IsStale || !IsCallerConnected || Now >= States.Parameters_.Deadline_) {
    States.WithheldAtOpen_ = true;
    return false;
  }
  Impl_->process(Opened{});
  return true;
}

CallEffects CallMachine::onEndpointAnswer(std::uint32_t Status, std::string_view Body,
                                          TimePoint Now) {
  Impl_->States_.Now_ = Now;
  const bool ShouldRetry =
      Status >= FirstServerError && Impl_->is<CallStates::Sent>() && Impl_->tryConsumeRepeat(Now);
  return Impl_->process(Answered{Status, Body, ShouldRetry});
}

CallEffects CallMachine::onSendFailed(const CallSendFailure &Failure, TimePoint Now) {
  Impl_->States_.Now_ = Now;
  // Bytes that were handed over count as sent even if onConnectionOpened was not called.
  if (Failure.BytesHandedOver_ && Impl_->is<CallStates::Connecting>())
    Impl_->process(Opened{});
  const bool ShouldRetry = Impl_->is<CallStates::Connecting>()
                               ? Impl_->hasAttemptsLeft(Now)
                               : Impl_->is<CallStates::Sent>() && Impl_->tryConsumeRepeat(Now);
  return Impl_->process(Failed{Failure.Error_, ShouldRetry});
}

CallEffects CallMachine::onNoEndpoint() { return Impl_->process(NoEndpointLeft{}); }

CallEffects CallMachine::onDeadlinePassed() { return Impl_->process(DeadlinePassed{}); }

CallEffects CallMachine::onCallerGone() { return Impl_->process(CallerGone{}); }

bool CallMachine::isOver() const { return Impl_->is<CallStates::Over>(); }

bool CallMachine::isSent() const { return Impl_->States_.AnyBytesSent_; }

std::string_view CallMachine::stateName() const {
  if (Impl_->is<CallStates::Claiming>())
    return "claiming";
  if (Impl_->is<CallStates::Following>())
    return "following";
  if (Impl_->is<CallStates::Connecting>())
    return "connecting";
  if (Impl_->is<CallStates::Sent>())
    return "sent";
  if (Impl_->is<CallStates::Detached>())
    return "detached";
  return Impl_->is<CallStates::Over>() ? "over" : "idle";
}

} // namespace rattancart
