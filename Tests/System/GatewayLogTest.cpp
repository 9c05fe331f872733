#include "Tests/System/GatewayDeployment.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <ostream>
#include <sstream>

using namespace rattancart;
using RunState = FakeLayerEngine::RunState;

namespace {

/// Returns the lines of a log that contain each of Parts.
std::vector<std::string> linesContaining(const std::string &Log,
                                         const std::vector<std::string> &Parts) {
  std::vector<std::string> Found;
  std::istringstream In(Log);
  for (std::string Line; std::getline(In, Line);)
    if (std::all_of(Parts.begin(), Parts.end(),
                    [&](const std::string &Part) { return Line.find(Part) != std::string::npos; }))
      Found.push_back(Line);
  return Found;
}

/// Returns the value of a field of a line; empty if the line lacks it.
std::string fieldValue(const std::string &Line, const std::string &Name) {
  const std::size_t At = Line.find(" " + Name + "=");
  if (At == std::string::npos)
    return {};
  const std::size_t Begin = At + Name.size() + 2;
  return Line.substr(Begin, Line.find(' ', Begin) - Begin);
}

/// Kills the gateway and returns its standard output.
std::string killAndReadLog(GatewayDeployment &Deployment) {
  Deployment.gateway(0).kill();
  return Deployment.gateway(0).readOutput();
}

} // namespace

// Each test looks for the cause with the id of the request and the log alone, as an on-call
// engineer does.

BOOST_AUTO_TEST_CASE(AStreamThatPausedIsTracedToTheLostEngine) {
  GatewayDeployment Deployment({"east"},
                               {{{"east", {{"h100", 1}, {"l4", 8}}}, {"west", {{"h100", 3}}}}});
  // West has engines but no gateway, so the stream must wait until engines in east hold all layers
  // again.
  auto Answer = Deployment.callAsync(0, "brief-1", "POST", site::BriefPath, 300);
  const std::string First = Deployment.awaitStream();
  const std::string Lost = Deployment.soleHolder("east", First);
  Deployment.site().setEngineRunState(Lost, RunState::Unresponsive);
  Answer.get();
  const std::string Log = killAndReadLog(Deployment);

  const auto Sent = linesContaining(Log, {"name=RequestSent", "id=brief-1"});
  BOOST_REQUIRE(!Sent.empty());
  BOOST_TEST(Sent.front().find(Lost) != std::string::npos);
  // The log names the engine that stopped answering and the order to load its layers elsewhere.
  const auto Silent = linesContaining(Log, {"name=EndpointSilent", "endpoint=" + Lost});
  BOOST_TEST(!Silent.empty());
  const bool Resumed =
      !linesContaining(Log, {"name=StreamResumed", "id=brief-1", "cause=engine_silent"}).empty();
  const bool Cut =
      !linesContaining(Log, {"name=RequestEnded", "id=brief-1", "outcome=cut"}).empty();
  BOOST_TEST((Resumed || Cut));
  BOOST_TEST(!linesContaining(Log, {"name=LayersOrdered", "fills_gap=1"}).empty());
}

BOOST_AUTO_TEST_CASE(ABookingOfUnknownOutcomeIsTracedToItsLostAnswer) {
  GatewayDeployment Deployment({"east"}, {{{"east", {}}}});
  Deployment.site().setDeskFault(DeskFault::LosesAnswer);
  BOOST_TEST(Deployment.call(0, "book-1", "POST", site::BookPath).Response_.Status_ == 502U);
  Deployment.site().setDeskFault(DeskFault::Refuses);
  BOOST_TEST(Deployment.call(0, "book-2", "POST", site::BookPath).Response_.Status_ == 503U);
  const std::string Log = killAndReadLog(Deployment);

  const auto Lost = linesContaining(Log, {"name=SendFailed", "id=book-1"});
  BOOST_REQUIRE(Lost.size() == 1U);
  BOOST_TEST(fieldValue(Lost.front(), "endpoint") == "desk-east");
  BOOST_TEST(fieldValue(Lost.front(), "bytes_sent") == "1");
  BOOST_TEST(fieldValue(Lost.front(), "not_run") == "0");
  const auto Unknown = linesContaining(Log, {"name=RequestRefused", "id=book-1", "status=502"});
  BOOST_REQUIRE(Unknown.size() == 1U);
  BOOST_TEST(fieldValue(Unknown.front(), "error") == "402");

  const auto Shed = linesContaining(Log, {"name=SendFailed", "id=book-2"});
  BOOST_REQUIRE(!Shed.empty());
  BOOST_TEST(fieldValue(Shed.front(), "not_run") == "1");
  const auto Refused = linesContaining(Log, {"name=RequestRefused", "id=book-2", "status=503"});
  BOOST_REQUIRE(Refused.size() == 1U);
  BOOST_TEST(fieldValue(Refused.front(), "error") == "407");
}

BOOST_AUTO_TEST_CASE(ARequestWithoutAPathIsTracedToTheMissingLayers) {
  GatewayDeployment Deployment({"east"}, {{{"east", {{"l4", 8}}}}});
  // The eight engines have just enough memory for the model; seven can't hold it.
  const std::string Lost = Deployment.soleHolder("east", "");
  Deployment.site().setEngineRunState(Lost, RunState::Stopped);
  int Tries = 0;
  std::string Id;
  GatewayDeployment::await(
      [&] {
        Id = fmt::format("brief-{}", ++Tries);
        return Deployment.call(0, Id, "POST", site::BriefPath, 5).Response_.Status_ == 503;
      },
      "a refusal");
  const std::string Log = killAndReadLog(Deployment);
  const auto NoPath = linesContaining(Log, {"name=NoPath", "id=" + Id});
  BOOST_REQUIRE(!NoPath.empty());
  BOOST_TEST(fieldValue(NoPath.front(), "shortage") == "layers");
  const auto Refused = linesContaining(Log, {"name=RequestRefused", "id=" + Id, "status=503"});
  BOOST_REQUIRE(Refused.size() == 1U);
  BOOST_TEST(fieldValue(Refused.front(), "error") == "501");
  BOOST_TEST(fieldValue(Refused.front(), "retry_after_ms") != "0");
  const bool Named = !linesContaining(Log, {"name=EndpointSilent", "endpoint=" + Lost}).empty() ||
                     !linesContaining(Log, {"name=EndpointGone", "endpoint=" + Lost}).empty();
  BOOST_TEST(Named);
}
