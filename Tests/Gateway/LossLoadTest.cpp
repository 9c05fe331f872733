#include "Tests/Core/Layers/Deployments.h"
#include "Tests/Gateway/SimulatedSite.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

/// The load of a heavy day: streams a second at each data centre.
constexpr double StreamsPerSecond[] = {22.7, 19.5, 22.7};
constexpr Duration Step = 10ms;
constexpr Duration CalmTime = 8s;
constexpr Duration LossTime = 4s;
/// Figures are back to calm this long after the engine's return.
constexpr Duration RecoveryLimit = 5s;
constexpr Duration AfterTime = 8s;

const std::vector<SimulatedSite::Place> Places = {
    {"karratha", {{"h100", 1}, {"a100s", 1}, {"l4", 5}, {"t4", 7}}},
    {"port-hedland", {{"a100s", 1}, {"l4", 8}, {"t4", 3}}},
    {"newman", {{"a100s", 2}, {"l4", 4}, {"t4", 7}}}};

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

using Views = std::vector<std::shared_ptr<CallerView>>;

/// Lets callers come for a time. Each comes back once when it is told when.
void press(SimulatedSite &Site, Duration Span, Views &Seen) {
  for (Duration Passed{}; Passed < Span; Passed += Step) {
    for (std::size_t Place = 0; Place < Places.size(); ++Place) {
      const double Share = StreamsPerSecond[Place] * std::chrono::duration<double>(Step).count();
      if (std::uniform_real_distribution<double>(0, 1)(Site.random()) >= Share)
        continue;
      const double Prompt =
          std::min(2280.0, std::exponential_distribution<double>(1.0 / 730)(Site.random())) + 40;
      const auto Events =
          1 + static_cast<std::uint64_t>(
                  std::min(220.0, std::exponential_distribution<double>(1.0 / 87)(Site.random())));
      Seen.push_back(Site.call(Place, Prompt, Events));
    }
    Site.queue().run(Step);
  }
}

double shareInTime(const Views &Seen) {
  const auto Good =
      std::count_if(Seen.begin(), Seen.end(), [](const auto &Each) { return Each->inTime(); });
  return static_cast<double>(Good) / static_cast<double>(std::max<std::size_t>(1, Seen.size()));
}

} // namespace

BOOST_DATA_TEST_CASE(FiguresAreCalmSoonAfterALostEngineIsBack, LossCases, Case) {
  LayeredModel Model = makeModel(80);
  Model.StepPerSequence_ = std::chrono::nanoseconds(3820);
  SimulatedSite Site(/*Seed=*/7, Model, Places);
  Site.settle();
  Views Before;
  Views During;
  Views Recovering;
  Views After;
  press(Site, CalmTime, Before);
  // What the loss itself breaks off is not of the calm time.
  std::erase_if(Before, [](const auto &Each) { return !Each->ended(); });
  Site.engines().setLife(EndpointId(Case.Engine_), Case.Life_);
  press(Site, LossTime, During);
  Site.engines().setLife(EndpointId(Case.Engine_), EngineLife::Running);
  press(Site, RecoveryLimit, Recovering);
  const std::uint64_t Resumes = Site.resumes();
  const std::size_t Sends = Site.engines().sends();
  press(Site, AfterTime, After);
  Site.queue().run(20s);
  BOOST_TEST_MESSAGE(Case << ": in time " << shareInTime(Before) << ", " << shareInTime(During)
                          << ", " << shareInTime(Recovering) << ", " << shareInTime(After)
                          << ", resumes " << Resumes);
  BOOST_TEST(shareInTime(Before) >= 0.99);
  BOOST_TEST(shareInTime(After) >= 0.99);
  // Nothing keeps itself going: each request is sent once.
  BOOST_TEST(Site.resumes() == Resumes);
  BOOST_TEST(static_cast<double>(Site.engines().sends() - Sends) <=
             1.02 * static_cast<double>(After.size()) + 2);
  BOOST_TEST(Site.inFlight() == 0U);
  for (const Views *Some : {&During, &Recovering, &After})
    for (const auto &Each : *Some)
      BOOST_TEST(Each->ended(), Each->Id_);
}
