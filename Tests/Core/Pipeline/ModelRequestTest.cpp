#include "Core/Pipeline/ModelRequest.h"
#include "Core/Common/ErrorCode.h"

#include <boost/test/unit_test.hpp>

#include <string>

using namespace rattancart;

namespace {

Chain sampleChain(std::vector<std::string> Names) {
  Chain Created;
  std::uint32_t At = 0;
  for (const std::string &Name : Names) {
    Created.Stages_.push_back({EndpointId(Name), Incarnation(1), NetAddress("a"), {At, At + 8}});
    At += 8;
  }
  return Created;
}

TokenSequence sampleTokens(int Count) {
  TokenSequence Tokens;
  for (int Index = 0; Index < Count; ++Index)
    Tokens.append("p" + std::to_string(Index));
  return Tokens;
}

struct Fixture {
  Fixture() : Request_(RequestId("r"), sampleTokens(3), {}) { LastEffects_ = Request_.start(); }

  void handleEvent(const ModelEvent &Event) { LastEffects_ = Request_.handle(Event); }
  /// The last effect of type T that the last event led to, or null.
  template <typename T> const T *find() const {
    const T *Found = nullptr;
    for (const ModelEffect &Effect : LastEffects_)
      if (const T *Match = std::get_if<T>(&Effect))
        Found = Match;
    return Found;
  }
  StepAnswered answer(const SendStep &Step, bool IsLast, bool End = false) const {
    StepOutput Output{RequestId("r"),    Step.Call_.Attempt_,   Step.Call_.Position_,
                      Step.Call_.Count_, Step.Stage_.Endpoint_, std::nullopt,
                      std::nullopt};
    if (IsLast)
      Output.Token_ = GeneratedToken{"w" + std::to_string(Request_.producedTokens()), End};
    else
      Output.Tensor_ = TensorRef{"t", NetAddress("a")};
    return {Step.Call_, Output};
  }
  /// Answers the current step at both stages of a chain of two.
  void runToken(bool End = false) {
    handleEvent(answer(*find<SendStep>(), false));
    handleEvent(answer(*find<SendStep>(), true, End));
  }

