#include "Tests/Router/ClaimSimulation.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <ostream>
#include <string>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

constexpr int StepsPerSchedule = 700;
constexpr std::uint64_t DefaultSeed = 20260;
constexpr std::uint64_t DefaultSchedules = 4000;
constexpr std::uint64_t SchedulesToCatch = 4000;

/// Reads a number from the environment: RATTANCART_SCHEDULES sets the length of the run,
/// RATTANCART_SEED its first seed.
std::uint64_t setting(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

struct InjectedFaultCase {
  InjectedFault Fault_;
  const char *Name_;
};
std::ostream &operator<<(std::ostream &Out, const InjectedFaultCase &C) { return Out << C.Name_; }

const InjectedFaultCase InjectedFaultCases[] = {
    {InjectedFault::NoPositionRule, "no position rule"},
    {InjectedFault::PositionReadLate, "position read after arrival"},
    {InjectedFault::ReleaseBeforeAnswer, "release before telling"},
    {InjectedFault::LoserClaimsAgain, "a loser claims again"},
    {InjectedFault::NotRunWithoutWin, "not-run without a read win"},
    {InjectedFault::NoForgetFloor, "no floor at forgetting"},
};

} // namespace

BOOST_AUTO_TEST_CASE(NoScheduleRunsAKeyTwiceOrBreaksNotRun) {
  const std::uint64_t Seed = setting("RATTANCART_SEED", DefaultSeed);
  const std::uint64_t Schedules = setting("RATTANCART_SCHEDULES", DefaultSchedules);
  SimulationResult Reached;
  std::uint64_t Ran = 0;
  std::uint64_t Repeated = 0;
  for (std::uint64_t Index = 0; Index < Schedules; ++Index) {
    const SimulationResult Run =
        ClaimSimulation(Seed + Index, InjectedFault::None).run(StepsPerSchedule);
    BOOST_REQUIRE_MESSAGE(Run.Violation_.empty(),
                          "seed " << Seed + Index << ": " << Run.Violation_);
    Ran += Run.HasRun_ ? 1 : 0;
    Repeated += Run.RanAfterNotRun_ ? 1 : 0;
    Reached.AnsweredFromRecord_ |= Run.AnsweredFromRecord_;
    Reached.Forgot_ |= Run.Forgot_;
    Reached.StartedFromSnapshot_ |= Run.StartedFromSnapshot_;
  }
  BOOST_TEST_MESSAGE("seed " << Seed << ", schedules " << Schedules << ", ran " << Ran
                             << ", ran after not-run " << Repeated);
  // The schedules did reach the situations that the test is about.
  BOOST_TEST(Ran > Schedules / 4);
  BOOST_TEST(Repeated > 0U);
  BOOST_TEST(Reached.AnsweredFromRecord_);
  BOOST_TEST(Reached.Forgot_);
  BOOST_TEST(Reached.StartedFromSnapshot_);
}

BOOST_DATA_TEST_CASE(InjectedFaultIsDetected, data::make(InjectedFaultCases), C) {
  std::uint64_t Index = 0;
  std::string Violation;
  for (; Index < SchedulesToCatch && Violation.empty(); ++Index)
    Violation = ClaimSimulation(DefaultSeed + Index, C.Fault_).run(StepsPerSchedule).Violation_;
  BOOST_TEST_MESSAGE(C.Name_ << ": schedule " << Index << ": " << Violation);
  BOOST_TEST(!Violation.empty());
}
