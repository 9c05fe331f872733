#include "Tests/Support/ChildProcess.h"

#include "Tests/Support/Cluster.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <stdexcept>

using namespace rattancart;

BOOST_AUTO_TEST_CASE(ProgramListensAndExitsOnSigterm) {
  ChildProcess Platform({"rattancart-fake-platform", {}});
  BlockingHttpClient Http;
  BOOST_TEST(Http.get(Platform.address(), "/healthz").Response_.Status_ == 200U);
  Platform.terminate();
  BOOST_TEST(Platform.wait() == 0);
  BOOST_TEST(!Platform.isRunning());
}

BOOST_AUTO_TEST_CASE(KilledProgramReportsItsSignal) {
  ChildProcess Platform({"rattancart-fake-platform", {}});
  Platform.address();
  Platform.kill();
  BOOST_TEST(Platform.wait() == -SIGKILL);
}

BOOST_AUTO_TEST_CASE(PausedProgramAnswersAfterResume) {
  ChildProcess Platform({"rattancart-fake-platform", {}});
  BlockingHttpClient Http;
  const NetAddress Address = Platform.address();
  Platform.pause();
  Http.setResponseTimeout(std::chrono::milliseconds(100));
  BOOST_TEST(bool(Http.get(Address, "/healthz").Error_));
  Platform.resume();
  Http.setResponseTimeout(std::chrono::seconds(30));
  BOOST_TEST(Http.get(Address, "/healthz").Response_.Status_ == 200U);
}

// Guards against a stand-in in the test's own process that can't listen on its port again, since
// the programs that were started meanwhile hold its socket.
BOOST_AUTO_TEST_CASE(PortIsFreeAgainWhileAProgramRunsThatWasStartedMeanwhile) {
  using boost::asio::ip::tcp;
  boost::asio::io_context Loop;
  tcp::acceptor First(Loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  const tcp::endpoint Address = First.local_endpoint();
  ChildProcess Platform({"rattancart-fake-platform", {}});
  Platform.address();
  First.close();
  BOOST_CHECK_NO_THROW(tcp::acceptor(Loop, Address));
}

BOOST_AUTO_TEST_CASE(WrongUsageExitsWithoutListening) {
  BOOST_CHECK_THROW(ChildProcess({"rattancart-fake-engine", {"--layers", "5-2"}}).address(),
                    std::runtime_error);
  BOOST_TEST(runProgram({"rattancart-fake-engine", {"--no-such"}}).ExitCode_ != 0);
  BOOST_TEST(runProgram({"rattancart-fake-engine", {"--help"}}).ExitCode_ == 0);
}

BOOST_AUTO_TEST_CASE(HistoryOfAKilledServiceIsReadable) {
  Cluster Endpoints;
  Endpoints.start({serviceSpec("svc-1", "lift-desk")});
  Endpoints.http().post(Endpoints.address("svc-1"), "/orders", "{}");
  Endpoints.endpoint("svc-1").kill();
  Endpoints.endpoint("svc-1").wait();
  BOOST_TEST(Endpoints.history().find(R"("path":"/orders")") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(TerminatedEndpointLeavesTheInstanceList) {
  Cluster Endpoints;
  Endpoints.start({engineSpec("eng-1", {0, 24}, 48), engineSpec("eng-2", {24, 48}, 48),
                   serviceSpec("svc-1", "lift-desk")});
  Endpoints.endpoint("eng-1").terminate();
  BOOST_TEST(Endpoints.endpoint("eng-1").wait() == 0);
  const auto List = Endpoints.http().getJson(Endpoints.platformAddress(), "/v1/instances");
  BOOST_TEST(List.at("instances").as_array().size() == 2U);
}
