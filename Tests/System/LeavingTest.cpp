#include "Tests/System/CallerPool.h"
#include "Tests/System/Deployment.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <ostream>
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

/// What is wrong while endpoints begin to leave.
struct LeavingCase {
  const char *Name_;
  void (*Before_)(Deployment &);
  void (*After_)(Deployment &);
};

std::ostream &operator<<(std::ostream &Out, const LeavingCase &Case) { return Out << Case.Name_; }

void nothing(Deployment &) {}

void stopPlatform(Deployment &Site) { Site.cluster().setFaults("platform", R"({"down":true})"); }

void killControls(Deployment &Site) {
  for (EntryInstance &Entry : Site.entries())
    Entry.Control_->kill();
}

void pauseRouter(Deployment &Site) { Site.entry(0).Router_->pause(); }

void resumeRouter(Deployment &Site) { Site.entry(0).Router_->resume(); }

const LeavingCase LeavingCases[] = {
    {"no fault", nothing, nothing},
    {"platform down", stopPlatform, nothing},
    // The routers ask the endpoints themselves.
    {"all controls dead", killControls, nothing},
    // A router that was stopped across the change must not act on what it knew before.
    {"router frozen across the change", pauseRouter, resumeRouter},
};

} // namespace

BOOST_DATA_TEST_CASE(LeavingEndpointsGetNoNewWork, boost::unit_test::data::make(LeavingCases),
                     Case) {
  Deployment Site(twoCentres());
  CallerPool Callers = mixedCallers(Site);
  Callers.awaitMore(50);
  Case.Before_(Site);
  leave(Site);
  std::this_thread::sleep_for(LeavingBound + std::chrono::seconds(1));
  Case.After_(Site);
  Callers.awaitMore(100);
  const std::vector<CallerRecord> Records = Callers.stop();
  const std::string Violations = checkHistory(Records, Site.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
  BOOST_TEST(Records.back().Outcome_ == "done", Records.back().Body_);
}
