#include "Tests/System/CallerPool.h"
#include "Tests/System/Deployment.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <set>

using namespace rattancart;

// Guards against answers that reach the wrong caller: many callers send prompts, bookings and
// lookups at once through three data centres.
BOOST_AUTO_TEST_CASE(EveryCallerGetsItsOwnAnswer) {
  DeploymentSpec Spec;
  Spec.DataCenters_ = {"dc-1", "dc-2", "dc-3"};
  Spec.Endpoints_ = stageEngines(2);
  Spec.Endpoints_.push_back(serviceSpec("desk-1", "lift-desk"));
  Spec.Endpoints_.push_back(serviceSpec("desk-2", "lift-desk"));
  Spec.Settings_ = testSettings();
  Deployment TestDeployment(std::move(Spec));

  CallerPool Callers(24, [&](std::size_t Index) {
    const NetAddress Router = TestDeployment.routers()[Index % 3];
    const std::string Caller = fmt::format("caller-{}", Index);
    if (Index % 4 == 2)
      return bookingRequest(Router, Caller, fmt::format("key-{}", Index));
    if (Index % 4 == 3)
      return lookupRequest(Router, Caller);
    return answerRequest(Router, Caller, fmt::format("question of {} #6", Caller), Index % 4 == 1);
  });
  Callers.awaitMore(400);
  const std::vector<CallerRecord> Records = Callers.stop();

  std::set<std::string> Requests;
  for (const CallerRecord &Record : Records) {
    BOOST_TEST(Record.Outcome_ == "done", Record.Outcome_ << " " << Record.Body_);
    BOOST_TEST(Requests.insert(Record.Request_).second);
  }
  const std::string Violations = checkHistory(Records, TestDeployment.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
}