  ModelRequest Request_;
  std::vector<ModelEffect> LastEffects_;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AnswerIsProducedTokenByToken, Fixture) {
  BOOST_TEST(find<PlanChain>()->Excluded_.empty());
  handleEvent(ChainPlanned{sampleChain({"a", "b"})});
  BOOST_TEST(find<SendStep>()->Call_.Count_ == 3);
  BOOST_TEST(find<SendStep>()->NewWork_);
  BOOST_TEST(Request_.stateName() == "prefilling");
  runToken();
  BOOST_TEST(find<DeliverToken>()->Text_ == "w0");
  BOOST_TEST(Request_.stateName() == "decoding");
  BOOST_TEST(find<SendStep>()->Call_.Position_.value() == 3);
  BOOST_TEST(!find<SendStep>()->NewWork_);
  runToken(true);
  BOOST_TEST(find<DeliverToken>()->Index_ == 1);
  BOOST_TEST(find<FinishAnswer>());
  BOOST_TEST(find<CancelAttempt>()->Stages_.size() == 2);
  BOOST_TEST(Request_.isOver());
}

BOOST_FIXTURE_TEST_CASE(SilentStepIsRetriedOnANewConnectionThenOnAnotherChain, Fixture) {
  handleEvent(ChainPlanned{sampleChain({"a", "b"})});
  runToken();
  handleEvent(StepFailed{find<SendStep>()->Call_, StepFault::Silent});
  BOOST_TEST(find<RetryConnection>());
  BOOST_TEST(find<SendStep>()->FreshConnection_);
  handleEvent(StepFailed{find<SendStep>()->Call_, StepFault::Silent});
  BOOST_TEST(find<SuspectEndpoint>()->Endpoint_.str() == "a");
  BOOST_TEST(find<CancelAttempt>()->Attempt_.value() == 1);
  BOOST_TEST(find<PlanChain>()->Excluded_.size() == 1);
  BOOST_TEST(Request_.stateName() == "replanning");
  handleEvent(ChainPlanned{sampleChain({"c", "b"})});
  // Three prompt tokens and the one that was delivered.
  BOOST_TEST(find<SendStep>()->Call_.Count_ == 4);
  BOOST_TEST(find<SendStep>()->Call_.Attempt_.value() == 2);
  runToken(true);
  BOOST_TEST(find<DeliverToken>()->Index_ == 1);
}

BOOST_FIXTURE_TEST_CASE(EachFaultExcludesOrSuspectsTheRightEndpoint, Fixture) {
  handleEvent(ChainPlanned{sampleChain({"a", "b"})});
  handleEvent(StepFailed{find<SendStep>()->Call_, StepFault::SequenceLost});
  BOOST_TEST(find<PlanChain>()->Excluded_.empty());
  handleEvent(ChainPlanned{sampleChain({"a", "b"})});
  handleEvent(StepFailed{find<SendStep>()->Call_, StepFault::Refused});
  BOOST_TEST(!find<SuspectEndpoint>());
  BOOST_TEST(find<PlanChain>()->Excluded_.size() == 1);
  handleEvent(ChainPlanned{sampleChain({"c", "b"})});
  handleEvent(StepFailed{find<SendStep>()->Call_, StepFault::ConnectFailed});
  BOOST_TEST(find<SuspectEndpoint>());
  handleEvent(ChainPlanned{sampleChain({"d", "b"})});
  handleEvent(EndpointLost{EndpointId("x")});
  BOOST_TEST(LastEffects_.empty());
  handleEvent(StepFailed{Request_.currentCall(), StepFault::ConnectFailed});
  BOOST_TEST((find<FailRequest>()->Error_ == ErrorCode::AttemptsSpent));
}

BOOST_FIXTURE_TEST_CASE(LostEndpointEndsTheAttempt, Fixture) {
  handleEvent(ChainPlanned{sampleChain({"a", "b"})});
  handleEvent(EndpointLost{EndpointId("b")});
  BOOST_TEST(find<PlanChain>()->Excluded_.front().str() == "b");
  BOOST_TEST(find<CancelAttempt>());
}

BOOST_FIXTURE_TEST_CASE(PlanningIsRetriedOnlyAfterAFirstAttempt, Fixture) {
  handleEvent(ChainPlanned{sampleChain({"a", "b"})});
  handleEvent(StepFailed{find<SendStep>()->Call_, StepFault::ConnectFailed});
  handleEvent(ChainUnavailable{});
  const Duration First = find<PlanChain>()->Delay_;
  handleEvent(ChainUnavailable{});
  BOOST_TEST((find<PlanChain>()->Delay_ == 2 * First));
  BOOST_TEST(find<PlanChain>()->Excluded_.empty());

  Fixture FirstAttempt;
  FirstAttempt.handleEvent(ChainUnavailable{});
  BOOST_TEST((FirstAttempt.find<FailRequest>()->Error_ == ErrorCode::NoChain));
}

BOOST_FIXTURE_TEST_CASE(StagesAreCancelledWhenTheRequestEnds, Fixture) {
  handleEvent(ChainPlanned{sampleChain({"a", "b"})});
  handleEvent(CallerGone{});
  BOOST_TEST(find<CancelAttempt>()->Stages_.size() == 2);
  BOOST_TEST(!find<FailRequest>());
  BOOST_TEST(Request_.stateName() == "cancelled");

  Fixture TimedOut;
  TimedOut.handleEvent(ChainPlanned{sampleChain({"a", "b"})});
  TimedOut.handleEvent(DeadlinePassed{});
  BOOST_TEST(TimedOut.find<CancelAttempt>());
  BOOST_TEST((TimedOut.find<FailRequest>()->Error_ == ErrorCode::DeadlineExceeded));
}
