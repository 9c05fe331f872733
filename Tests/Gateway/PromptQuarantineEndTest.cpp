#include "Tests/Gateway/PromptCrashSchedule.h"

#include <boost/test/data/test_case.hpp>

#include <ostream>

using namespace rattancart;
using namespace rattancart::test;

namespace {

constexpr Duration SoundInterval = 50ms;
/// Covers several quarantines, each longer than the one before.
constexpr Duration RunTime = 5min;

const std::vector<SimulatedSite::DataCenterSetup> NineGateways = {
    {"a", {{"h100", 4}, {"l4", 16}}, 3},
    {"b", {{"h100", 4}, {"l4", 16}}, 3},
    {"c", {{"h100", 4}, {"l4", 16}}, 3},
};

struct EndCase {
  const char *Name_;
  unsigned Seed_;
  /// Time between two requests with the crashing part.
  Duration Interval_;
  double DatagramLoss_;
};

std::ostream &operator<<(std::ostream &Out, const EndCase &Case) { return Out << Case.Name_; }

const EndCase EndCases[] = {
    {"at a high rate", 1, 15ms, 0},
    {"at a high rate, with lost datagrams", 2, 15ms, 0.3},
    {"at a moderate rate", 3, 60ms, 0.1},
};

/// Sends requests to the gateways in turn, each after an interval.
void sendInTurn(SimulatedSite &Site, std::vector<std::shared_ptr<CallerView>> &Views,
                const std::string &Parts, Duration Interval) {
  Site.queue().every(Interval, [&Site, &Views, Parts] {
    Views.push_back(Site.sendRequest(Views.size() % Site.gatewayCount(), 200, 20, Parts));
  });
}

} // namespace

BOOST_DATA_TEST_CASE(EndOfAQuarantineLetsRequestsOfAllGatewaysThrough, EndCases, Case) {
  SimulatedSite Site(Case.Seed_, makeModel(80), NineGateways);
  Site.setDatagramLoss(Case.DatagramLoss_);
  Site.engines().setFirstEventDelay(FirstEventDelay);
  Site.runUntilLoaded();
  Site.engines().setCrashingPart("poison", 3s);
  std::vector<std::shared_ptr<CallerView>> Sound;
  std::vector<std::shared_ptr<CallerView>> Crashing;
  sendInTurn(Site, Sound, "shared", SoundInterval);
  sendInTurn(Site, Crashing, "shared,poison", Case.Interval_);
  Site.queue().run(RunTime);

  const SimulatedEngines &Engines = Site.engines();
  BOOST_TEST_MESSAGE(Case.Name_ << ": " << Engines.crashingPartCrashes().size() << " crashes, "
                                << Engines.crashingPartSends().size() << " sends, "
                                << lateSends(Engines) << " late");
  BOOST_TEST(Engines.crashingPartCrashes().size() >= CrashesUntilKnown);
  BOOST_TEST(lateSends(Engines) <= MaxFurtherSends);
}
