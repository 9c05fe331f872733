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

/// The front end of the state machine: which event leads from which state to which.
struct LifeDef : public msm::front::state_machine_def<LifeDef> {
  using no_message_queue = int;    // NOLINT
  using no_exception_thrown = int; // NOLINT

  explicit LifeDef(ModelRequestData &Data) : Data_(Data) {}

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
  bool mayPlanAgain(const ChainUnavailable &) { return Data_.mayPlanAgain(); }
  void onNoChainYet(const ChainUnavailable &) { Data_.planAgain(); }
  void onNoChain(const ChainUnavailable &) { Data_.fail(ErrorCode::NoChain); }

  /// An answer of another step that came in place of the one under way: ask again.
  bool isForeign(const StepAnswered &Event) {
    return !Data_.matches(Event) && Data_.isCurrent(Event.Call_) &&
           Data_.maySendAgain(StepFault::Connection);
  }
  void onForeign(const StepAnswered &) {
    Data_.countStale();
    Data_.sendAgain();
  }
  bool isForeignAgain(const StepAnswered &Event) {
    return !Data_.matches(Event) && Data_.isCurrent(Event.Call_) &&
           !Data_.maySendAgain(StepFault::Connection) && Data_.hasAttemptLeft();
  }
  void onForeignAgain(const StepAnswered &Event) {
    Data_.countStale();
    Data_.abandonAttempt(StepFailed{Event.Call_, StepFault::Connection});
    Data_.plan();
  }
  bool isForeignTooOften(const StepAnswered &Event) {
    return !Data_.matches(Event) && Data_.isCurrent(Event.Call_) &&
           !Data_.maySendAgain(StepFault::Connection) && !Data_.hasAttemptLeft();
  }
  void onForeignTooOften(const StepAnswered &) {
    Data_.countStale();
    Data_.fail(ErrorCode::AttemptsSpent);
  }
  bool isStale(const StepAnswered &Event) {
    return !Data_.matches(Event) && !Data_.isCurrent(Event.Call_);
  }
  void onStale(const StepAnswered &) { Data_.countStale(); }

