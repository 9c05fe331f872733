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
  /// Share of the trials whose gateway never learns that it has them.
  double TurnLoss_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const EndCase &Case) { return Out << Case.Name_; }

const EndCase EndCases[] = {
    {"at a high rate", 1, 15ms, 0},
    {"at a high rate, with lost datagrams", 2, 15ms, 0.3},
    {"at a moderate rate", 3, 60ms, 0.1},
    {"most gateways are lost with the trial", 4, 15ms, 0.1, 0.8},
    {"most datagrams are lost", 5, 15ms, 0.7},
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
  Site.setTurnLoss(Case.TurnLoss_);
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
  // Each gateway asks for a trial once at most before it hears of another's.
  BOOST_TEST(Site.turnClaims() <= 4 * Site.gatewayCount());
}

namespace {

struct MendedCase {
  const char *Name_;
  double DatagramLoss_;
  double TurnLoss_;
  /// Time from the last crash within which requests with the part are served again.
  Duration Limit_;
};

std::ostream &operator<<(std::ostream &Out, const MendedCase &Case) { return Out << Case.Name_; }

const MendedCase MendedCases[] = {
    {"calm", 0, 0, 65s},
    {"datagrams are lost", 0.5, 0, 70s},
    {"the first trial is lost with its gateway", 0, 0.7, 5min},
};

} // namespace

// The engines are mended, or the part was suspected by chance.
BOOST_DATA_TEST_CASE(APartThatNoLongerCrashesEnginesStaysRefused, MendedCases, Case) {
  SimulatedSite Site(7, makeModel(80), NineGateways);
  Site.engines().setFirstEventDelay(FirstEventDelay);
  Site.runUntilLoaded();
  Site.engines().setCrashingPart("mended", 3s);
  for (std::size_t Gateway : {0, 4}) {
    Site.sendRequest(Gateway, 200, 20, "shared,mended");
    Site.queue().run(1s);
  }
  BOOST_TEST_REQUIRE(Site.quarantinedParts() > 0U);
  Site.engines().setCrashingPart("no part", 3s);
  Site.setDatagramLoss(Case.DatagramLoss_);
  Site.setTurnLoss(Case.TurnLoss_);
  std::vector<std::shared_ptr<CallerView>> Views;
  sendInTurn(Site, Views, "shared,mended", 200ms);
  Site.queue().run(Case.Limit_);
  const std::size_t Before = Views.size();
  Site.queue().run(10s);
  const std::size_t After = Views.size();
  // The last ones need some time.
  Site.queue().run(2s);
  std::size_t Served = 0;
  for (std::size_t I = Before; I < After; ++I)
    Served += Views[I]->Status_ == 200 ? 1 : 0;
  BOOST_TEST_MESSAGE(Case.Name_ << ": " << Served << " of " << After - Before);
  BOOST_TEST(Served == After - Before);
}
