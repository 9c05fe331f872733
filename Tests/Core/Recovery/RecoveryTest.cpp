#include "Core/Recovery/CircuitBreaker.h"
#include "Core/Recovery/DrainState.h"
#include "Core/Recovery/PauseDetector.h"
#include "Core/Recovery/RouteRetryBudget.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const RouteId Lookup("lookup");
const EndpointId Desk("desk-1");

struct BudgetCase {
  const char *Name_;
  std::uint32_t Percent_;
  int CallsPerSecond_;
  int MinAllowed_;
  int MaxAllowed_;
};

std::ostream &operator<<(std::ostream &Out, const BudgetCase &Case) { return Out << Case.Name_; }

// During one minute, each call requests three retries.
const BudgetCase BudgetCases[] = {
    {"a tenth", 10, 100, 580, 640},
    {"only the fixed number", 0, 100, 15, 25},
    {"slow route depends on the fixed number", 10, 1, 15, 30},
};

/// One letter for each phase of the circuit.
char phaseLetter(CircuitPhase Phase) { return "COH"[static_cast<int>(Phase)]; }

struct CircuitCase {
  /// One character for each step: s reports a success, f a failure; a is a request that passes, d
  /// one that is denied; a digit lets that many seconds pass.
  const char *Steps_;
  const char *Phases_;
};

std::ostream &operator<<(std::ostream &Out, const CircuitCase &Case) { return Out << Case.Steps_; }

const CircuitCase CircuitCases[] = {
    {"aaffsa", "CCCCCC"},         // a success resets the failures
    {"fffd", "CCOO"},             // three consecutive failures open it
    {"fffd1ad", "CCOOOHH"},       // one trial at a time
    {"fff1as1as", "CCOOHHHHC"},   // two trials close it
    {"fff1af1d1a", "CCOOHOOOOH"}, // a failed trial doubles the wait
    {"fffssd", "CCOOOO"},         // late results do not close it
    {"fff1ad9a", "CCOOHHHH"},     // a trial without a result blocks others only for a time
};

} // namespace

BOOST_DATA_TEST_CASE(RetriesStayWithinTheBudget, BudgetCases, Case) {
  RouteRetryBudget Budget;
  ManualClock Time;
  for (int I = 0; I < 60 * Case.CallsPerSecond_; ++I) {
    Budget.onFirstAttempt(Lookup, Case.Percent_, Time.now());
    for (int Retry = 0; Retry < 3; ++Retry)
      Budget.tryConsumeRetry(Lookup, Time.now());
    Time.advance(Duration(1s) / Case.CallsPerSecond_);
  }
  BOOST_TEST(Budget.usage(Lookup).Allowed_ >= static_cast<std::uint64_t>(Case.MinAllowed_));
  BOOST_TEST(Budget.usage(Lookup).Allowed_ <= static_cast<std::uint64_t>(Case.MaxAllowed_));
}

BOOST_DATA_TEST_CASE(CircuitChangesPhasesWithResultsAndTime, CircuitCases, Case) {
  CircuitBreaker Circuit({3, 1s, 30s, 2, 5s});
  ManualClock Time;
  std::string Phases;
  for (const char Step : std::string(Case.Steps_)) {
    if (Step == 's')
      Circuit.succeeded(Time.now());
    else if (Step == 'f')
      Circuit.failed(Time.now());
    else if (Step == 'a' || Step == 'd') {
      BOOST_TEST(Circuit.mayPass(Time.now()) == (Step == 'a'));
      BOOST_TEST(Circuit.tryPass(Time.now()) == (Step == 'a'));
    } else
      Time.advance(std::chrono::seconds(Step - '0'));
    Phases += phaseLetter(Circuit.phase());
  }
  BOOST_TEST(Phases == Case.Phases_);
}

BOOST_AUTO_TEST_CASE(AFailedEndpointGetsFewRequestsAndARecoveredOneIsRemoved) {
  CircuitBreakers Circuits;
  ManualClock Time;
  int Sent = 0;
  for (int I = 0; I < 60000; ++I, Time.advance(1ms)) {
    if (!Circuits.tryPass(Desk, Time.now()))
      continue;
    ++Sent;
    Circuits.failed(Desk, Time.now());
  }
  // Five requests open the circuit; trials follow after 1, 3, 7, 15 and 31 s.
  BOOST_TEST(Sent == 10);
  Time.advance(1min);
  for (int I = 0; I < 2; ++I) {
    BOOST_TEST(Circuits.tryPass(Desk, Time.now()));
    Circuits.succeeded(Desk, Time.now());
  }
  BOOST_TEST(Circuits.size() == 0U);
}

BOOST_AUTO_TEST_CASE(ALongGapBetweenTicksIsAPause) {
  PauseDetector Detector(500ms);
  ManualClock Time;
  BOOST_TEST(!Detector.tick(Time.now()).has_value());
  Time.advance(500ms);
  BOOST_TEST(!Detector.tick(Time.now()).has_value());
  Time.advance(7s);
  BOOST_TEST((Detector.tick(Time.now()) == Duration(7s)));
  BOOST_TEST(!Detector.tick(Time.now()).has_value());
}

namespace {

struct DrainCase {
  const char *Name_;
  /// Seconds after the request for a shutdown, and the number of requests in flight then.
  std::vector<std::pair<int, std::size_t>> Ticks_;
  DrainPhase Phase_;
  std::size_t CutOff_;
};

std::ostream &operator<<(std::ostream &Out, const DrainCase &Case) { return Out << Case.Name_; }

const DrainCase DrainCases[] = {
    {"takes requests while the load balancer may still send", {{1, 0}}, DrainPhase::Announcing, 0},
    {"then takes none", {{2, 3}, {9, 1}}, DrainPhase::Draining, 0},
    {"finishes when idle", {{2, 3}, {9, 0}}, DrainPhase::Finished, 0},
    {"cuts off at the deadline", {{2, 3}, {30, 2}}, DrainPhase::Finished, 2},
};

} // namespace

BOOST_DATA_TEST_CASE(DrainChangesPhasesWithTimeAndRequests, DrainCases, Case) {
  DrainState State({2s, 30s});
  const TimePoint Start{1h};
  State.tick(5, Start);
  BOOST_TEST(State.isReady());
  State.request(5, Start);
  BOOST_TEST(!State.isReady());
  for (const auto &[Second, InFlight] : Case.Ticks_)
    State.tick(InFlight, Start + std::chrono::seconds(Second));
  BOOST_TEST((State.phase() == Case.Phase_));
  BOOST_TEST(State.takesRequests() == (Case.Phase_ == DrainPhase::Announcing));
  BOOST_TEST(State.cutOff() == Case.CutOff_);
}

BOOST_AUTO_TEST_CASE(ASecondShutdownRequestCutsOffAtOnce) {
  DrainState State({2s, 30s});
  State.request(5, TimePoint{1h});
  State.request(4, TimePoint{1h} + 1s);
  BOOST_TEST((State.phase() == DrainPhase::Finished));
  BOOST_TEST(State.cutOff() == 4U);
}
