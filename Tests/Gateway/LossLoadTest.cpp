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
  EngineLife Life_;
};

std::ostream &operator<<(std::ostream &Out, const LossCase &Case) {
  return Out << Case.Engine_ << (Case.Life_ == EngineLife::Dark ? " dark" : " gone");
}

const LossCase LossCases[] = {
    {"karratha-h100-0", EngineLife::Gone},      {"karratha-l4-1", EngineLife::Dark},
    {"port-hedland-a100s-0", EngineLife::Dark}, {"port-hedland-l4-3", EngineLife::Gone},
    {"newman-a100s-1", EngineLife::Gone},       {"newman-t4-2", EngineLife::Dark},
};

} // namespace

BOOST_DATA_TEST_CASE(RequestsAreInTimeAgainSoonAfterALostEngineReturns, LossCases, Case) {
  SimulatedSite Site(/*Seed=*/7, peakModel(), peakDataCenters());
  Site.settle();
  CallerViews Before = press(Site, peakLoad(), NormalTime);
  // Requests that the loss interrupts do not belong to the normal time.
  std::erase_if(Before, [](const auto &Each) { return !Each->ended(); });
  Site.engines().setLife(EndpointId(Case.Engine_), Case.Life_);
  const CallerViews During = press(Site, peakLoad(), LossTime);
  Site.engines().setLife(EndpointId(Case.Engine_), EngineLife::Running);
  const CallerViews Recovering = press(Site, peakLoad(), RecoveryLimit);
  const std::uint64_t Resumes = Site.resumes();
  const std::size_t Sends = Site.engines().sends();
  const CallerViews After = press(Site, peakLoad(), AfterTime);
  Site.queue().run(20s);
  BOOST_TEST_MESSAGE(Case << ": in time " << partInTime(Before) << ", " << partInTime(During)
                          << ", " << partInTime(Recovering) << ", " << partInTime(After)
                          << ", resumes " << Resumes);
  BOOST_TEST(partInTime(Before) >= 0.99);
  BOOST_TEST(partInTime(After) >= 0.99);
  // Resends must not sustain themselves: after the recovery each request is sent once.
  BOOST_TEST(Site.resumes() == Resumes);
  BOOST_TEST(static_cast<double>(Site.engines().sends() - Sends) <=
             1.02 * static_cast<double>(After.size()) + 2);
  BOOST_TEST(Site.inFlight() == 0U);
  for (const CallerViews *Views : {&During, &Recovering, &After})
    for (const auto &Each : *Views)
      BOOST_TEST(Each->ended(), Each->Id_);
}
