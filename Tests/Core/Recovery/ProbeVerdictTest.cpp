#include "Core/Recovery/ProbeVerdict.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
const EndpointId Engine("e0");
constexpr DetectionOptions On{true};
constexpr DetectionOptions Off{false};

/// Four engines are probed; what is known when the time limit of the first expires.
struct LimitCase {
  const char *Name_;
  DetectionOptions Options_;
  /// Engines that answer 3 ms after the probes were sent.
  int Answering_;
  /// An engine that answers at this time; none if zero.
  Duration LateAnswer_;
  /// How late the timer fires.
  Duration Delay_;
  ProbeOutcome Outcome_;
  std::string_view Reason_;
};
std::ostream &operator<<(std::ostream &Out, const LimitCase &Case) { return Out << Case.Name_; }

const LimitCase LimitCases[] = {
    {"off, nothing received", Off, 0, 0ms, 0ms, ProbeOutcome::Silent, ""},
    {"off, late timer", Off, 0, 0ms, 11ms, ProbeOutcome::Extended, "late_timer"},
    {"nothing received", On, 0, 0ms, 0ms, ProbeOutcome::Extended, "no_reception"},
    {"late timer", On, 3, 0ms, 11ms, ProbeOutcome::Extended, "late_timer"},
    {"timer hardly late", On, 3, 0ms, 10ms, ProbeOutcome::Silent, ""},
    {"three of four unanswered", On, 1, 0ms, 0ms, ProbeOutcome::Extended, "most_unanswered"},
    {"half unanswered", On, 2, 0ms, 0ms, ProbeOutcome::Silent, ""},
    {"one unanswered", On, 3, 0ms, 0ms, ProbeOutcome::Silent, ""},
    // Answers that are queued behind the first one have not been read yet.
    {"received just now", On, 0, 45ms, 0ms, ProbeOutcome::Extended, "no_reception"},
};

/// A report that arrives after a first one of gateway "a", whose delay is half of the longest.
struct SecondReportCase {
  const char *Name_;
  const char *Reporter_;
  bool Refused_;
  Duration After_;
  bool ProbeNow_;
  bool Forward_;
  /// When the engine is probed, from the first report; nothing if it is not.
  std::optional<Duration> DueAt_;
};
std::ostream &operator<<(std::ostream &Out, const SecondReportCase &Case) {
  return Out << Case.Name_;
}

const SecondReportCase SecondReportCases[] = {
    {"the same gateway again", "a", false, 32ms, false, false, 132ms},
    {"another gateway", "b", false, 32ms, false, true, 82ms},
    {"another gateway, late", "b", false, 131ms, false, true, 131500us},
    {"refused", "b", true, 32ms, true, true, std::nullopt},
    {"refused, the same gateway", "a", true, 32ms, true, true, std::nullopt},
};

struct DelayCase {
  const char *Name_;
  std::optional<std::uint32_t> Gateways_;
  double Fraction_;
  std::optional<Duration> Delay_;
};
std::ostream &operator<<(std::ostream &Out, const DelayCase &Case) { return Out << Case.Name_; }

const DelayCase DelayCases[] = {
    {"not counted yet", std::nullopt, 0.5, 76ms},
    {"one gateway", 1, 0.5, 1ms},
    {"Rhannau", 132, 0.5, 132ms},
    {"earliest", 132, 0, 0ms},
    {"many, early", 390, 0.25, 195ms},
    {"many, later than the longest delay", 390, 0.5, std::nullopt},
};

} // namespace

BOOST_DATA_TEST_CASE(AnExpiredLimitIsJudgedByWhatArrivedMeanwhile, LimitCases, Case) {
  ProbeVerdict Verdict(Case.Options_);
  for (int I = 0; I < 4; ++I)
    Verdict.onProbeSent(EndpointId("e" + std::to_string(I)), false, Start);
  const auto Answer = [&](const char *Name, TimePoint Now) {
    Verdict.onReceived(EndpointId(Name), Now);
    Verdict.onProbeEnded(EndpointId(Name), true);
  };
  const char *const Names[] = {"e1", "e2", "e3"};
  for (int I = 0; I < Case.Answering_; ++I)
    Answer(Names[I], Start + 3ms);
  const TimePoint Limit = Verdict.onLastRequest(Engine, Start + 15ms);
  BOOST_TEST((Limit == Start + 50ms));
  if (Case.LateAnswer_ > 0ms)
    Answer("e1", Start + Case.LateAnswer_);
  const ProbeDecision Decision = Verdict.onTimeLimit(Engine, Limit + Case.Delay_);
  BOOST_TEST((Decision.Outcome_ == Case.Outcome_));
  BOOST_TEST(Decision.Reason_ == Case.Reason_);
}

