#include "Core/Calls/CallMachine.h"
#include "Core/Common/ErrorCode.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

class FixedRetryBudget final : public RetryBudget {
public:
  void onFirstAttempt(const RouteId &, std::uint32_t, TimePoint) override {}
  bool tryConsumeRetry(const RouteId &, TimePoint) override { return Left_-- > 0; }
  int Left_ = 10;
};

/// The letter of an effect: S send, C claim, A abandon the claim, F record an answer, f record that
/// the answer is unknown, R release the claim, X cancel the send, t arm the deadline, D answer
/// done, N answer not-run, U answer unknown, > forward as done, ? forward as unknown.
char letterOf(const CallEffect &Effect) {
  if (const auto *Answer = std::get_if<CallAnswer>(&Effect))
    return Answer->Answer_.Outcome_ == Outcome::Done     ? 'D'
           : Answer->Answer_.Outcome_ == Outcome::NotRun ? 'N'
                                                         : 'U';
  if (const auto *Forward = std::get_if<CallForwardAnswer>(&Effect))
    return Forward->Outcome_ == Outcome::Done ? '>' : '?';
  if (const auto *Record = std::get_if<CallRecordAnswer>(&Effect))
    return Record->Status_ == 0 ? 'f' : 'F';
  if (std::holds_alternative<CallSend>(Effect))
    return 'S';
  if (std::holds_alternative<CallClaim>(Effect))
    return 'C';
  if (std::holds_alternative<CallAbandonClaim>(Effect))
    return 'A';
  if (std::holds_alternative<CallReleaseClaim>(Effect))
    return 'R';
  return std::holds_alternative<CallCancelSend>(Effect) ? 'X' : 't';
}

enum class CallClass { Safe, Idempotent, Once, Keyed, Deduplicated };
std::ostream &operator<<(std::ostream &Out, CallClass Kind) {
  return Out << static_cast<int>(Kind);
}
const CallClass CallClasses[] = {CallClass::Once, CallClass::Keyed, CallClass::Safe};

/// Each event is a letter: w claim won, l lost, i not eligible, r done with recorded status 201,
/// q done with unknown status, u unavailable; o connection opened, c connect failed, b failed after
/// bytes were sent, 2 answered 201, 4 answered 409, 5 answered 500, e no endpoint, d deadline
/// passed, g caller gone, P one hour passes.
struct Case {
  CallClass CallClass_;
  const char *Events_;
  const char *Effects_;
};
std::ostream &operator<<(std::ostream &Out, const Case &C) {
  return Out << static_cast<int>(C.CallClass_) << ' ' << C.Events_;
}

const Case Cases[] = {
    // Without a key, not-run is answered only if no byte was handed over.
    {CallClass::Once, "o2", "tS>"},
    {CallClass::Once, "o5", "tS?"},
    {CallClass::Once, "ob", "tSU"},
    {CallClass::Once, "od", "tSXU"},
    {CallClass::Once, "og", "tSX"},
    {CallClass::Once, "co2", "tSS>"},
    {CallClass::Once, "ccc", "tSSSN"},
    {CallClass::Once, "e", "tSN"},
    {CallClass::Once, "ce", "tSSN"},
    {CallClass::Once, "d", "tSXN"},
    {CallClass::Once, "g", "tSX"},
    {CallClass::Once, "Poc", "tSN"},
    {CallClass::Once, "b", "tSU"},
    // With a key, only the holder answers not-run, and does so before it releases the key.
    {CallClass::Keyed, "wo2", "tCSF>"},
    {CallClass::Keyed, "wo4", "tCSF>"},
    {CallClass::Keyed, "wo5", "tCSF?"},
    {CallClass::Keyed, "wob", "tCSfU"},
    {CallClass::Keyed, "wod2", "tCSUF"},
    {CallClass::Keyed, "wodb", "tCSUf"},
    {CallClass::Keyed, "wog2", "tCSF"},
    {CallClass::Keyed, "wce", "tCSSNR"},
    {CallClass::Keyed, "wccc", "tCSSSNR"},
    {CallClass::Keyed, "we", "tCSNR"},
    {CallClass::Keyed, "wd", "tCSXNR"},
    {CallClass::Keyed, "wg", "tCSXR"},
    {CallClass::Keyed, "wPoc", "tCSNR"},
    {CallClass::Keyed, "Pw", "tCNR"},
    {CallClass::Keyed, "d", "tCAU"},
    {CallClass::Keyed, "dw", "tCAU"},
    {CallClass::Keyed, "g", "tCA"},
    {CallClass::Keyed, "u", "tCAU"},
    {CallClass::Keyed, "i", "tCU"},
    {CallClass::Keyed, "r", "tCD"},
    {CallClass::Keyed, "q", "tCU"},
    {CallClass::Keyed, "lr", "tCD"},
    {CallClass::Keyed, "lq", "tCU"},
    {CallClass::Keyed, "li", "tCU"},
    {CallClass::Keyed, "ld", "tCAU"},
    {CallClass::Keyed, "lg", "tCA"},
    {CallClass::Keyed, "lud", "tCAU"},
    {CallClass::Keyed, "lwd", "tCAU"},
    // If the endpoints deduplicate, the call is sent without a claim and is retried.
    {CallClass::Deduplicated, "o2", "tS>"},
    {CallClass::Deduplicated, "obo2", "tSS>"},
    {CallClass::Deduplicated, "o5o2", "tSS>"},
    {CallClass::Deduplicated, "obobob", "tSSSU"},
    {CallClass::Deduplicated, "e", "tSU"},
    {CallClass::Deduplicated, "ccc", "tSSSU"},
    // Safe and idempotent calls are retried.
    {CallClass::Safe, "o2", "tS>"},
    {CallClass::Safe, "obo2", "tSS>"},
    {CallClass::Idempotent, "o5o2", "tSS>"},
    {CallClass::Idempotent, "o5o5o5", "tSSS?"},
    {CallClass::Idempotent, "obe", "tSSU"},
    {CallClass::Safe, "ccc", "tSSSN"},
    {CallClass::Safe, "od", "tSXU"},
};

