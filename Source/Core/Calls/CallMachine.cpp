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
/// Answers from this status on prove nothing about whether the call ran.
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
  bool Again_;
};
struct Failed {
  std::error_code Error_;
  bool Again_;
};
struct NoEndpointLeft {};
struct DeadlinePassed {};
struct CallerGone {};

/// The states and transitions; the actions collect effects.
struct CallStates : boost::msm::front::state_machine_def<CallStates> {
  struct Idle : boost::msm::front::state<> {};
  /// The claim is with the log.
  struct Claiming : boost::msm::front::state<> {};
  /// Another call holds the key; its answer is awaited.
  struct Following : boost::msm::front::state<> {};
  /// An endpoint is being connected; no byte of this attempt was handed over.
  struct Connecting : boost::msm::front::state<> {};
  /// Bytes were handed over.
  struct Sent : boost::msm::front::state<> {};
  /// The caller is answered or gone; the endpoint's answer is awaited to record it.
  struct Detached : boost::msm::front::state<> {};
  struct Over : boost::msm::front::state<> {};
  using initial_state = Idle;

  bool needsClaim(const Begin &) { return isClaimed(); }
  bool needsNoClaim(const Begin &) { return !isClaimed(); }
  bool isInTime(const ClaimWon &Event) { return !Event.TooLate_; }
  bool isTooLate(const ClaimWon &Event) { return Event.TooLate_; }
  template <typename Event> bool triesAgain(const Event &What) { return What.Again_; }
  template <typename Event> bool givesUp(const Event &What) { return !What.Again_; }
  template <typename Event> bool holds(const Event &) { return isClaimed(); }
  template <typename Event> bool holdsNothing(const Event &) { return !isClaimed(); }

  void startClaim(const Begin &) {
    push(CallArmDeadline{Plan_.Deadline_});
    push(CallClaim{});
  }
  void startSend(const Begin &) {
    push(CallArmDeadline{Plan_.Deadline_});
    send();
  }
  void sendAsHolder(const ClaimWon &) { send(); }
  void declineLateWin(const ClaimWon &) { decline(504, ErrorCode::DeadlineExceeded); }
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
  void refuseClaim(const ClaimRefused &) {
    push(CallAbandonClaim{});
    answer(503, Outcome::Unknown, ErrorCode::ClaimUnavailable,
           "this router did not send the call; a copy may have run through another one");
  }
  void giveUpClaim(const DeadlinePassed &) {
    push(CallAbandonClaim{});
    answer(504, Outcome::Unknown, ErrorCode::DeadlineExceeded, "the claim was not decided in time");
  }
  void giveUpFollowing(const DeadlinePassed &) {
    push(CallAbandonClaim{});
    answer(409, Outcome::Unknown, ErrorCode::ClaimLost, "another copy has not finished");
  }
  void abandonClaim(const CallerGone &) { push(CallAbandonClaim{}); }

  void noteSent(const Opened &) { HandedOver_ = true; }
  template <typename Event> void sendAgain(const Event &) { send(); }
  void declineFailed(const Failed &Event) {
    if (DeclinedAtOpen_)
      decline(504, ErrorCode::DeadlineExceeded);
    else
      decline(502, Event.Error_);
  }
  void declineNoEndpoint(const NoEndpointLeft &) { decline(503, ErrorCode::NoEndpoint); }
  void declineAtDeadline(const DeadlinePassed &) {
    push(CallCancelSend{});
    decline(504, ErrorCode::DeadlineExceeded);
  }
  void declineForGoneCaller(const CallerGone &) {
    push(CallCancelSend{});
    if (isClaimed())
      push(CallReleaseClaim{});
  }

