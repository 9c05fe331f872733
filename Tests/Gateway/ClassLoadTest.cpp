#include "Tests/Gateway/PeakLoad.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <string>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

/// Three streaming routes to the service, the first of which is the most urgent.
const std::vector<std::string> Hosts = {"first", "second", "third"};

void useThreePriorities(SimulatedSite &Site) {
  ServingConfig Config = Site.config();
  Config.Revision_ = Config.Revision_.next();
  const ServingRoute Base = Config.Routes_.front();
  for (std::uint32_t Class = 0; Class < Hosts.size(); ++Class) {
    ServingRoute Route = Base;
    Route.Id_ = RouteId(Hosts[Class]);
    Route.Host_ = Hosts[Class];
    Route.Priority_ = Class;
    Route.Objective_ = 500ms;
    Route.PauseObjective_ = 200ms;
    Config.Routes_.push_back(Route);
  }
  Site.replaceConfig(std::move(Config));
}

struct Totals {
  int Requests_ = 0;
  int InTime_ = 0;
  int Served_ = 0;
  double inTime() const { return static_cast<double>(InTime_) / std::max(1, Requests_); }
  double served() const { return static_cast<double>(Served_) / std::max(1, Requests_); }
};

} // namespace

// Guards against callers of an urgent class that are late or refused while less urgent ones obtain
// the memory, after a loss of engines under a load that exceeds what is left.
BOOST_AUTO_TEST_CASE(UrgentStreamsAreServedFirstWhileMemoryIsShort) {
  std::map<std::string, Totals> ByHost;
  for (unsigned Seed = 1; Seed <= 3; ++Seed) {
    SimulatedSite Site(Seed, peakModel(), peakDataCenters());
    useThreePriorities(Site);
    Site.runUntilLoaded();
    SiteLoad Load = peakLoad();
    for (double &Each : Load.StreamsPerSecond_)
      Each *= 1.5;
    Load.Hosts_ = Hosts;
    runLoad(Site, Load, 5s);
    for (const char *Lost : {"karratha-h100-0", "newman-a100s-0", "port-hedland-l4-0"})
      Site.engines().setCondition(EndpointId(Lost), EngineCondition::Stopped);
    const CallerViews Seen = runLoad(Site, Load, 10s);
    Site.queue().run(30s);
    BOOST_TEST(Site.inFlight() == 0U);
    for (const auto &Each : Seen) {
      Totals &Of = ByHost[Each->Host_];
      ++Of.Requests_;
      Of.InTime_ += Each->inTime() ? 1 : 0;
      Of.Served_ += Each->Status_ == 200 && Each->Complete_ ? 1 : 0;
      BOOST_TEST(Each->ended(), Each->Id_);
    }
  }
  for (const auto &[Host, Of] : ByHost)
    BOOST_TEST_MESSAGE(Host << ": " << Of.Requests_ << " requests, in time " << Of.inTime()
                            << ", served " << Of.served());
  for (const auto &[Host, Of] : ByHost) {
    BOOST_TEST(ByHost["first"].inTime() >= Of.inTime());
    BOOST_TEST(ByHost["first"].served() >= Of.served() - 0.05);
    BOOST_TEST(Of.served() >= 0.25 * ByHost["first"].served());
  }
  // The load is one of which a part can't be served.
  BOOST_TEST(ByHost["third"].served() < 0.97);
}
