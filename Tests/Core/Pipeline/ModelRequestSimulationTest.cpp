#include "Tests/Core/Pipeline/ModelRequestSimulation.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <ostream>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

struct ScheduleCounts {
  int Finished_ = 0;
  int Failed_ = 0;
  int Stopped_ = 0;
  int Replanned_ = 0;
  std::uint64_t StaleSteps_ = 0;
};

std::string runSchedule(std::uint64_t Seed, InjectedFault Fault, ScheduleCounts &Count) {
  ModelRequestSimulation Simulation(Seed, Fault);
  Simulation.run(150);
  for (const SimulatedRequest &Each : Simulation.requests()) {
    Count.Finished_ += Each.EndedComplete_;
    Count.Failed_ += Each.Failed_ && !Each.Stopped_;
    Count.Stopped_ += Each.Stopped_;
    Count.Replanned_ += Each.EndedComplete_ && Each.Machine_.attempt().value() > 1;
    Count.StaleSteps_ += Each.Machine_.staleSteps();
  }
  return Simulation.check();
}

/// The number of schedules to run; the environment variable RATTANCART_SCHEDULES overrides it.
int scheduleCount() {
  const char *Wanted = std::getenv("RATTANCART_SCHEDULES");
  return Wanted ? std::atoi(Wanted) : 4000;
}

struct InjectedFaultCase {
  InjectedFault Fault_;
  const char *Name_;
};
std::ostream &operator<<(std::ostream &Out, const InjectedFaultCase &Case) {
  return Out << Case.Name_;
}

const InjectedFaultCase InjectedFaultCases[] = {
    {InjectedFault::AttemptNotChecked, "attempt not checked"},
    {InjectedFault::PositionNotChecked, "position not checked"},
    {InjectedFault::RequestNotChecked, "request not checked"},
    {InjectedFault::NoReplay, "no replay of produced tokens"},
    {InjectedFault::CutAnswerEndedAsComplete, "cut answer ended as complete"},
    {InjectedFault::VersionsMixed, "versions mixed"},
    {InjectedFault::RepeatRunAgain, "repeated step run again"},
    {InjectedFault::IncarnationNotChecked, "incarnation not checked"},
    {InjectedFault::LeavingNotChecked, "leaving not checked when sent"},
};

} // namespace

BOOST_AUTO_TEST_CASE(AnswersAreCompleteAndLayersRunOnce) {
  ScheduleCounts Count;
  const int Schedules = scheduleCount();
  for (int Seed = 1; Seed <= Schedules; ++Seed) {
    const std::string Violation =
        runSchedule(static_cast<std::uint64_t>(Seed), InjectedFault::None, Count);
    BOOST_TEST_REQUIRE(Violation.empty(), "seed " << Seed << ": " << Violation);
  }
  BOOST_TEST_MESSAGE("schedules " << Schedules << " finished " << Count.Finished_ << " replanned "
                                  << Count.Replanned_ << " failed " << Count.Failed_ << " stopped "
                                  << Count.Stopped_ << " stale " << Count.StaleSteps_);
  // The test proves something only if its schedules reach all these cases.
  BOOST_TEST(Count.Replanned_ > Schedules / 4);
  BOOST_TEST(Count.Failed_ > 0);
  BOOST_TEST(Count.Stopped_ > 0);
  BOOST_TEST(Count.StaleSteps_ > static_cast<std::uint64_t>(Schedules));
}

BOOST_DATA_TEST_CASE(InjectedFaultIsDetected, data::make(InjectedFaultCases), Case) {
  ScheduleCounts Count;
  std::string Violation;
  int Seed = 0;
  while (Violation.empty() && Seed < 2000)
    Violation = runSchedule(static_cast<std::uint64_t>(++Seed), Case.Fault_, Count);
  BOOST_TEST(!Violation.empty());
  BOOST_TEST_MESSAGE(Case.Name_ << ", seed " << Seed << ": " << Violation);
}