  void forward(const Answered &Event) {
    finish(Event.Status_, Event.Body_);
    push(CallForwardAnswer{outcomeOf(Event.Status_)});
  }
  void failSent(const Failed &Event) {
    finish(0, {});
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
  void recordAnswer(const Answered &Event) { finish(Event.Status_, Event.Body_); }
  void recordFailure(const Failed &) { finish(0, {}); }

  using C = CallStates;
  // clang-format off
  struct transition_table : boost::mpl::vector< // NOLINT
    row  <Idle,       Begin,           Claiming,   &C::startClaim,           &C::needsClaim>,
    row  <Idle,       Begin,           Connecting, &C::startSend,            &C::needsNoClaim>,
    row  <Claiming,   ClaimWon,        Connecting, &C::sendAsHolder,         &C::isInTime>,
    row  <Claiming,   ClaimWon,        Over,       &C::declineLateWin,       &C::isTooLate>,
    _row <Claiming,   ClaimLost,       Following>,
    a_row<Claiming,   ClaimIneligible, Over,       &C::answerIneligible>,
    a_row<Claiming,   ClaimRecorded,   Over,       &C::answerRecorded>,
    a_row<Claiming,   ClaimRefused,    Over,       &C::refuseClaim>,
    a_row<Claiming,   DeadlinePassed,  Over,       &C::giveUpClaim>,
    a_row<Claiming,   CallerGone,      Over,       &C::abandonClaim>,
    a_row<Following,  ClaimIneligible, Over,       &C::answerIneligible>,
    a_row<Following,  ClaimRecorded,   Over,       &C::answerRecorded>,
    a_row<Following,  DeadlinePassed,  Over,       &C::giveUpFollowing>,
    a_row<Following,  CallerGone,      Over,       &C::abandonClaim>,
    a_row<Connecting, Opened,          Sent,       &C::noteSent>,
    row  <Connecting, Failed,          Connecting, &C::sendAgain<Failed>,    &C::triesAgain<Failed>>,
    row  <Connecting, Failed,          Over,       &C::declineFailed,        &C::givesUp<Failed>>,
    a_row<Connecting, NoEndpointLeft,  Over,       &C::declineNoEndpoint>,
    a_row<Connecting, DeadlinePassed,  Over,       &C::declineAtDeadline>,
    a_row<Connecting, CallerGone,      Over,       &C::declineForGoneCaller>,
    row  <Sent,       Answered,        Connecting, &C::sendAgain<Answered>,  &C::triesAgain<Answered>>,
    row  <Sent,       Answered,        Over,       &C::forward,              &C::givesUp<Answered>>,
    row  <Sent,       Failed,          Connecting, &C::sendAgain<Failed>,    &C::triesAgain<Failed>>,
    row  <Sent,       Failed,          Over,       &C::failSent,             &C::givesUp<Failed>>,
    row  <Sent,       DeadlinePassed,  Detached,   &C::answerAtDeadline,     &C::holds<DeadlinePassed>>,
    row  <Sent,       DeadlinePassed,  Over,       &C::cancelAtDeadline,     &C::holdsNothing<DeadlinePassed>>,
    g_row<Sent,       CallerGone,      Detached,                             &C::holds<CallerGone>>,
    row  <Sent,       CallerGone,      Over,       &C::cancelForGoneCaller,  &C::holdsNothing<CallerGone>>,
    a_row<Detached,   Answered,        Over,       &C::recordAnswer>,
    a_row<Detached,   Failed,          Over,       &C::recordFailure>
  > {};
  // clang-format on

  /// An event that doesn't fit the state comes from a race and changes nothing.
  template <typename Machine, typename Event> void no_transition(const Event &, Machine &, int) {}

  bool isKeyed() const { return Plan_.Safety_ == CallSafety::AtMostOnce && Plan_.HasKey_; }
  bool isClaimed() const { return isKeyed() && !Plan_.Deduplicates_; }
  bool isRepeatable() const {
    return Plan_.Safety_ != CallSafety::AtMostOnce || (isKeyed() && Plan_.Deduplicates_);
  }
  static Outcome outcomeOf(std::uint32_t Status) {
    return Status < FirstServerError ? Outcome::Done : Outcome::Unknown;
  }

  template <typename Effect> void push(Effect What) {
    Effects_.emplace_back(std::in_place_type<Effect>, std::move(What));
  }

  void answer(std::uint32_t Status, Outcome What, std::error_code Error, std::string Detail) {
    CallerAnswer Answer;
    Answer.Status_ = Status;
    Answer.Outcome_ = What;
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
    const Duration Left = Plan_.Deadline_ - Now_;
    if (isClaimed())
      return std::max(Left, MinResponseTimeout) + Plan_.RecordGrace_;
    // Time is left for another endpoint if this one stays silent.
    const bool IsLast = !isRepeatable() || Attempts_ >= Plan_.MaxAttempts_;
    return std::max(IsLast ? Left : Left / 2, MinResponseTimeout);
  }

  void finish(std::uint32_t Status, std::string_view Body) {
    if (isClaimed())
      push(CallRecordAnswer{Status, std::string(Body)});
  }

  /// Ends a call whose current attempt handed no byte over.
  void decline(std::uint32_t Status, std::error_code Error) {
    // A copy of a keyed call may run elsewhere unless this call holds the key.
    const bool IsProven = !HandedOver_ && (!isKeyed() || isClaimed());
    answer(Status, IsProven ? Outcome::NotRun : Outcome::Unknown, Error, "the call was not sent");
    // The caller hears before anyone else can win the key.
    if (isClaimed())
      push(CallReleaseClaim{});
  }

  CallParameters Plan_;
  CallEffects Effects_;
  TimePoint Now_{};
  LogOffset ClaimOffset_ = NoOffset;
  std::uint32_t Attempts_ = 0;
  bool HandedOver_ = false;
  bool DeclinedAtOpen_ = false;
};

} // namespace

