// The transition table is longer than the default limit of Boost.MPL's vectors.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_LIST_SIZE 40
#define BOOST_MPL_LIMIT_VECTOR_SIZE 40

#include "Core/Pipeline/ModelRequest.h"

#include "Core/Common/ErrorCode.h"
#include "Core/Pipeline/ModelRequestData.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <functional>
#include <utility>

namespace rattancart {

namespace {

namespace msm = boost::msm;

struct Start {};

/// The states and transitions.
struct RequestStates : public msm::front::state_machine_def<RequestStates> {
  using no_message_queue = int;    // NOLINT
  using no_exception_thrown = int; // NOLINT

  explicit RequestStates(ModelRequestData &Data) : Data_(Data) {}

  struct Idle : public msm::front::state<> {};
  struct Planning : public msm::front::state<> {};
  struct Replanning : public msm::front::state<> {};
  struct Prefilling : public msm::front::state<> {};
  struct Decoding : public msm::front::state<> {};
  struct Finished : public msm::front::state<> {};
  struct Failed : public msm::front::state<> {};
  struct Cancelled : public msm::front::state<> {};
  using initial_state = Idle; // NOLINT

  void onStart(const Start &) { Data_.plan(); }
  void onChain(const ChainPlanned &Event) { Data_.beginAttempt(Event.Chain_); }
  bool mayRetryPlanning(const ChainUnavailable &) { return Data_.mayRetryPlanning(); }
  void onRetryPlanning(const ChainUnavailable &) { Data_.retryPlanning(); }
  void onNoChain(const ChainUnavailable &) { Data_.fail(ErrorCode::NoChain); }

  // The answer to the current step may describe another request, attempt, position or engine. It is
  // treated like a connection fault.
  bool mayRetryMismatch(const StepAnswered &Event) {
    return !Data_.matches(Event) && Data_.isCurrent(Event.Call_) &&
           Data_.mayResend(StepFault::Connection);
  }
  void onMismatch(const StepAnswered &) {
    Data_.countStale();
    Data_.resend();
  }
  bool mustReplanMismatch(const StepAnswered &Event) {
    return !Data_.matches(Event) && Data_.isCurrent(Event.Call_) &&
           !Data_.mayResend(StepFault::Connection) && Data_.hasAttemptLeft();
  }
  void onMismatchReplan(const StepAnswered &Event) {
    Data_.countStale();
    Data_.abandonAttempt(StepFailed{Event.Call_, StepFault::Connection});
    Data_.plan();
  }
  bool mustFailMismatch(const StepAnswered &Event) {
    return !Data_.matches(Event) && Data_.isCurrent(Event.Call_) &&
           !Data_.mayResend(StepFault::Connection) && !Data_.hasAttemptLeft();
  }
  void onMismatchFailed(const StepAnswered &) {
    Data_.countStale();
    Data_.fail(ErrorCode::AttemptsSpent);
  }
  bool isStale(const StepAnswered &Event) {
    return !Data_.matches(Event) && !Data_.isCurrent(Event.Call_);
  }
  void onStale(const StepAnswered &) { Data_.countStale(); }

  bool isIntermediate(const StepAnswered &Event) {
    return Data_.matches(Event) && !Data_.isLastStage();
  }
  void onIntermediate(const StepAnswered &Event) { Data_.sendNextStage(*Event.Output_.Tensor_); }
  bool isToken(const StepAnswered &Event) {
    return Data_.matches(Event) && Data_.isLastStage() && !Data_.endsAnswer(Event);
  }
  void onToken(const StepAnswered &Event) {
    Data_.deliver(*Event.Output_.Token_);
    Data_.sendNextToken();
  }
  bool isEnd(const StepAnswered &Event) {
    return Data_.matches(Event) && Data_.isLastStage() && Data_.endsAnswer(Event);
  }
  void onEnd(const StepAnswered &Event) {
    Data_.deliver(*Event.Output_.Token_);
    Data_.finish();
  }

  bool mayRetry(const StepFailed &Event) {
    return Data_.isCurrent(Event.Call_) && Data_.mayResend(Event.Fault_);
  }
  void onRetry(const StepFailed &) { Data_.resend(); }
  bool mayReplan(const StepFailed &Event) {
    return Data_.isCurrent(Event.Call_) && !Data_.mayResend(Event.Fault_) && Data_.hasAttemptLeft();
  }
  void onReplan(const StepFailed &Event) {
    Data_.abandonAttempt(Event);
    Data_.plan();
  }
  bool mustFailRequest(const StepFailed &Event) {
    return Data_.isCurrent(Event.Call_) && !Data_.mayResend(Event.Fault_) &&
           !Data_.hasAttemptLeft();
  }
  void onFailed(const StepFailed &) { Data_.fail(ErrorCode::AttemptsSpent); }

