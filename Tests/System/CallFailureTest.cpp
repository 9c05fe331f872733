#include "Tests/System/CallerPool.h"
#include "Tests/System/Deployment.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <ostream>

using namespace rattancart;

namespace {

/// A fault that is injected while callers send bookings.
struct FaultCase {
  const char *Name_;
  void (*Inject_)(Deployment &, CallerPool &);
};

std::ostream &operator<<(std::ostream &Out, const FaultCase &Case) { return Out << Case.Name_; }

void injectNothing(Deployment &, CallerPool &Callers) { Callers.awaitMore(60); }

void loseAppendAnswers(Deployment &TestDeployment, CallerPool &Callers) {
  TestDeployment.cluster().setFaults("platform",
                                     R"({"lose_append_answers":20,"streams":["claims"]})");
  Callers.awaitMore(60);
}

void duplicateAppends(Deployment &TestDeployment, CallerPool &Callers) {
  TestDeployment.cluster().setFaults("platform",
                                     R"({"duplicate_appends":200,"streams":["claims"]})");
  Callers.awaitMore(60);
}

void stopAndRestartPlatform(Deployment &TestDeployment, CallerPool &Callers) {
  TestDeployment.cluster().setFaults("platform", R"({"down":true})");
  Callers.awaitMore(30);
  TestDeployment.cluster().setFaults("platform", R"({"down":false})");
  Callers.awaitMore(30);
}

void delayPlatform(Deployment &TestDeployment, CallerPool &Callers) {
  TestDeployment.cluster().setFaults("platform", R"({"delay_ms":300})");
  Callers.awaitMore(40);
  TestDeployment.cluster().setFaults("platform", R"({"delay_ms":0})");
  Callers.awaitMore(20);
}

void killAndRestartControl(Deployment &TestDeployment, CallerPool &Callers) {
  TestDeployment.pair(0).Control_->kill();
  Callers.awaitMore(40);
  TestDeployment.startControl(TestDeployment.pair(0));
  Callers.awaitMore(20);
}

void freezeControl(Deployment &TestDeployment, CallerPool &Callers) {
  TestDeployment.pair(1).Control_->pause();
  Callers.awaitMore(30);
  TestDeployment.pair(1).Control_->resume();
  Callers.awaitMore(30);
}

void killAndRestartRouter(Deployment &TestDeployment, CallerPool &Callers) {
  TestDeployment.pair(2).Router_->kill();
  Callers.awaitMore(40);
  TestDeployment.startRouter(TestDeployment.pair(2));
  Callers.awaitMore(40);
}

void freezeRouter(Deployment &TestDeployment, CallerPool &Callers) {
  TestDeployment.pair(2).Router_->pause();
  std::this_thread::sleep_for(std::chrono::seconds(3));
  TestDeployment.pair(2).Router_->resume();
  Callers.awaitMore(40);
}

void setServiceFaults(Deployment &TestDeployment, CallerPool &Callers) {
  TestDeployment.cluster().setFaults("desk-1", R"({"lose_answers":10,"fail_after_percent":20})");
  TestDeployment.cluster().setFaults("desk-2", R"({"cut_answers":10,"fail_percent":20})");
  Callers.awaitMore(80);
}

const FaultCase FaultCases[] = {
    {"no fault", injectNothing},
    {"append answers lost", loseAppendAnswers},
    {"appends duplicated", duplicateAppends},
    {"platform outage", stopAndRestartPlatform},
    {"slow platform", delayPlatform},
    {"control killed", killAndRestartControl},
    {"control frozen", freezeControl},
    {"router killed", killAndRestartRouter},
    {"router frozen", freezeRouter},
    {"service faults", setServiceFaults},
};

DeploymentSpec threeDataCenters() {
  DeploymentSpec Spec;
  Spec.DataCenters_ = {"dc-1", "dc-2", "dc-3"};
  Spec.Endpoints_ = {serviceSpec("desk-1", "lift-desk", {"--delay-ms", "5"}),
                     serviceSpec("desk-2", "lift-desk", {"--delay-ms", "5"})};
  Spec.Settings_ = testSettings();
  return Spec;
}

} // namespace

// Guards against a booking that runs twice: three copies of each go through three routers at about
// the same time, as repeats by a load balancer or a caller would. The histories of the services
// show how often each ran.
BOOST_DATA_TEST_CASE(ABookingRunsAtMostOnce, boost::unit_test::data::make(FaultCases), Case) {
  Deployment TestDeployment(threeDataCenters());
  CallerPool Callers(12, [&](std::size_t Index) {
    return bookingRequest(TestDeployment.routers()[Index % 3], fmt::format("caller-{}", Index / 3),
                          fmt::format("key-{}", Index / 3));
  });
  Callers.awaitMore(12);
  Case.Inject_(TestDeployment, Callers);
  const std::vector<CallerRecord> Records = Callers.stop();

  const std::string Violations = checkHistory(Records, TestDeployment.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
  const auto Done = std::count_if(Records.begin(), Records.end(), [](const CallerRecord &Record) {
    return Record.Outcome_ == "done";
  });
  BOOST_TEST(Done > 0);
  BOOST_TEST_MESSAGE(Case.Name_ << ": " << Done << " of " << Records.size() << " done");
}
