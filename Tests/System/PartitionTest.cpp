#include "Tests/System/CallerPool.h"
#include "Tests/System/Deployment.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

using namespace rattancart;

namespace {

std::vector<EndpointSpec> endpointsOf(const std::string &DataCenter) {
  std::vector<EndpointSpec> Specs;
  for (std::uint32_t Stage = 0; Stage < 3; ++Stage)
    Specs.push_back(engineSpec(fmt::format("eng-{}-{}", DataCenter, Stage),
                               {Stage * 16, Stage * 16 + 16}, 48,
                               {"--model", "brief", "--version", "3"}));
  Specs.push_back(serviceSpec("desk-" + DataCenter, "lift-desk"));
  for (EndpointSpec &Spec : Specs)
    Spec.DataCenter_ = DataCenter;
  return Specs;
}

DeploymentSpec twoDataCenters() {
  DeploymentSpec Spec;
  Spec.DataCenters_ = {"dc-1", "dc-2"};
  Spec.Endpoints_ = endpointsOf("dc-1");
  for (EndpointSpec &Other : endpointsOf("dc-2"))
    Spec.Endpoints_.push_back(std::move(Other));
  Spec.Relayed_ = true;
  Spec.Settings_ = testSettings();
  return Spec;
}

/// Pauses or resumes the endpoints of the other data centre. Paused ones don't answer, like
/// endpoints behind a broken link.
void setRemoteEndpointsReachable(Deployment &TestDeployment, bool Reachable) {
  for (const char *Id : {"eng-dc-2-0", "eng-dc-2-1", "eng-dc-2-2", "desk-dc-2"}) {
    ChildProcess &Process = TestDeployment.cluster().endpoint(Id);
    Reachable ? Process.resume() : Process.pause();
  }
}

std::int64_t settingsOffset(Deployment &TestDeployment) {
  const boost::json::value Dump = TestDeployment.state(TestDeployment.pair(0).StateAddress_);
  return Dump.is_object() ? Dump.at("view").at("settings_offset").as_int64() : -1;
}

} // namespace

// Guards against requests that fail without need in a data centre that reaches neither the platform
// nor the other data centre: only bookings need the log, so only their outcome is unknown. It
// must also catch up once new connections work, although no bytes come on the old ones.
BOOST_AUTO_TEST_CASE(CutOffDataCenterServesRequestsThatNeedNoLog) {
  Deployment TestDeployment(twoDataCenters());
  const NetAddress Router = TestDeployment.pair(0).CallerAddress_;
  CallerPool Callers(6, [&](std::size_t Index) {
    const std::string Caller = fmt::format("caller-{}", Index);
    switch (Index % 4) {
    case 0:
      return bookingRequest(Router, Caller, fmt::format("key-{}", Index));
    case 1:
      return lookupRequest(Router, Caller);
    default:
      return answerRequest(Router, Caller, fmt::format("question of {} #6", Caller),
                           Index % 4 == 2);
    }
  });
  Callers.awaitMore(40);
  TestDeployment.isolateFirstPair();
  setRemoteEndpointsReachable(TestDeployment, false);
  Callers.awaitMore(24);
  // Now the router knows that the others are unreachable, so requests that need no log must
  // succeed.
  TestDeployment.await("the router to use only its own endpoints", [&] {
    const boost::json::value Dump = TestDeployment.state(TestDeployment.pair(0).StateAddress_);
    std::size_t Usable = 0;
    for (const boost::json::value &Item : Dump.at("endpoints").as_array())
      Usable += Item.at("may_take_work").as_bool() ? 1 : 0;
    return Usable == 4;
  });
  const std::size_t FinishedBeforeCheck = Callers.finishedCount();
  Callers.awaitMore(80);
  const std::size_t FinishedBeforeReconnect = Callers.finishedCount();

  const ProgramResult Applied =
      runProgram({"rattancartctl",
                  {"--control", TestDeployment.pair(1).AdminAddress_.str(), "--token",
                   Deployment::Token, "drain", "desk-dc-2"}});
  BOOST_TEST(Applied.ExitCode_ == 0, Applied.Output_);
  setRemoteEndpointsReachable(TestDeployment, true);
  TestDeployment.reconnectFirstPair();
  TestDeployment.await("the change made while cut off",
                       [&] { return settingsOffset(TestDeployment) >= 1; });
  TestDeployment.awaitEndpoints(7);
  Callers.awaitMore(40);

  const std::vector<CallerRecord> Records = Callers.stop();
  for (std::size_t Index = FinishedBeforeCheck + 6; Index + 6 < FinishedBeforeReconnect; ++Index) {
    const CallerRecord &Record = Records[Index];
    const std::string Expected = Record.Key_.empty() ? "done" : "unknown";
    BOOST_TEST(Record.Outcome_ == Expected, Record.Key_ << " " << Record.Body_);
  }
  BOOST_TEST(Records.back().Outcome_ == "done", Records.back().Body_);
  const std::string Violations = checkHistory(Records, TestDeployment.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
}
