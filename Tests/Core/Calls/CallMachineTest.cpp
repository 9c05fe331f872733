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

class CountingPermit final : public RetryBudget {
public:
  void onFirstAttempt(const RouteId &, std::uint32_t, TimePoint) override {}
  bool tryConsumeRetry(const RouteId &, TimePoint) override { return Left_-- > 0; }
  int Left_ = 10;
};

/// What the machine wants done, one letter an effect: S send, C claim, A abandon, F finish,
/// R release, X cancel, t arm, and the answer: D done, N not-run, U unknown, > forward as done,
/// ? forward as unknown.
char letter(const CallEffect &Effect) {
  if (const auto *Answer = std::get_if<CallAnswer>(&Effect))
    return Answer->Answer_.Outcome_ == Outcome::Done     ? 'D'
           : Answer->Answer_.Outcome_ == Outcome::NotRun ? 'N'
                                                         : 'U';
  if (const auto *Forward = std::get_if<CallForwardAnswer>(&Effect))
    return Forward->Outcome_ == Outcome::Done ? '>' : '?';
  if (const auto *Finish = std::get_if<CallRecordAnswer>(&Effect))
    return Finish->Status_ == 0 ? 'f' : 'F';
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

enum class Class { Safe, Idempotent, Once, Keyed, Deduplicated };
std::ostream &operator<<(std::ostream &Out, Class Kind) { return Out << static_cast<int>(Kind); }
const Class Classes[] = {Class::Once, Class::Keyed, Class::Safe};

/// Events, one letter each: w won, l lost, i not eligible, r recorded 201, q recorded unknown,
/// u unavailable, o opened, c connect failed, b failed after bytes, 2 answered 201, 4 answered 409,
/// 5 answered 500, e no endpoint, d deadline, g caller gone, P a long pause.
struct Case {
  Class Class_;
  const char *Events_;
  const char *Effects_;
};
std::ostream &operator<<(std::ostream &Out, const Case &C) {
  return Out << static_cast<int>(C.Class_) << ' ' << C.Events_;
}

const Case Cases[] = {
    // Without a key, not-run needs that no byte was handed over.
    {Class::Once, "o2", "tS>"},
    {Class::Once, "o5", "tS?"},
    {Class::Once, "ob", "tSU"},
    {Class::Once, "od", "tSXU"},
    {Class::Once, "og", "tSX"},
    {Class::Once, "co2", "tSS>"},
    {Class::Once, "ccc", "tSSSN"},
    {Class::Once, "e", "tSN"},
    {Class::Once, "ce", "tSSN"},
    {Class::Once, "d", "tSXN"},
    {Class::Once, "g", "tSX"},
    {Class::Once, "Poc", "tSN"},
    {Class::Once, "b", "tSU"},
    // With a key, only the holder says not-run, and before it releases.
    {Class::Keyed, "wo2", "tCSF>"},
    {Class::Keyed, "wo4", "tCSF>"},
    {Class::Keyed, "wo5", "tCSF?"},
    {Class::Keyed, "wob", "tCSfU"},
    {Class::Keyed, "wod2", "tCSUF"},
    {Class::Keyed, "wodb", "tCSUf"},
    {Class::Keyed, "wog2", "tCSF"},
    {Class::Keyed, "wce", "tCSSNR"},
    {Class::Keyed, "wccc", "tCSSSNR"},
    {Class::Keyed, "we", "tCSNR"},
    {Class::Keyed, "wd", "tCSXNR"},
    {Class::Keyed, "wg", "tCSXR"},
    {Class::Keyed, "wPoc", "tCSNR"},
    {Class::Keyed, "Pw", "tCNR"},
    {Class::Keyed, "d", "tCAU"},
    {Class::Keyed, "dw", "tCAU"},
    {Class::Keyed, "g", "tCA"},
    {Class::Keyed, "u", "tCAU"},
    {Class::Keyed, "i", "tCU"},
    {Class::Keyed, "r", "tCD"},
    {Class::Keyed, "q", "tCU"},
    {Class::Keyed, "lr", "tCD"},
    {Class::Keyed, "lq", "tCU"},
    {Class::Keyed, "li", "tCU"},
    {Class::Keyed, "ld", "tCAU"},
    {Class::Keyed, "lg", "tCA"},
    {Class::Keyed, "lud", "tCAU"},
    {Class::Keyed, "lwd", "tCAU"},
    // An endpoint that deduplicates is called without a claim, and again.
    {Class::Deduplicated, "o2", "tS>"},
    {Class::Deduplicated, "obo2", "tSS>"},
    {Class::Deduplicated, "o5o2", "tSS>"},
    {Class::Deduplicated, "obobob", "tSSSU"},
    {Class::Deduplicated, "e", "tSU"},
    {Class::Deduplicated, "ccc", "tSSSU"},
    // Safe and idempotent calls are repeated.
    {Class::Safe, "o2", "tS>"},
    {Class::Safe, "obo2", "tSS>"},
    {Class::Idempotent, "o5o2", "tSS>"},
    {Class::Idempotent, "o5o5o5", "tSSS?"},
    {Class::Idempotent, "obe", "tSSU"},
    {Class::Safe, "ccc", "tSSSN"},
    {Class::Safe, "od", "tSXU"},
};

struct Fixture {
  explicit Fixture(Class Kind) : Machine_(plan(Kind), Permit_) {}

  CallParameters plan(Class Kind) {
    CallParameters Plan;
    Plan.Safety_ = Kind == Class::Safe         ? CallSafety::Safe
                   : Kind == Class::Idempotent ? CallSafety::Idempotent
                                               : CallSafety::AtMostOnce;
    Plan.HasKey_ = Kind == Class::Keyed || Kind == Class::Deduplicated;
    Plan.Deduplicates_ = Kind == Class::Deduplicated;
    Plan.Deadline_ = Time_.now() + std::chrono::seconds(30);
    return Plan;
  }

  void take(const CallEffects &Effects) {
    for (const CallEffect &Effect : Effects)
      Seen_ += letter(Effect);
  }
  void onClaimReply(ClaimOutcome::State State, std::uint32_t Status = 0) {
    ClaimOutcome Outcome;
    Outcome.State_ = State;
    Outcome.Status_ = Status;
    take(Machine_.onClaimReply(Outcome, Time_.now()));
  }
  void claimEvent(char Event) {
    switch (Event) {
    case 'w':
      return onClaimReply(ClaimOutcome::State::Won);
    case 'l':
      return onClaimReply(ClaimOutcome::State::Lost);
    case 'i':
      return onClaimReply(ClaimOutcome::State::NotEligible);
    case 'r':
      return onClaimReply(ClaimOutcome::State::Done, 201);
    case 'q':
      return onClaimReply(ClaimOutcome::State::Done, 0);
    default:
      return onClaimReply(ClaimOutcome::State::Unavailable);
    }
  }
  void event(char Event) {
    const TimePoint Now = Time_.now();
    switch (Event) {
    case 'o':
      Opened_ = Machine_.onConnectionOpened(Now, true);
      return;
    case 'c':
      return take(Machine_.onSendFailed({ErrorCode::ConnectFailed, false}, Now));
    case 'b':
      return take(Machine_.onSendFailed({ErrorCode::ConnectionClosed, true}, Now));
    case '2':
      return take(Machine_.onEndpointAnswer(201, "b", Now));
    case '4':
      return take(Machine_.onEndpointAnswer(409, "b", Now));
    case '5':
      return take(Machine_.onEndpointAnswer(500, "b", Now));
    case 'e':
      return take(Machine_.onNoEndpoint());
    case 'd':
      return take(Machine_.onDeadlinePassed());
    case 'g':
      return take(Machine_.onCallerGone());
    case 'P':
      Time_.advance(std::chrono::hours(1));
      return;
    default:
      return claimEvent(Event);
    }
  }

  ManualClock Time_;
  CountingPermit Permit_;
  CallMachine Machine_;
  std::string Seen_;
  bool Opened_ = false;
};

} // namespace

