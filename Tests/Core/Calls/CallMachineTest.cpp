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

enum class Class { Safe, Idempotent, Once, Keyed, Deduplicated };
std::ostream &operator<<(std::ostream &Out, Class Kind) { return Out << static_cast<int>(Kind); }
const Class Classes[] = {Class::Once, Class::Keyed, Class::Safe};

/// Each event is a letter: w claim won, l lost, i not eligible, r done with recorded status 201,
/// q done with unknown status, u unavailable; o connection opened, c connect failed, b failed after
/// bytes were sent, 2 answered 201, 4 answered 409, 5 answered 500, e no endpoint, d deadline
/// passed, g caller gone, P one hour passes.
struct Case {
  Class Class_;
  const char *Events_;
  const char *Effects_;
};
std::ostream &operator<<(std::ostream &Out, const Case &C) {
  return Out << static_cast<int>(C.Class_) << ' ' << C.Events_;
}

const Case Cases[] = {
    // Without a key, not-run is answered only if no byte was handed over.
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
    // With a key, only the holder answers not-run, and does so before it releases the key.
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
    // If the endpoints deduplicate, the call is sent without a claim and is retried.
    {Class::Deduplicated, "o2", "tS>"},
    {Class::Deduplicated, "obo2", "tSS>"},
    {Class::Deduplicated, "o5o2", "tSS>"},
    {Class::Deduplicated, "obobob", "tSSSU"},
    {Class::Deduplicated, "e", "tSU"},
    {Class::Deduplicated, "ccc", "tSSSU"},
    // Safe and idempotent calls are retried.
    {Class::Safe, "o2", "tS>"},
    {Class::Safe, "obo2", "tSS>"},
    {Class::Idempotent, "o5o2", "tSS>"},
    {Class::Idempotent, "o5o5o5", "tSSS?"},
    {Class::Idempotent, "obe", "tSSU"},
    {Class::Safe, "ccc", "tSSSN"},
    {Class::Safe, "od", "tSXU"},
};

struct Fixture {
  explicit Fixture(Class Kind) : Machine_(parametersOf(Kind), Budget_) {}

  CallParameters parametersOf(Class Kind) {
    CallParameters Parameters;
    Parameters.Safety_ = Kind == Class::Safe         ? CallSafety::Safe
                         : Kind == Class::Idempotent ? CallSafety::Idempotent
                                                     : CallSafety::AtMostOnce;
    Parameters.HasKey_ = Kind == Class::Keyed || Kind == Class::Deduplicated;
    Parameters.Deduplicates_ = Kind == Class::Deduplicated;
    Parameters.Deadline_ = Time_.now() + std::chrono::seconds(30);
    return Parameters;
  }

  void record(const CallEffects &Effects) {
    for (const CallEffect &Effect : Effects)
      Seen_ += letterOf(Effect);
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
  std::string Seen_;
  bool Opened_ = false;
};

} // namespace

BOOST_DATA_TEST_CASE(EventsLeadToEffects, data::make(Cases), C) {
  Fixture F(C.Class_);
  F.record(F.Machine_.begin(F.Time_.now()));
  for (const char *Event = C.Events_; *Event; ++Event)
    F.event(*Event);
  BOOST_TEST(F.Seen_ == C.Effects_);
  BOOST_TEST(F.Machine_.isOver());
}

BOOST_AUTO_TEST_CASE(CallIsNotRetriedOnceTheBudgetIsSpent) {
  Fixture F(Class::Safe);
  F.Budget_.Left_ = 1;
  F.record(F.Machine_.begin(F.Time_.now()));
  for (const char Event : std::string("obob"))
    F.event(Event);
  BOOST_TEST(F.Seen_ == "tSSU");
}

BOOST_DATA_TEST_CASE(NonRepeatableCallIsSentOnANewConnection, data::make(Classes), Kind) {
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

BOOST_AUTO_TEST_CASE(CallIsNotSentOnceItsCallerIsGone) {
  Fixture F(Class::Keyed);
  F.record(F.Machine_.begin(F.Time_.now()));
  F.event('w');
  BOOST_TEST(!F.Machine_.onConnectionOpened(F.Time_.now(), false));
  F.event('c');
  BOOST_TEST(F.Seen_ == "tCSNR");
}