struct Fixture {
  explicit Fixture(CallClass Kind) : Machine_(parametersOf(Kind), Budget_) {}

  CallParameters parametersOf(CallClass Kind) {
    CallParameters Parameters;
    Parameters.Safety_ = Kind == CallClass::Safe         ? CallSafety::Safe
                         : Kind == CallClass::Idempotent ? CallSafety::Idempotent
                                                         : CallSafety::AtMostOnce;
    Parameters.HasKey_ = Kind == CallClass::Keyed || Kind == CallClass::Deduplicated;
    Parameters.Deduplicates_ = Kind == CallClass::Deduplicated;
    Parameters.Deadline_ = Time_.now() + std::chrono::seconds(30);
    return Parameters;
  }

  void record(const CallEffects &Effects) {
    for (const CallEffect &Effect : Effects)
      EffectLetters_ += letterOf(Effect);
  }
  void replyToClaim(ClaimOutcome::State State, std::uint32_t Status = 0) {
    ClaimOutcome Outcome;
    Outcome.State_ = State;
    Outcome.Status_ = Status;
    record(Machine_.onClaimReply(Outcome, Time_.now()));
  }
  void claimEvent(char Event) {
    switch (Event) {
    case 'w':
      return replyToClaim(ClaimOutcome::State::Won);
    case 'l':
      return replyToClaim(ClaimOutcome::State::Lost);
    case 'i':
      return replyToClaim(ClaimOutcome::State::NotEligible);
    case 'r':
      return replyToClaim(ClaimOutcome::State::Done, 201);
    case 'q':
      return replyToClaim(ClaimOutcome::State::Done, 0);
    default:
      return replyToClaim(ClaimOutcome::State::Unavailable);
    }
  }
  void event(char Event) {
    const TimePoint Now = Time_.now();
    switch (Event) {
    case 'o':
      Opened_ = Machine_.onConnectionOpened(Now, true);
      return;
    case 'c':
      return record(Machine_.onSendFailed({ErrorCode::ConnectFailed, false}, Now));
    case 'b':
      return record(Machine_.onSendFailed({ErrorCode::ConnectionClosed, true}, Now));
    case '2':
      return record(Machine_.onEndpointAnswer(201, "b", Now));
    case '4':
      return record(Machine_.onEndpointAnswer(409, "b", Now));
    case '5':
      return record(Machine_.onEndpointAnswer(500, "b", Now));
    case 'e':
      return record(Machine_.onNoEndpoint());
    case 'd':
      return record(Machine_.onDeadlinePassed());
    case 'g':
      return record(Machine_.onCallerGone());
    case 'P':
      Time_.advance(std::chrono::hours(1));
      return;
    default:
      return claimEvent(Event);
    }
  }

  ManualClock Time_;
  FixedRetryBudget Budget_;
  CallMachine Machine_;
  std::string EffectLetters_;
  bool Opened_ = false;
};

} // namespace

BOOST_DATA_TEST_CASE(EventsLeadToEffects, data::make(Cases), C) {
  Fixture F(C.CallClass_);
  F.record(F.Machine_.begin(F.Time_.now()));
  for (const char *Event = C.Events_; *Event; ++Event)
    F.event(*Event);
  BOOST_TEST(F.EffectLetters_ == C.Effects_);
  BOOST_TEST(F.Machine_.isOver());
}

BOOST_AUTO_TEST_CASE(CallIsNotRetriedOnceTheBudgetIsSpent) {
  Fixture F(CallClass::Safe);
  F.Budget_.Left_ = 1;
  F.record(F.Machine_.begin(F.Time_.now()));
  for (const char Event : std::string("obob"))
    F.event(Event);
  BOOST_TEST(F.EffectLetters_ == "tSSU");
}

BOOST_DATA_TEST_CASE(NonRepeatableCallIsSentOnANewConnection, data::make(CallClasses), Kind) {
  Fixture F(Kind);
  CallEffects Effects = F.Machine_.begin(F.Time_.now());
  if (Kind == CallClass::Keyed) {
    ClaimOutcome Won;
    Won.State_ = ClaimOutcome::State::Won;
    Won.Offset_ = LogOffset(7);
    Effects = F.Machine_.onClaimReply(Won, F.Time_.now());
  }
  const auto *Send = std::get_if<CallSend>(&Effects.back());
  BOOST_REQUIRE(Send);
  BOOST_TEST(Send->Fresh_ == (Kind != CallClass::Safe));
  BOOST_TEST(Send->Fence_.value() == (Kind == CallClass::Keyed ? 7 : -1));
}

BOOST_AUTO_TEST_CASE(CallIsNotSentOnceItsCallerIsGone) {
  Fixture F(CallClass::Keyed);
  F.record(F.Machine_.begin(F.Time_.now()));
  F.event('w');
  BOOST_TEST(!F.Machine_.onConnectionOpened(F.Time_.now(), false));
  F.event('c');
  BOOST_TEST(F.EffectLetters_ == "tCSNR");
}
