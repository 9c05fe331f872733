#include "Tests/Gateway/PeakLoad.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

constexpr Duration NormalTime = 8s;
constexpr Duration LossTime = 4s;
/// This long after the engine's return, requests must be in time again.
constexpr Duration RecoveryLimit = 5s;
constexpr Duration AfterTime = 8s;

struct LossCase {
  const char *Engine_;
  EngineCondition Condition_;
};

std::ostream &operator<<(std::ostream &Out, const LossCase &Case) {
  return Out << Case.Engine_
             << (Case.Condition_ == EngineCondition::Unresponsive ? " dark" : " gone");
}

const LossCase LossCases[] = {
    {"karratha-h100-0", EngineCondition::Stopped},
    {"karratha-l4-1", EngineCondition::Unresponsive},
    {"port-hedland-a100s-0", EngineCondition::Unresponsive},
    {"port-hedland-l4-3", EngineCondition::Stopped},
    {"newman-a100s-1", EngineCondition::Stopped},
    {"newman-t4-2", EngineCondition::Unresponsive},
};

} // namespace

// Slow start must neither delay the recovery nor cost requests.
BOOST_DATA_TEST_CASE(RequestsAreInTimeAgainSoonAfterALostEngineReturns,
                     LossCases *boost::unit_test::data::make({false, true}), Case, SlowStart) {
  SimulatedSite Site(/*Seed=*/7, peakModel(), peakDataCenters());
  Site.runUntilLoaded();
  if (SlowStart)
    Site.enableSlowStart({true, 0.125});
  CallerViews Before = runLoad(Site, peakLoad(), NormalTime);
  // Requests that the loss interrupts do not belong to the normal time.
  std::erase_if(Before, [](const auto &Each) { return !Each->ended(); });
  Site.engines().setCondition(EndpointId(Case.Engine_), Case.Condition_);
  const CallerViews During = runLoad(Site, peakLoad(), LossTime);
  Site.engines().setCondition(EndpointId(Case.Engine_), EngineCondition::Running);
  const CallerViews Recovering = runLoad(Site, peakLoad(), RecoveryLimit);
  const std::uint64_t Resumes = Site.resumedStreams();
  const std::size_t Sends = Site.engines().sendCount();
  const CallerViews After = runLoad(Site, peakLoad(), AfterTime);
  Site.queue().run(20s);
  BOOST_TEST_MESSAGE(Case << (SlowStart ? ", slow start" : "") << ": in time "
                          << fractionInTime(Before) << ", " << fractionInTime(During) << ", "
                          << fractionInTime(Recovering) << ", " << fractionInTime(After)
                          << ", resumes " << Resumes << ", sends " << Site.engines().sendCount()
                          << ", slow starts " << Site.slowStarts());
  BOOST_TEST((Site.slowStarts() > 0) == SlowStart);
  BOOST_TEST(fractionInTime(Before) >= 0.99);
  BOOST_TEST(fractionInTime(After) >= 0.99);
  // Resends must not sustain themselves: after the recovery each request is sent once.
  BOOST_TEST(Site.resumedStreams() == Resumes);
  BOOST_TEST(static_cast<double>(Site.engines().sendCount() - Sends) <=
             1.02 * static_cast<double>(After.size()) + 2);
  BOOST_TEST(Site.inFlight() == 0U);
  for (const CallerViews *Views : {&During, &Recovering, &After})
    for (const auto &Each : *Views)
      BOOST_TEST(Each->ended(), Each->Id_);
}