// Guards against probes of engines known to be silent, which would look like most engines being
// unanswered and delay the detection of a further one.
BOOST_AUTO_TEST_CASE(EnginesKnownToBeSilentAreNotCompared) {
  ProbeVerdict Verdict(On);
  for (int I = 1; I < 10; ++I)
    Verdict.onProbeSent(EndpointId("e" + std::to_string(I)), true, Start);
  Verdict.onProbeSent(Engine, false, Start);
  Verdict.onReceived(EndpointId("other"), Start + 3ms);
  const TimePoint Limit = Verdict.onLastRequest(Engine, Start + 15ms);
  BOOST_TEST((Verdict.onTimeLimit(Engine, Limit).Outcome_ == ProbeOutcome::Silent));
}

// Guards against probes that were sent only a moment ago and count as unanswered.
BOOST_AUTO_TEST_CASE(ProbesThatWereJustSentAreNotCompared) {
  ProbeVerdict Verdict(On);
  Verdict.onProbeSent(Engine, false, Start);
  Verdict.onReceived(EndpointId("other"), Start + 3ms);
  const TimePoint Limit = Verdict.onLastRequest(Engine, Start + 15ms);
  for (int I = 1; I < 10; ++I)
    Verdict.onProbeSent(EndpointId("e" + std::to_string(I)), false, Limit - 5ms);
  BOOST_TEST((Verdict.onTimeLimit(Engine, Limit).Outcome_ == ProbeOutcome::Silent));
}

// An event of the probed engine alone does not show that answers of engines get through.
BOOST_AUTO_TEST_CASE(OnlyOtherEndpointsShowThatReceptionWorks) {
  ProbeVerdict Verdict(On);
  Verdict.onProbeSent(Engine, false, Start);
  Verdict.onReceived(Engine, Start + 3ms);
  Verdict.onOtherReceived(Start + 3ms);
  const TimePoint Limit = Verdict.onLastRequest(Engine, Start + 15ms);
  const ProbeDecision First = Verdict.onTimeLimit(Engine, Limit);
  BOOST_TEST((First.Outcome_ == ProbeOutcome::Extended));
  Verdict.onReceived(EndpointId("other"), Start + 60ms);
  BOOST_TEST((Verdict.onTimeLimit(Engine, First.Until_).Outcome_ == ProbeOutcome::Silent));
}

BOOST_DATA_TEST_CASE(ReportedEnginesAreProbedAfterARandomDelay, DelayCases, Case) {
  ProbeVerdict Verdict(On);
  Verdict.setGateways(Case.Gateways_);
  const ReportDecision Decision = Verdict.onReport({Engine, "a", false}, Start, Case.Fraction_);
  BOOST_TEST(!Decision.ProbeNow_);
  BOOST_TEST(Decision.Forward_);
  BOOST_TEST((Decision.Delay_ == Case.Delay_));
  BOOST_TEST(Verdict.nextDueAt().has_value() == Case.Delay_.has_value());
  if (!Case.Delay_)
    return;
  BOOST_TEST(Verdict.takeDue(Start + *Case.Delay_ - 1ns).empty());
  const auto Due = Verdict.takeDue(Start + *Case.Delay_);
  BOOST_TEST_REQUIRE(Due.size() == 1U);
  BOOST_TEST((Due.front().Engine_ == Engine));
  // By it the gateway sees whether the engine was heard since.
  BOOST_TEST((Due.front().ReportedAt_ == Start));
}

