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

DeploymentSpec twoCentres() {
  DeploymentSpec Spec;
  Spec.DataCenters_ = {"dc-1", "dc-2"};
  Spec.Endpoints_ = endpointsOf("dc-1");
  for (EndpointSpec &Other : endpointsOf("dc-2"))
    Spec.Endpoints_.push_back(std::move(Other));
  Spec.Relayed_ = true;
  Spec.Settings_ = testSettings();
  return Spec;
}

/// The endpoints of the other data centre stop to answer, as behind a cut link.
void setRemote(Deployment &Site, bool Reachable) {
  for (const char *Id : {"eng-dc-2-0", "eng-dc-2-1", "eng-dc-2-2", "desk-dc-2"}) {
    ChildProcess &Process = Site.cluster().endpoint(Id);
    Reachable ? Process.resume() : Process.pause();
  }
}

std::int64_t offsetOf(Deployment &Site) {
  const boost::json::value Dump = Site.state(Site.entry(0).StateAddress_);
  return Dump.is_object() ? Dump.at("view").at("settings_offset").as_int64() : -1;
}

} // namespace

// A data centre that hears neither the platform nor the other data centre goes on with its own
// endpoints; only what needs the log is refused. It catches up once new connections work, while
// those of before stay silent for good.
BOOST_AUTO_TEST_CASE(CutOffDataCenterServesWhatItCan) {
  Deployment Site(twoCentres());
  const NetAddress Router = Site.entry(0).CallerAddress_;
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
  Site.isolate();
  setRemote(Site, false);
  Callers.awaitMore(24);
  // From here on the cut is known, so what does not need the log must be served.
  Site.await("the router to count on its own endpoints", [&] {
    const boost::json::value Dump = Site.state(Site.entry(0).StateAddress_);
    std::size_t Usable = 0;
    for (const boost::json::value &Item : Dump.at("endpoints").as_array())
      Usable += Item.at("may_take_work").as_bool() ? 1 : 0;
    return Usable == 4;
  });
  const std::size_t Known = Callers.finished();
  Callers.awaitMore(80);
  const std::size_t BeforeHeal = Callers.finished();

  const ProgramResult Applied = runProgram({"rattancartctl",
                                            {"--control", Site.entry(1).AdminAddress_.str(),
                                             "--token", Deployment::Token, "drain", "desk-dc-2"}});
  BOOST_TEST(Applied.ExitCode_ == 0, Applied.Output_);
  setRemote(Site, true);
  Site.rejoin();
  Site.await("the change made while cut off", [&] { return offsetOf(Site) >= 1; });
  Site.awaitEndpoints(7);
  Callers.awaitMore(40);

  const std::vector<CallerRecord> Records = Callers.stop();
  for (std::size_t Index = Known + 6; Index + 6 < BeforeHeal; ++Index) {
    const CallerRecord &Record = Records[Index];
    const std::string Expected = Record.Key_.empty() ? "done" : "unknown";
    BOOST_TEST(Record.Outcome_ == Expected, Record.Key_ << " " << Record.Body_);
  }
  BOOST_TEST(Records.back().Outcome_ == "done", Records.back().Body_);
  const std::string Violations = checkHistory(Records, Site.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
}
