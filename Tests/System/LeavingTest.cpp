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

/// A leaving endpoint gets no new work after this time.
constexpr std::chrono::seconds LeavingBound{5};

DeploymentSpec twoDataCenters() {
  DeploymentSpec Spec;
  Spec.DataCenters_ = {"dc-1", "dc-2"};
  Spec.Endpoints_ = stageEngines(2);
  Spec.Endpoints_.push_back(serviceSpec("desk-1", "lift-desk"));
  Spec.Endpoints_.push_back(serviceSpec("desk-2", "lift-desk"));
  Spec.Settings_ = testSettings();
  return Spec;
}

CallerPool startMixedCallers(Deployment &TestDeployment) {
  return CallerPool(8, [&TestDeployment](std::size_t Index) {
    const NetAddress Router = TestDeployment.routers()[Index % 2];
    const std::string Caller = fmt::format("caller-{}", Index);
    if (Index % 3 == 0)
      return answerRequest(Router, Caller, fmt::format("question of {} #4", Caller), false);
    return lookupRequest(Router, Caller);
  });
}

void makeEndpointsLeave(Deployment &TestDeployment) {
  TestDeployment.cluster().setFaults("desk-1", R"({"leaving":true})");
  TestDeployment.cluster().setFaults("eng-0-1", R"({"leaving":true})");
}

/// A fault that is present while endpoints begin to leave.
struct LeavingCase {
  const char *Name_;
  void (*Before_)(Deployment &);
  void (*After_)(Deployment &);
};

std::ostream &operator<<(std::ostream &Out, const LeavingCase &Case) { return Out << Case.Name_; }

void doNothing(Deployment &) {}

void stopPlatform(Deployment &TestDeployment) {
  TestDeployment.cluster().setFaults("platform", R"({"down":true})");
}

void killControls(Deployment &TestDeployment) {
  for (RouterControlPair &Pair : TestDeployment.pairs())
    Pair.Control_->kill();
}

void pauseRouter(Deployment &TestDeployment) { TestDeployment.pair(0).Router_->pause(); }

void resumeRouter(Deployment &TestDeployment) { TestDeployment.pair(0).Router_->resume(); }

const LeavingCase LeavingCases[] = {
    {"no fault", doNothing, doNothing},
    {"platform down", stopPlatform, doNothing},
    // The routers learn it from the endpoints themselves.
    {"all controls dead", killControls, doNothing},
    // A router that was stopped during the change must not use what it knew before.
    {"router frozen across the change", pauseRouter, resumeRouter},
};

} // namespace

BOOST_DATA_TEST_CASE(LeavingEndpointsGetNoNewWork, boost::unit_test::data::make(LeavingCases),
                     Case) {
  Deployment TestDeployment(twoDataCenters());
  CallerPool Callers = startMixedCallers(TestDeployment);
  Callers.awaitMore(50);
  Case.Before_(TestDeployment);
  makeEndpointsLeave(TestDeployment);
  std::this_thread::sleep_for(LeavingBound + std::chrono::seconds(1));
  Case.After_(TestDeployment);
  Callers.awaitMore(100);
  const std::vector<CallerRecord> Records = Callers.stop();
  const std::string Violations = checkHistory(Records, TestDeployment.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
  BOOST_TEST(Records.back().Outcome_ == "done", Records.back().Body_);
}
