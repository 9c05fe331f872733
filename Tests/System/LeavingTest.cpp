#include "Tests/System/CallerPool.h"
#include "Tests/System/Deployment.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <thread>

using namespace rattancart;

namespace {

/// A few seconds after which a leaving endpoint gets no new work.
constexpr std::chrono::seconds LeavingBound{5};

DeploymentSpec twoCentres() {
  DeploymentSpec Spec;
  Spec.DataCenters_ = {"dc-1", "dc-2"};
  Spec.Endpoints_ = stageEngines(2);
  Spec.Endpoints_.push_back(serviceSpec("desk-1", "lift-desk"));
  Spec.Endpoints_.push_back(serviceSpec("desk-2", "lift-desk"));
  Spec.Settings_ = testSettings();
  return Spec;
}

CallerPool mixedCallers(Deployment &Site) {
  return CallerPool(8, [&Site](std::size_t Index) {
    const NetAddress Router = Site.routers()[Index % 2];
    const std::string Caller = fmt::format("caller-{}", Index);
    if (Index % 3 == 0)
      return answerRequest(Router, Caller, fmt::format("question of {} #4", Caller), false);
    return lookupRequest(Router, Caller);
  });
}

void leave(Deployment &Site) {
  Site.cluster().setFaults("desk-1", R"({"leaving":true})");
  Site.cluster().setFaults("eng-0-1", R"({"leaving":true})");
}

} // namespace

BOOST_AUTO_TEST_CASE(LeavingEndpointsGetNoNewWork) {
  Deployment Site(twoCentres());
  CallerPool Callers = mixedCallers(Site);
  Callers.awaitMore(50);
  leave(Site);
  std::this_thread::sleep_for(LeavingBound + std::chrono::seconds(1));
  Callers.awaitMore(100);
  const std::vector<CallerRecord> Records = Callers.stop();
  const std::string Violations = checkHistory(Records, Site.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
}

BOOST_AUTO_TEST_CASE(LeavingIsSeenWithoutThePlatform) {
  Deployment Site(twoCentres());
  Site.cluster().setFaults("platform", R"({"down":true})");
  CallerPool Callers = mixedCallers(Site);
  Callers.awaitMore(50);
  leave(Site);
  std::this_thread::sleep_for(LeavingBound + std::chrono::seconds(1));
  Callers.awaitMore(100);
  const std::vector<CallerRecord> Records = Callers.stop();
  const std::string Violations = checkHistory(Records, Site.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
}

// All control processes die, so the routers ask the endpoints themselves.
BOOST_AUTO_TEST_CASE(LeavingIsSeenWithoutControls) {
  Deployment Site(twoCentres());
  CallerPool Callers = mixedCallers(Site);
  Callers.awaitMore(50);
  for (EntryInstance &Entry : Site.entries())
    Entry.Control_->kill();
  leave(Site);
  std::this_thread::sleep_for(LeavingBound + std::chrono::seconds(1));
  Callers.awaitMore(100);
  const std::vector<CallerRecord> Records = Callers.stop();
  const std::string Violations = checkHistory(Records, Site.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
  BOOST_TEST(Records.back().Outcome_ == "done");
}

// A router that was stopped across the change must not act on what it knew before.
BOOST_AUTO_TEST_CASE(RouterFrozenAcrossTheChange) {
  Deployment Site(twoCentres());
  CallerPool Callers = mixedCallers(Site);
  Callers.awaitMore(50);
  Site.entry(0).Router_->pause();
  leave(Site);
  std::this_thread::sleep_for(LeavingBound + std::chrono::seconds(1));
  Site.entry(0).Router_->resume();
  Callers.awaitMore(100);
  const std::vector<CallerRecord> Records = Callers.stop();
  const std::string Violations = checkHistory(Records, Site.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
}
