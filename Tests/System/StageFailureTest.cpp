#include "Tests/System/CallerPool.h"
#include "Tests/System/Deployment.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>

using namespace rattancart;

namespace {

DeploymentSpec twoChains() {
  DeploymentSpec Spec;
  Spec.Endpoints_ = stageEngines(2, {"--step-us", "2000"});
  Spec.Settings_ = testSettings();
  return Spec;
}

std::size_t countOutcome(const std::vector<CallerRecord> &Records, std::string_view Outcome) {
  return static_cast<std::size_t>(
      std::count_if(Records.begin(), Records.end(),
                    [&](const CallerRecord &Record) { return Record.Outcome_ == Outcome; }));
}

CallerPool answers(Deployment &Site, std::size_t Width) {
  return CallerPool(Width, [&Site](std::size_t Index) {
    const std::string Caller = fmt::format("caller-{}", Index);
    return answerRequest(Site.routers()[Index % Site.routers().size()], Caller,
                         fmt::format("question of {} #16", Caller), Index % 2 == 1);
  });
}

} // namespace

// The stage stops to answer after so many steps: in prefill, at the first token, amid the answer,
// at the last token. Its history stays readable, so each layer run can be checked.
BOOST_AUTO_TEST_CASE(StageStopsAtEachPointOfARequest) {
  Deployment Site(twoChains());
  std::string History;
  std::vector<CallerRecord> All;
  for (const char *Stage : {"eng-0-0", "eng-0-1", "eng-0-2"}) {
    for (const int Steps : {0, 1, 8, 15}) {
      Site.cluster().setFaults(Stage, fmt::format(R"({{"cut_after_steps":{}}})", Steps));
      CallerPool Callers = answers(Site, 4);
      Callers.awaitMore(8);
      for (CallerRecord &Record : Callers.stop()) {
        BOOST_TEST(Record.Outcome_ == "done", Stage << " after " << Steps << ": " << Record.Body_);
        All.push_back(std::move(Record));
      }
      Site.cluster().setFaults(Stage, R"({"cut_after_steps":-1,"down":false})");
      Site.awaitEndpoints(6);
    }
  }
  const std::string Violations = checkHistory(All, Site.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
}

BOOST_AUTO_TEST_CASE(KilledAndFrozenStagesUnderLoad) {
  Deployment Site(twoChains());
  CallerPool Callers = answers(Site, 8);
  Callers.awaitMore(20);
  Site.cluster().endpoint("eng-0-1").kill();
  Callers.awaitMore(40);
  Site.cluster().endpoint("eng-1-2").pause();
  Callers.awaitMore(16);
  Site.cluster().endpoint("eng-1-2").resume();
  Callers.awaitMore(40);
  const std::vector<CallerRecord> Records = Callers.stop();
  BOOST_TEST(countOutcome(Records, "done") == Records.size());
  // The engines write their histories as they go, so the killed one's lines are there, too.
  const std::string Violations = checkHistory(Records, Site.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
}

// No chain is left: callers are told so, and nobody takes a part for a whole answer.
BOOST_AUTO_TEST_CASE(NoChainLeftIsSaid) {
  DeploymentSpec Spec;
  Spec.Endpoints_ = stageEngines(1, {"--step-us", "2000"});
  Spec.Settings_ = testSettings();
  Deployment Site(std::move(Spec));
  CallerPool Callers = answers(Site, 4);
  Callers.awaitMore(8);
  Site.cluster().endpoint("eng-0-1").kill();
  Callers.awaitMore(12);
  const std::vector<CallerRecord> Records = Callers.stop();
  for (const CallerRecord &Record : Records)
    BOOST_TEST((Record.Status_ == 200 || Record.Status_ >= 500 || Record.Outcome_ == "cut"),
               Record.Status_);
  const std::string Violations = checkAnswers(Records);
  BOOST_TEST(Violations.empty(), Violations);
}
