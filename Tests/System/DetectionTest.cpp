#include "Tests/System/GatewayDeployment.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
using RunState = FakeLayerEngine::RunState;

namespace {

constexpr int Events = 150;

struct LossCase {
  const char *Name_;
  RunState Life_;
  /// Whether the engine is the one that the gateway sent the request to.
  bool LosesFirst_;
};

std::ostream &operator<<(std::ostream &Out, const LossCase &Case) { return Out << Case.Name_; }

const LossCase LossCases[] = {
    {"the first engine crashes", RunState::Stopped, true},
    {"the first engine falls silent", RunState::Unresponsive, true},
    {"another engine of the path falls silent", RunState::Unresponsive, false},
};

} // namespace

// Guards against a gateway that takes the loss of an engine for its own congestion, and so leaves
// the stream without a path.
BOOST_DATA_TEST_CASE(WithDetectionAStreamResumesAfterTheLossOfAnEngine, LossCases, Case) {
  SiteOptions Options;
  Options.Detection_ = true;
  GatewayDeployment Deployment({"east", "west"}, Options);
  auto Answer = Deployment.callAsync(0, "brief-1", "POST", site::BriefPath, Events);
  const std::string First = Deployment.awaitStream();
  Deployment.site().setEngineRunState(
      Case.LosesFirst_ ? First : Deployment.soleHolder("east", First), Case.Life_);
  const HttpResult Result = Answer.get();
  BOOST_TEST(!Result.Error_);
  BOOST_TEST(Result.Response_.Status_ == 200U);
  BOOST_TEST(consistsOfEvents(Result.Response_.Body_, 1, Events));
  BOOST_TEST(Deployment.site().activity().Executions_["brief-1"].size() == 2U);
  GatewayDeployment::await([&] { return Deployment.site().holdsAllLayers("east"); },
                           "the model to be whole again");
  const ActivityLog Ledger = Deployment.site().activity();
  for (const std::string &Fault : Ledger.ProtocolErrors_)
    BOOST_ERROR(Fault);
}