  bool mayReplaceLost(const EndpointLost &Event) {
    return Data_.uses(Event.Endpoint_) && Data_.hasAttemptLeft();
  }
  void onLost(const EndpointLost &Event) {
    Data_.abandonAttempt(Event.Endpoint_);
    Data_.plan();
  }
  void onDeadline(const DeadlinePassed &) { Data_.fail(ErrorCode::DeadlineExceeded); }
  void onCallerGone(const CallerGone &) { Data_.cancelAttempt(); }

  // clang-format off
  // Boost.MSM prescribes names that the linter rejects. NOLINTBEGIN
  struct transition_table : boost::mpl::vector<
    //     from        event             to          action                            guard
    a_row <Idle,       Start,            Planning,   &RequestStates::onStart                                             >,
    a_row <Planning,   ChainPlanned,     Prefilling, &RequestStates::onChain                                             >,
    a_row <Planning,   ChainUnavailable, Failed,     &RequestStates::onNoChain                                           >,
    a_row <Planning,   DeadlinePassed,   Failed,     &RequestStates::onDeadline                                          >,
    a_row <Planning,   CallerGone,       Cancelled,  &RequestStates::onCallerGone                                        >,
    a_irow<Planning,   StepAnswered,                 &RequestStates::onStale                                             >,
    a_row <Replanning, ChainPlanned,     Prefilling, &RequestStates::onChain                                             >,
    a_row <Replanning, ChainUnavailable, Failed,     &RequestStates::onNoChain                                           >,
      row <Replanning, ChainUnavailable, Replanning, &RequestStates::onRetryPlanning,  &RequestStates::mayRetryPlanning  >,
    a_row <Replanning, DeadlinePassed,   Failed,     &RequestStates::onDeadline                                          >,
    a_row <Replanning, CallerGone,       Cancelled,  &RequestStates::onCallerGone                                        >,
    a_irow<Replanning, StepAnswered,                 &RequestStates::onStale                                             >,
      irow<Prefilling, StepAnswered,                 &RequestStates::onStale,          &RequestStates::isStale           >,
      irow<Prefilling, StepAnswered,                 &RequestStates::onMismatch,       &RequestStates::mayRetryMismatch  >,
      row <Prefilling, StepAnswered,     Replanning, &RequestStates::onMismatchReplan, &RequestStates::mustReplanMismatch>,
      row <Prefilling, StepAnswered,     Failed,     &RequestStates::onMismatchFailed, &RequestStates::mustFailMismatch  >,
      irow<Prefilling, StepAnswered,                 &RequestStates::onIntermediate,   &RequestStates::isIntermediate    >,
      row <Prefilling, StepAnswered,     Decoding,   &RequestStates::onToken,          &RequestStates::isToken           >,
      row <Prefilling, StepAnswered,     Finished,   &RequestStates::onEnd,            &RequestStates::isEnd             >,
      irow<Prefilling, StepFailed,                   &RequestStates::onRetry,          &RequestStates::mayRetry          >,
      row <Prefilling, StepFailed,       Replanning, &RequestStates::onReplan,         &RequestStates::mayReplan         >,
      row <Prefilling, StepFailed,       Failed,     &RequestStates::onFailed,         &RequestStates::mustFailRequest   >,
      row <Prefilling, EndpointLost,     Replanning, &RequestStates::onLost,           &RequestStates::mayReplaceLost    >,
    a_row <Prefilling, DeadlinePassed,   Failed,     &RequestStates::onDeadline                                          >,
    a_row <Prefilling, CallerGone,       Cancelled,  &RequestStates::onCallerGone                                        >,
      irow<Decoding,   StepAnswered,                 &RequestStates::onStale,          &RequestStates::isStale           >,
      irow<Decoding,   StepAnswered,                 &RequestStates::onMismatch,       &RequestStates::mayRetryMismatch  >,
      row <Decoding,   StepAnswered,     Replanning, &RequestStates::onMismatchReplan, &RequestStates::mustReplanMismatch>,
      row <Decoding,   StepAnswered,     Failed,     &RequestStates::onMismatchFailed, &RequestStates::mustFailMismatch  >,
      irow<Decoding,   StepAnswered,                 &RequestStates::onIntermediate,   &RequestStates::isIntermediate    >,
      irow<Decoding,   StepAnswered,                 &RequestStates::onToken,          &RequestStates::isToken           >,
      row <Decoding,   StepAnswered,     Finished,   &RequestStates::onEnd,            &RequestStates::isEnd             >,
      irow<Decoding,   StepFailed,                   &RequestStates::onRetry,          &RequestStates::mayRetry          >,
      row <Decoding,   StepFailed,       Replanning, &RequestStates::onReplan,         &RequestStates::mayReplan         >,
      row <Decoding,   StepFailed,       Failed,     &RequestStates::onFailed,         &RequestStates::mustFailRequest   >,
      row <Decoding,   EndpointLost,     Replanning, &RequestStates::onLost,           &RequestStates::mayReplaceLost    >,
    a_row <Decoding,   DeadlinePassed,   Failed,     &RequestStates::onDeadline                                          >,
    a_row <Decoding,   CallerGone,       Cancelled,  &RequestStates::onCallerGone                                        >
  > {};
  // NOLINTEND
  // clang-format on

