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

/// What is done to the deployment while callers book.
struct FaultCase {
  const char *Name_;
  void (*Inject_)(Deployment &, CallerPool &);
};

std::ostream &operator<<(std::ostream &Out, const FaultCase &Case) { return Out << Case.Name_; }

void none(Deployment &, CallerPool &Callers) { Callers.awaitMore(60); }

void answersLost(Deployment &Site, CallerPool &Callers) {
  Site.cluster().setFaults("platform", R"({"lose_append_answers":20,"streams":["claims"]})");
  Callers.awaitMore(60);
}

void appendsDuplicated(Deployment &Site, CallerPool &Callers) {
  Site.cluster().setFaults("platform", R"({"duplicate_appends":200,"streams":["claims"]})");
  Callers.awaitMore(60);
}

void platformOutage(Deployment &Site, CallerPool &Callers) {
  Site.cluster().setFaults("platform", R"({"down":true})");
  Callers.awaitMore(30);
  Site.cluster().setFaults("platform", R"({"down":false})");
  Callers.awaitMore(30);
}

void slowPlatform(Deployment &Site, CallerPool &Callers) {
  Site.cluster().setFaults("platform", R"({"delay_ms":300})");
  Callers.awaitMore(40);
  Site.cluster().setFaults("platform", R"({"delay_ms":0})");
  Callers.awaitMore(20);
}

void controlKilled(Deployment &Site, CallerPool &Callers) {
  Site.entry(0).Control_->kill();
  Callers.awaitMore(40);
  Site.startControl(Site.entry(0));
  Callers.awaitMore(20);
}

void controlFrozen(Deployment &Site, CallerPool &Callers) {
  Site.entry(1).Control_->pause();
  Callers.awaitMore(30);
  Site.entry(1).Control_->resume();
  Callers.awaitMore(30);
}

void routerKilled(Deployment &Site, CallerPool &Callers) {
  Site.entry(2).Router_->kill();
  Callers.awaitMore(40);
  Site.startRouter(Site.entry(2));
  Callers.awaitMore(40);
}

void routerFrozen(Deployment &Site, CallerPool &Callers) {
  Site.entry(2).Router_->pause();
  std::this_thread::sleep_for(std::chrono::seconds(3));
  Site.entry(2).Router_->resume();
  Callers.awaitMore(40);
}

void serviceFaults(Deployment &Site, CallerPool &Callers) {
  Site.cluster().setFaults("desk-1", R"({"lose_answers":10,"fail_after_percent":20})");
  Site.cluster().setFaults("desk-2", R"({"cut_answers":10,"fail_percent":20})");
  Callers.awaitMore(80);
}

const FaultCase FaultCases[] = {
    {"no fault", none},
    {"append answers lost", answersLost},
    {"appends duplicated", appendsDuplicated},
    {"platform outage", platformOutage},
    {"slow platform", slowPlatform},
    {"control killed", controlKilled},
    {"control frozen", controlFrozen},
    {"router killed", routerKilled},
    {"router frozen", routerFrozen},
    {"service faults", serviceFaults},
};

DeploymentSpec threeCentres() {
  DeploymentSpec Spec;
  Spec.DataCenters_ = {"dc-1", "dc-2", "dc-3"};
  Spec.Endpoints_ = {serviceSpec("desk-1", "lift-desk", {"--delay-ms", "5"}),
                     serviceSpec("desk-2", "lift-desk", {"--delay-ms", "5"})};
  Spec.Settings_ = testSettings();
  return Spec;
}

} // namespace

// Three copies of each booking go through three routers at about the same time, as a balancer or
// an impatient caller would send them. The services' own records are the witness.
BOOST_DATA_TEST_CASE(ABookingRunsAtMostOnce, boost::unit_test::data::make(FaultCases), Case) {
  Deployment Site(threeCentres());
  CallerPool Callers(12, [&](std::size_t Index) {
    return bookingRequest(Site.routers()[Index % 3], fmt::format("caller-{}", Index / 3),
                          fmt::format("key-{}", Index / 3));
  });
  Callers.awaitMore(12);
  Case.Inject_(Site, Callers);
  const std::vector<CallerRecord> Records = Callers.stop();

  const std::string Violations = checkHistory(Records, Site.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
  const auto Done = std::count_if(Records.begin(), Records.end(), [](const CallerRecord &Record) {
    return Record.Outcome_ == "done";
  });
  BOOST_TEST(Done > 0);
  BOOST_TEST_MESSAGE(Case.Name_ << ": " << Done << " of " << Records.size() << " done");
}
