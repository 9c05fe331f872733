#include "Tests/System/CallerPool.h"
#include "Tests/System/Deployment.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <atomic>
#include <thread>

using namespace rattancart;

namespace {

/// For so long the load balancer continues to send requests to a router that shuts down.
constexpr std::chrono::milliseconds BalancerLag{150};

} // namespace

// Each router is replaced in turn while long answers, streams, bookings and lookups are in flight.
BOOST_AUTO_TEST_CASE(GracefulShutdownCutsNothing) {
  DeploymentSpec Spec;
  Spec.DataCenters_ = {"dc-1", "dc-2", "dc-3"};
  Spec.Endpoints_ = stageEngines(1, {"--step-us", "3000"});
  Spec.Endpoints_.push_back(serviceSpec("desk-1", "lift-desk", {"--delay-ms", "40"}));
  Spec.Settings_ = testSettings();
  Deployment TestDeployment(std::move(Spec));
  const std::vector<NetAddress> Routers = TestDeployment.routers();

  std::atomic<std::size_t> LeavingIndex{Routers.size()};
  CallerPool Callers(24, [&](std::size_t Index) {
    std::size_t RouterIndex = Index % Routers.size();
    if (RouterIndex == LeavingIndex)
      RouterIndex = (RouterIndex + 1) % Routers.size();
    const std::string Caller = fmt::format("caller-{}", Index);
    switch (Index % 5) {
    case 0:
      return bookingRequest(Routers[RouterIndex], Caller, fmt::format("key-{}", Index));
    case 1:
      return bookingRequest(Routers[RouterIndex], Caller, "");
    case 2:
      return lookupRequest(Routers[RouterIndex], Caller);
    default:
      return answerRequest(Routers[RouterIndex], Caller, fmt::format("question of {} #24", Caller),
                           Index % 5 == 3);
    }
  });
  Callers.awaitMore(40);
  for (std::size_t Index = 0; Index < Routers.size(); ++Index) {
    RouterControlPair &Pair = TestDeployment.pair(Index);
    Pair.Router_->terminate();
    std::this_thread::sleep_for(BalancerLag);
    LeavingIndex = Index;
    BOOST_TEST(Pair.Router_->wait() == 0);
    TestDeployment.startRouter(Pair);
    TestDeployment.awaitEndpoints(4);
    LeavingIndex = Routers.size();
    Callers.awaitMore(40);
  }
  const std::vector<CallerRecord> Records = Callers.stop();
  for (const CallerRecord &Record : Records)
    BOOST_TEST(Record.Outcome_ == "done", Record.Outcome_ << " " << Record.Body_);
  const std::string Violations = checkHistory(Records, TestDeployment.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
}
