#include "Tests/Router/ClaimWorld.h"

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

/// RATTANCART_SCHEDULES and RATTANCART_SEED make a longer run or another one.
std::uint64_t setting(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

struct FaultCase {
  PlantedFault Fault_;
  const char *Name_;
};
std::ostream &operator<<(std::ostream &Out, const FaultCase &C) { return Out << C.Name_; }

const FaultCase Faults[] = {
    {PlantedFault::NoPositionRule, "no position rule"},
    {PlantedFault::PositionReadLate, "position read after arrival"},
    {PlantedFault::ReleaseBeforeTelling, "release before telling"},
    {PlantedFault::LoserClaimsAgain, "a loser claims again"},
    {PlantedFault::NotRunWithoutWin, "not-run without a read win"},
    {PlantedFault::NoForgetFloor, "no floor at forgetting"},
};

} // namespace

BOOST_AUTO_TEST_CASE(NoScheduleRunsAKeyTwiceOrBreaksNotRun) {
  const std::uint64_t Seed = setting("RATTANCART_SEED", DefaultSeed);
  const std::uint64_t Schedules = setting("RATTANCART_SCHEDULES", DefaultSchedules);
  WorldResult Seen;
  std::uint64_t Ran = 0;
  std::uint64_t Repeated = 0;
  for (std::uint64_t Index = 0; Index < Schedules; ++Index) {
    const WorldResult Each = ClaimWorld(Seed + Index, PlantedFault::None).run(StepsPerSchedule);
    BOOST_REQUIRE_MESSAGE(Each.Violation_.empty(),
                          "seed " << Seed + Index << ": " << Each.Violation_);
    Ran += Each.HasRun_ ? 1 : 0;
    Repeated += Each.RanAfterNotRun_ ? 1 : 0;
    Seen.AnsweredFromRecord_ |= Each.AnsweredFromRecord_;
    Seen.Forgot_ |= Each.Forgot_;
    Seen.StartedFromSnapshot_ |= Each.StartedFromSnapshot_;
  }
  BOOST_TEST_MESSAGE("seed " << Seed << ", schedules " << Schedules << ", ran " << Ran
                             << ", ran after not-run " << Repeated);
  // The schedules reach what they are meant to prove.
  BOOST_TEST(Ran > Schedules / 4);
  BOOST_TEST(Repeated > 0U);
  BOOST_TEST(Seen.AnsweredFromRecord_);
  BOOST_TEST(Seen.Forgot_);
  BOOST_TEST(Seen.StartedFromSnapshot_);
}

BOOST_DATA_TEST_CASE(PlantedFaultIsCaught, data::make(Faults), C) {
  std::uint64_t Index = 0;
  std::string Violation;
  for (; Index < SchedulesToCatch && Violation.empty(); ++Index)
    Violation = ClaimWorld(DefaultSeed + Index, C.Fault_).run(StepsPerSchedule).Violation_;
  BOOST_TEST_MESSAGE(C.Name_ << ": schedule " << Index << ": " << Violation);
  BOOST_TEST(!Violation.empty());
}
