#include "Tests/System/CallerPool.h"
#include "Tests/System/Deployment.h"

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>

using namespace rattancart;

namespace {

DeploymentSpec twoChainsSpec() {
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

CallerPool startAnswerCallers(Deployment &TestDeployment, std::size_t Width) {
  return CallerPool(Width, [&TestDeployment](std::size_t Index) {
    const std::string Caller = fmt::format("caller-{}", Index);
    return answerRequest(TestDeployment.routers()[Index % TestDeployment.routers().size()], Caller,
                         fmt::format("question of {} #16", Caller), Index % 2 == 1);
  });
}

} // namespace

// Guards against answers that are lost or wrong when a stage stops answering: in prefill, at the
// first token, within the answer, at the last token. Its history stays readable, so that each run
// of layers can be checked.
BOOST_AUTO_TEST_CASE(StageThatStopsAtAnyPointCostsNoAnswer) {
  Deployment TestDeployment(twoChainsSpec());
  std::string History;
  std::vector<CallerRecord> All;
  for (const char *Stage : {"eng-0-0", "eng-0-1", "eng-0-2"}) {
    for (const int Steps : {0, 1, 8, 15}) {
      TestDeployment.cluster().setFaults(Stage, fmt::format(R"({{"cut_after_steps":{}}})", Steps));
      CallerPool Callers = startAnswerCallers(TestDeployment, 4);
      Callers.awaitMore(8);
      for (CallerRecord &Record : Callers.stop()) {
        BOOST_TEST(Record.Outcome_ == "done", Stage << " after " << Steps << ": " << Record.Body_);
        All.push_back(std::move(Record));
      }
      TestDeployment.cluster().setFaults(Stage, R"({"cut_after_steps":-1,"down":false})");
      TestDeployment.awaitEndpoints(6);
    }
  }
  const std::string Violations = checkHistory(All, TestDeployment.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
}

BOOST_AUTO_TEST_CASE(KilledAndFrozenStagesCostNoAnswer) {
  Deployment TestDeployment(twoChainsSpec());
  CallerPool Callers = startAnswerCallers(TestDeployment, 8);
  Callers.awaitMore(20);
  TestDeployment.cluster().endpoint("eng-0-1").kill();
  Callers.awaitMore(40);
  TestDeployment.cluster().endpoint("eng-1-2").pause();
  Callers.awaitMore(16);
  TestDeployment.cluster().endpoint("eng-1-2").resume();
  Callers.awaitMore(40);
  const std::vector<CallerRecord> Records = Callers.stop();
  BOOST_TEST(countOutcome(Records, "done") == Records.size());
  // Engines write each line of their history at once, so that of the killed one is complete.
  const std::string Violations = checkHistory(Records, TestDeployment.cluster().history());
  BOOST_TEST(Violations.empty(), Violations);
}

// Guards against part of an answer that looks complete, after the only chain of engines is lost.
// Callers must get an error or a cut response.
BOOST_AUTO_TEST_CASE(LossOfTheOnlyChainIsReportedToCallers) {
  DeploymentSpec Spec;
  Spec.Endpoints_ = stageEngines(1, {"--step-us", "2000"});
  Spec.Settings_ = testSettings();
  Deployment TestDeployment(std::move(Spec));
  CallerPool Callers = startAnswerCallers(TestDeployment, 4);
  Callers.awaitMore(8);
  TestDeployment.cluster().endpoint("eng-0-1").kill();
  Callers.awaitMore(12);
  const std::vector<CallerRecord> Records = Callers.stop();
  for (const CallerRecord &Record : Records)
    BOOST_TEST((Record.Status_ == 200 || Record.Status_ >= 500 || Record.Outcome_ == "cut"),
               Record.Status_);
  const std::string Violations = checkAnswers(Records);
  BOOST_TEST(Violations.empty(), Violations);
}