  /// An event that doesn't fit the state has no effect.
  template <typename Fsm, typename Event> void no_transition(const Event &, Fsm &, int) {} // NOLINT

  ModelRequestData &Data_;
};

using StateMachine = msm::back::state_machine<RequestStates>;

} // namespace

class ModelRequest::Impl {
public:
  Impl(RequestId Id, TokenSequence Prompt, ModelRequestOptions Options)
      : Data_(std::move(Id), std::move(Prompt), Options), StateMachine_(std::ref(Data_)) {
    StateMachine_.start();
  }

  template <typename Event> std::vector<ModelEffect> process(const Event &Happened) {
    StateMachine_.process_event(Happened);
    return std::exchange(Data_.Effects_, {});
  }

  ModelRequestData Data_;
  StateMachine StateMachine_;
};

ModelRequest::ModelRequest(RequestId Id, TokenSequence Prompt, ModelRequestOptions Options)
    : Impl_(std::make_unique<Impl>(std::move(Id), std::move(Prompt), Options)) {}
ModelRequest::~ModelRequest() = default;
ModelRequest::ModelRequest(ModelRequest &&) noexcept = default;
ModelRequest &ModelRequest::operator=(ModelRequest &&) noexcept = default;

std::vector<ModelEffect> ModelRequest::start() { return Impl_->process(Start{}); }

std::vector<ModelEffect> ModelRequest::handle(const ModelEvent &Event) {
  return std::visit([this](const auto &Happened) { return Impl_->process(Happened); }, Event);
}

std::string_view ModelRequest::stateName() const {
  using StateTable = StateMachine::stt;
  const int Now = Impl_->StateMachine_.current_state()[0];
  if (Now == msm::back::get_state_id<StateTable, RequestStates::Planning>::value)
    return "planning";
  if (Now == msm::back::get_state_id<StateTable, RequestStates::Replanning>::value)
    return "replanning";
  if (Now == msm::back::get_state_id<StateTable, RequestStates::Prefilling>::value)
    return "prefilling";
  if (Now == msm::back::get_state_id<StateTable, RequestStates::Decoding>::value)
    return "decoding";
  if (Now == msm::back::get_state_id<StateTable, RequestStates::Finished>::value)
    return "finished";
  if (Now == msm::back::get_state_id<StateTable, RequestStates::Failed>::value)
    return "failed";
  if (Now == msm::back::get_state_id<StateTable, RequestStates::Cancelled>::value)
    return "cancelled";
  return "idle";
}

bool ModelRequest::isOver() const {
  const std::string_view Name = stateName();
  return Name == "finished" || Name == "failed" || Name == "cancelled";
}

const TokenSequence &ModelRequest::tokens() const { return Impl_->Data_.Tokens_; }
std::uint32_t ModelRequest::promptTokens() const { return Impl_->Data_.PromptTokens_; }
std::uint32_t ModelRequest::producedTokens() const {
  return tokens().size() - Impl_->Data_.PromptTokens_;
}
AttemptNumber ModelRequest::attempt() const { return Impl_->Data_.Call_.Attempt_; }
const StepCall &ModelRequest::currentCall() const { return Impl_->Data_.Call_; }
const Chain &ModelRequest::chain() const { return Impl_->Data_.Chain_; }
std::uint64_t ModelRequest::staleSteps() const { return Impl_->Data_.StaleSteps_; }

std::size_t ModelRequest::heapBytes() const {
  const ModelRequestData &Data = Impl_->Data_;
  std::size_t Bytes = sizeof(Impl) + Data.Tokens_.heapBytes() + Data.Effects_.capacity();
  Bytes += Data.Chain_.Stages_.capacity() * sizeof(ChainStage);
  Bytes += Data.Excluded_.capacity() * sizeof(EndpointId);
  return Bytes;
}

} // namespace rattancart