BOOST_DATA_TEST_CASE(EventsLeadToEffects, data::make(Cases), C) {
  Fixture F(C.Class_);
  F.take(F.Machine_.begin(F.Time_.now()));
  for (const char *Event = C.Events_; *Event; ++Event)
    F.event(*Event);
  BOOST_TEST(F.Seen_ == C.Effects_);
  BOOST_TEST(F.Machine_.isOver());
}

BOOST_AUTO_TEST_CASE(SpentBudgetEndsRepeats) {
  Fixture F(Class::Safe);
  F.Permit_.Left_ = 1;
  F.take(F.Machine_.begin(F.Time_.now()));
  for (const char Event : std::string("obob"))
    F.event(Event);
  BOOST_TEST(F.Seen_ == "tSSU");
}

BOOST_DATA_TEST_CASE(CallThatMustNotRepeatGoesOnAFreshConnection, data::make(Classes), Kind) {
  Fixture F(Kind);
  CallEffects Effects = F.Machine_.begin(F.Time_.now());
  if (Kind == Class::Keyed) {
    ClaimOutcome Won;
    Won.State_ = ClaimOutcome::State::Won;
    Won.Offset_ = LogOffset(7);
    Effects = F.Machine_.onClaimReply(Won, F.Time_.now());
  }
  const auto *Send = std::get_if<CallSend>(&Effects.back());
  BOOST_REQUIRE(Send);
  BOOST_TEST(Send->Fresh_ == (Kind != Class::Safe));
  BOOST_TEST(Send->Fence_.value() == (Kind == Class::Keyed ? 7 : -1));
}

BOOST_AUTO_TEST_CASE(GoneCallerIsNotSentFor) {
  Fixture F(Class::Keyed);
  F.take(F.Machine_.begin(F.Time_.now()));
  F.event('w');
  BOOST_TEST(!F.Machine_.onConnectionOpened(F.Time_.now(), false));
  F.event('c');
  BOOST_TEST(F.Seen_ == "tCSNR");
}
