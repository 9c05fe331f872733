#include "Tests/Core/Pipeline/PipelineWorld.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <ostream>

using namespace rattancart;
namespace data = boost::unit_test::data;

namespace {

struct Tally {
  int Finished_ = 0;
  int Failed_ = 0;
  int Stopped_ = 0;
  int Replanned_ = 0;
  std::uint64_t StaleSteps_ = 0;
};

std::string runSchedule(std::uint64_t Seed, PlantedFault Fault, Tally &Count) {
  PipelineWorld World(Seed, Fault);
  World.run(150);
  for (const WorldRequest &Each : World.requests()) {
    Count.Finished_ += Each.ClosedWhole_;
    Count.Failed_ += Each.Failed_ && !Each.Stopped_;
    Count.Stopped_ += Each.Stopped_;
    Count.Replanned_ += Each.ClosedWhole_ && Each.Machine_.attempt().value() > 1;
    Count.StaleSteps_ += Each.Machine_.staleSteps();
  }
  return World.check();
}

/// Schedules of the run; RATTANCART_SCHEDULES asks for a longer one.
int scheduleCount() {
  const char *Wanted = std::getenv("RATTANCART_SCHEDULES");
  return Wanted ? std::atoi(Wanted) : 4000;
}

struct PlantedCase {
  PlantedFault Fault_;
  const char *Name_;
};
std::ostream &operator<<(std::ostream &Out, const PlantedCase &Case) { return Out << Case.Name_; }

const PlantedCase PlantedCases[] = {
    {PlantedFault::AttemptNotChecked, "attempt not checked"},
    {PlantedFault::PositionNotChecked, "position not checked"},
    {PlantedFault::RequestNotChecked, "request not checked"},
    {PlantedFault::NoReplay, "no replay of produced tokens"},
    {PlantedFault::CutClosedAsWhole, "cut answer closed as whole"},
    {PlantedFault::VersionsMixed, "versions mixed"},
    {PlantedFault::RepeatRunAgain, "repeated step run again"},
    {PlantedFault::IncarnationNotChecked, "incarnation not checked"},
    {PlantedFault::LeavingNotChecked, "leaving not checked when sent"},
};

} // namespace

BOOST_AUTO_TEST_CASE(AnswersAreWholeAndLayersRunOnce) {
  Tally Count;
  const int Schedules = scheduleCount();
  for (int Seed = 1; Seed <= Schedules; ++Seed) {
    const std::string Violation =
        runSchedule(static_cast<std::uint64_t>(Seed), PlantedFault::None, Count);
    BOOST_TEST_REQUIRE(Violation.empty(), "seed " << Seed << ": " << Violation);
  }
  BOOST_TEST_MESSAGE("schedules " << Schedules << " finished " << Count.Finished_ << " replanned "
                                  << Count.Replanned_ << " failed " << Count.Failed_ << " stopped "
                                  << Count.Stopped_ << " stale " << Count.StaleSteps_);
  // The schedules are of use only if they reach the cases that they are meant for.
  BOOST_TEST(Count.Replanned_ > Schedules / 4);
  BOOST_TEST(Count.Failed_ > 0);
  BOOST_TEST(Count.Stopped_ > 0);
  BOOST_TEST(Count.StaleSteps_ > static_cast<std::uint64_t>(Schedules));
}

BOOST_DATA_TEST_CASE(PlantedFaultIsCaught, data::make(PlantedCases), Case) {
  Tally Count;
  std::string Violation;
  int Seed = 0;
  while (Violation.empty() && Seed < 2000)
    Violation = runSchedule(static_cast<std::uint64_t>(++Seed), Case.Fault_, Count);
  BOOST_TEST(!Violation.empty());
  BOOST_TEST_MESSAGE(Case.Name_ << ", seed " << Seed << ": " << Violation);
}