  bool isMiddle(const StepAnswered &Event) { return Data_.matches(Event) && !Data_.isLastStage(); }
  void onMiddle(const StepAnswered &Event) { Data_.sendNextStage(*Event.Output_.Tensor_); }
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
    return Data_.isCurrent(Event.Call_) && Data_.maySendAgain(Event.Fault_);
  }
  void onRetry(const StepFailed &) { Data_.sendAgain(); }
  bool mayReplan(const StepFailed &Event) {
    return Data_.isCurrent(Event.Call_) && !Data_.maySendAgain(Event.Fault_) &&
           Data_.hasAttemptLeft();
  }
  void onReplan(const StepFailed &Event) {
    Data_.abandonAttempt(Event);
    Data_.plan();
  }
  bool mustFail(const StepFailed &Event) {
    return Data_.isCurrent(Event.Call_) && !Data_.maySendAgain(Event.Fault_) &&
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
  // The linter reads the names that Boost.MSM asks for. NOLINTBEGIN
  struct transition_table : boost::mpl::vector<
    //     from        event             to          action                      guard
    a_row< Idle,       Start,            Planning,   &LifeDef::onStart                                  >,
    a_row< Planning,   ChainPlanned,     Prefilling, &LifeDef::onChain                                  >,
    a_row< Planning,   ChainUnavailable, Failed,     &LifeDef::onNoChain                                >,
    a_row< Planning,   DeadlinePassed,   Failed,     &LifeDef::onDeadline                               >,
    a_row< Planning,   CallerGone,       Cancelled,  &LifeDef::onCallerGone                             >,
    a_irow<Planning,   StepAnswered,                 &LifeDef::onStale                                  >,
    a_row< Replanning, ChainPlanned,     Prefilling, &LifeDef::onChain                                  >,
    a_row< Replanning, ChainUnavailable, Failed,     &LifeDef::onNoChain                                >,
      row< Replanning, ChainUnavailable, Replanning, &LifeDef::onNoChainYet,     &LifeDef::mayPlanAgain >,
    a_row< Replanning, DeadlinePassed,   Failed,     &LifeDef::onDeadline                               >,
    a_row< Replanning, CallerGone,       Cancelled,  &LifeDef::onCallerGone                             >,
    a_irow<Replanning, StepAnswered,                 &LifeDef::onStale                                  >,
      irow<Prefilling, StepAnswered,                 &LifeDef::onStale,          &LifeDef::isStale      >,
      irow<Prefilling, StepAnswered,                 &LifeDef::onForeign,        &LifeDef::isForeign    >,
      row< Prefilling, StepAnswered,     Replanning, &LifeDef::onForeignAgain,   &LifeDef::isForeignAgain>,
      row< Prefilling, StepAnswered,     Failed,     &LifeDef::onForeignTooOften,&LifeDef::isForeignTooOften>,
      irow<Prefilling, StepAnswered,                 &LifeDef::onMiddle,         &LifeDef::isMiddle     >,
      row< Prefilling, StepAnswered,     Decoding,   &LifeDef::onToken,          &LifeDef::isToken      >,
      row< Prefilling, StepAnswered,     Finished,   &LifeDef::onEnd,            &LifeDef::isEnd        >,
      irow<Prefilling, StepFailed,                   &LifeDef::onRetry,          &LifeDef::mayRetry     >,
      row< Prefilling, StepFailed,       Replanning, &LifeDef::onReplan,         &LifeDef::mayReplan    >,
      row< Prefilling, StepFailed,       Failed,     &LifeDef::onFailed,         &LifeDef::mustFail     >,
      row< Prefilling, EndpointLost,     Replanning, &LifeDef::onLost,           &LifeDef::mayReplaceLost>,
    a_row< Prefilling, DeadlinePassed,   Failed,     &LifeDef::onDeadline                               >,
    a_row< Prefilling, CallerGone,       Cancelled,  &LifeDef::onCallerGone                             >,
      irow<Decoding,   StepAnswered,                 &LifeDef::onStale,          &LifeDef::isStale      >,
      irow<Decoding,   StepAnswered,                 &LifeDef::onForeign,        &LifeDef::isForeign    >,
      row< Decoding,   StepAnswered,     Replanning, &LifeDef::onForeignAgain,   &LifeDef::isForeignAgain>,
      row< Decoding,   StepAnswered,     Failed,     &LifeDef::onForeignTooOften,&LifeDef::isForeignTooOften>,
      irow<Decoding,   StepAnswered,                 &LifeDef::onMiddle,         &LifeDef::isMiddle     >,
      irow<Decoding,   StepAnswered,                 &LifeDef::onToken,          &LifeDef::isToken      >,
      row< Decoding,   StepAnswered,     Finished,   &LifeDef::onEnd,            &LifeDef::isEnd        >,
      irow<Decoding,   StepFailed,                   &LifeDef::onRetry,          &LifeDef::mayRetry     >,
      row< Decoding,   StepFailed,       Replanning, &LifeDef::onReplan,         &LifeDef::mayReplan    >,
      row< Decoding,   StepFailed,       Failed,     &LifeDef::onFailed,         &LifeDef::mustFail     >,
      row< Decoding,   EndpointLost,     Replanning, &LifeDef::onLost,           &LifeDef::mayReplaceLost>,
    a_row< Decoding,   DeadlinePassed,   Failed,     &LifeDef::onDeadline                               >,
    a_row< Decoding,   CallerGone,       Cancelled,  &LifeDef::onCallerGone                             >
  > {};
  // NOLINTEND
  // clang-format on

  /// An event that does not fit the state has no effect.
  template <typename Fsm, typename Event> void no_transition(const Event &, Fsm &, int) {} // NOLINT

  ModelRequestData &Data_;
};

using Life = msm::back::state_machine<LifeDef>;

} // namespace

class ModelRequest::Impl {
public:
  Impl(RequestId Id, TokenSequence Prompt, ModelRequestOptions Options)
      : Data_(std::move(Id), std::move(Prompt), Options), Life_(std::ref(Data_)) {
    Life_.start();
  }

  template <typename Event> std::vector<ModelEffect> process(const Event &Happened) {
    Life_.process_event(Happened);
    return std::exchange(Data_.Effects_, {});
  }

  ModelRequestData Data_;
  Life Life_;
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
  using Stt = Life::stt;
  const int Now = Impl_->Life_.current_state()[0];
  if (Now == msm::back::get_state_id<Stt, LifeDef::Planning>::value)
    return "planning";
  if (Now == msm::back::get_state_id<Stt, LifeDef::Replanning>::value)
    return "replanning";
  if (Now == msm::back::get_state_id<Stt, LifeDef::Prefilling>::value)
    return "prefilling";
  if (Now == msm::back::get_state_id<Stt, LifeDef::Decoding>::value)
    return "decoding";
  if (Now == msm::back::get_state_id<Stt, LifeDef::Finished>::value)
    return "finished";
  if (Now == msm::back::get_state_id<Stt, LifeDef::Failed>::value)
    return "failed";
  if (Now == msm::back::get_state_id<Stt, LifeDef::Cancelled>::value)
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