class CallMachine::Impl {
public:
  Impl(CallParameters Plan, RetryBudget &Permit) : Permit_(Permit) {
    States_.Plan_ = std::move(Plan);
    States_.start();
  }

  template <typename Event> CallEffects fire(const Event &What) {
    States_.process_event(What);
    return std::exchange(States_.Effects_, {});
  }

  template <typename State> bool is() {
    return States_.current_state()[0] ==
           boost::msm::back::get_state_id<boost::msm::back::state_machine<CallStates>::stt,
                                          State>::type::value;
  }

  bool hasTriesLeft(TimePoint Now) const {
    return !States_.DeclinedAtOpen_ && Now < States_.Plan_.Deadline_ &&
           States_.Attempts_ < States_.Plan_.MaxAttempts_;
  }
  bool spendRepeat(TimePoint Now) {
    return States_.isRepeatable() && hasTriesLeft(Now) &&
           Permit_.tryConsumeRetry(States_.Plan_.Route_, Now);
  }

  RetryBudget &Permit_;
  boost::msm::back::state_machine<CallStates> States_;
  TimePoint BeganAt_{};
};

CallMachine::CallMachine(CallParameters Plan, RetryBudget &Permit)
    : Impl_(std::make_unique<Impl>(std::move(Plan), Permit)) {}

CallMachine::~CallMachine() = default;

CallEffects CallMachine::begin(TimePoint Now) {
  Impl_->BeganAt_ = Now;
  Impl_->States_.Now_ = Now;
  const CallParameters &Plan = Impl_->States_.Plan_;
  Impl_->Permit_.onFirstAttempt(Plan.Route_, Plan.RetryPercent_, Now);
  return Impl_->fire(Begin{});
}

CallEffects CallMachine::onClaimReply(const ClaimOutcome &Reply, TimePoint Now) {
  Impl_->States_.Now_ = Now;
  switch (Reply.State_) {
  case ClaimOutcome::State::Won:
    Impl_->States_.ClaimOffset_ = Reply.Offset_;
    return Impl_->fire(ClaimWon{Now >= Impl_->States_.Plan_.Deadline_});
  case ClaimOutcome::State::Lost:
    return Impl_->fire(ClaimLost{});
  case ClaimOutcome::State::NotEligible:
    return Impl_->fire(ClaimIneligible{});
  case ClaimOutcome::State::Done:
    return Impl_->fire(ClaimRecorded{Reply});
  case ClaimOutcome::State::Unavailable:
    break;
  }
  return Impl_->fire(ClaimRefused{});
}

bool CallMachine::onConnectionOpened(TimePoint Now, bool IsCallerConnected) {
  CallStates &States = Impl_->States_;
  if (!Impl_->is<CallStates::Connecting>())
    return false;
  const bool IsStale = States.isClaimed() && Now - Impl_->BeganAt_ > States.Plan_.MaxClaimAge_;
  if (IsStale || !IsCallerConnected || Now >= States.Plan_.Deadline_) {
    States.DeclinedAtOpen_ = true;
    return false;
  }
  Impl_->fire(Opened{});
  return true;
}

CallEffects CallMachine::onEndpointAnswer(std::uint32_t Status, std::string_view Body,
                                          TimePoint Now) {
  Impl_->States_.Now_ = Now;
  const bool IsAgain =
      Status >= FirstServerError && Impl_->is<CallStates::Sent>() && Impl_->spendRepeat(Now);
  return Impl_->fire(Answered{Status, Body, IsAgain});
}

CallEffects CallMachine::onSendFailed(const CallSendFailure &Failure, TimePoint Now) {
  Impl_->States_.Now_ = Now;
  // Bytes on a connection count, whatever was asked before.
  if (Failure.BytesHandedOver_ && Impl_->is<CallStates::Connecting>())
    Impl_->fire(Opened{});
  const bool IsAgain = Impl_->is<CallStates::Connecting>()
                           ? Impl_->hasTriesLeft(Now)
                           : Impl_->is<CallStates::Sent>() && Impl_->spendRepeat(Now);
  return Impl_->fire(Failed{Failure.Error_, IsAgain});
}

CallEffects CallMachine::onNoEndpoint() { return Impl_->fire(NoEndpointLeft{}); }

CallEffects CallMachine::onDeadlinePassed() { return Impl_->fire(DeadlinePassed{}); }

CallEffects CallMachine::onCallerGone() { return Impl_->fire(CallerGone{}); }

bool CallMachine::isOver() const { return Impl_->is<CallStates::Over>(); }

bool CallMachine::isSent() const { return Impl_->States_.HandedOver_; }

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