BOOST_DATA_TEST_CASE(ASecondReportCountsIfItIsIndependent, SecondReportCases, Case) {
  ProbeVerdict Verdict(On);
  Verdict.setGateways(132);
  Verdict.onReport({Engine, "a", false}, Start, 0.5);
  const ReportDecision Decision =
      Verdict.onReport({Engine, Case.Reporter_, Case.Refused_}, Start + Case.After_, 0.9);
  BOOST_TEST(Decision.ProbeNow_ == Case.ProbeNow_);
  BOOST_TEST(Decision.Forward_ == Case.Forward_);
  BOOST_TEST(Verdict.nextDueAt().has_value() == Case.DueAt_.has_value());
  if (Case.DueAt_)
    BOOST_TEST((*Verdict.nextDueAt() == Start + *Case.DueAt_));
}

// Guards against an owner that passes on the report of each of its gateways to all others.
BOOST_AUTO_TEST_CASE(FurtherReportsOfTheSameSilenceAreNotPassedOn) {
  ProbeVerdict Verdict(On);
  int Forwarded = 0;
  int Probed = 0;
  for (int I = 0; I < 40; ++I) {
    const bool Refused = I >= 20;
    const ReportDecision Decision = Verdict.onReport({Engine, "g" + std::to_string(I), Refused},
                                                     Start + I * std::chrono::milliseconds(2), 0.5);
    Forwarded += Decision.Forward_ ? 1 : 0;
    Probed += Decision.ProbeNow_ ? 1 : 0;
  }
  BOOST_TEST(Forwarded == 3);
  BOOST_TEST(Probed == 1);
  const auto Later = Verdict.onReport({Engine, "g0", false}, Start + 501ms, 0.5);
  BOOST_TEST(Later.Forward_);
  BOOST_TEST(Later.Delay_.has_value());
}

// A stream of this gateway that is silent has the engine probed at once.
BOOST_AUTO_TEST_CASE(AnOwnProbeReplacesADelayedOne) {
  ProbeVerdict Verdict(On);
  Verdict.onReport({Engine, "a", false}, Start, 0.5);
  Verdict.onProbeSent(Engine, false, Start + 10ms);
  BOOST_TEST(!Verdict.nextDueAt());
  const auto Second = Verdict.onReport({Engine, "b", false}, Start + 20ms, 0.5);
  BOOST_TEST(!Second.Delay_);
  BOOST_TEST(!Verdict.nextDueAt());
}

BOOST_AUTO_TEST_CASE(SwitchedOffReportsAndRechecksAreProbedAtOnce) {
  ProbeVerdict Verdict(Off);
  const auto Decision = Verdict.onReport({Engine, "a", false}, Start, 0.9);
  BOOST_TEST(Decision.ProbeNow_);
  BOOST_TEST(Decision.Forward_);
  BOOST_TEST(!Verdict.nextDueAt());
  Verdict.scheduleRecheck(Engine, Start, 0.9);
  BOOST_TEST(Verdict.takeDue(Start).size() == 1U);
  BOOST_TEST(!Verdict.contradictsOwner(Start, Start + 1ms));
}

// Guards against gateways that probe a silent engine at the same moment.
BOOST_AUTO_TEST_CASE(RechecksOfSilentEnginesAreSpread) {
  ProbeVerdict Verdict(On);
  Verdict.setGateways(132);
  Verdict.scheduleRecheck(Engine, Start, 0.5);
  // The next round begins before this probe was sent.
  Verdict.scheduleRecheck(Engine, Start + 50ms, 0.9);
  BOOST_TEST((Verdict.nextDueAt() == Start + 132ms));
  const auto Due = Verdict.takeDue(Start + 132ms);
  BOOST_TEST_REQUIRE(Due.size() == 1U);
  BOOST_TEST(!Due.front().ReportedAt_);
  BOOST_TEST(!Verdict.nextDueAt());
  Verdict.setGateways(390);
  Verdict.scheduleRecheck(Engine, Start + 1s, 0.9);
  BOOST_TEST((Verdict.nextDueAt() == Start + 1300ms));
}

// Guards against the finding of an owner with a congested link, which would take an engine away
// from all gateways of the data centre.
BOOST_AUTO_TEST_CASE(OwnEventsContradictTheOwnersFinding) {
  const ProbeVerdict Verdict(On);
  BOOST_TEST(Verdict.contradictsOwner(Start, Start + 249ms));
  BOOST_TEST(!Verdict.contradictsOwner(Start, Start + 250ms));
  BOOST_TEST(!Verdict.contradictsOwner(TimePoint{}, TimePoint{1ms}));
}
