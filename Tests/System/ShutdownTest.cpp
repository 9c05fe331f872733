#include "Tests/System/CallerPool.h"
#include "Tests/System/Deployment.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <atomic>
#include <thread>

using namespace rattancart;

namespace {

/// The balancer goes on sending to a leaving router for this long.
constexpr std::chrono::milliseconds BalancerLag{150};

} // namespace

// Each router is replaced in turn while long answers, streams, bookings and lookups are in flight.
BOOST_AUTO_TEST_CASE(GracefulShutdownCutsNothing) {
  DeploymentSpec Spec;
  Spec.DataCenters_ = {"dc-1", "dc-2", "dc-3"};
  Spec.Endpoints_ = stageEngines(1, {"--step-us", "3000"});
  Spec.Endpoints_.push_back(serviceSpec("desk-1", "lift-desk", {"--delay-ms", "40"}));
  Spec.Settings_ = testSettings();
  Deployment Site(std::move(Spec));
  const std::vector<NetAddress> Routers = Site.routers();

  std::atomic<std::size_t> Leaving{Routers.size()};
  CallerPool Callers(24, [&](std::size_t Index) {
    std::size_t Choice = Index % Routers.size();
    if (Choice == Leaving)
      Choice = (Choice + 1) % Routers.size();
    const std::string Caller = fmt::format("caller-{}", Index);
    switch (Index % 5) {
    case 0:
      return bookingRequest(Routers[Choice], Caller, fmt::format("key-{}", Index));
    case 1:
      return bookingRequest(Routers[Choice], Caller, "");
    case 2:
      return lookupRequest(Routers[Choice], Caller);
    default:
      return answerRequest(Routers[Choice], Caller, fmt::format("question of {} #24", Caller),
                           Index % 5 == 3);
    }
  });
  Callers.awaitMore(40);
  for (std::size_t Index = 0; Index < Routers.size(); ++Index) {
    EntryInstance &Entry = Site.entry(Index);
    Entry.Router_->terminate();
    std::this_thread::sleep_for(BalancerLag);
    Leaving = Index;
    BOOST_TEST(Entry.Router_->wait() == 0);
    Site.startRouter(Entry);
    Site.awaitEndpoints(4);
    Leaving = Routers.size();
    Callers.awaitMore(40);
  }
  const std::vector<CallerRecord> Records = Callers.stop();
  for (const CallerRecord &Record : Records)
    BOOST_TEST(Record.Outcome_ == "done", Record.Outcome_ << " " << Record.Body_);
  const std::string Violations = checkHistory(Records, Site.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
}
