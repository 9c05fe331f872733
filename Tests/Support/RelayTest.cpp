#include "Tests/Support/Relay.h"

#include "Core/Common/ErrorCode.h"
#include "Tests/Support/BlockingHttpClient.h"
#include "Tests/Support/ChildProcess.h"

#include <boost/test/unit_test.hpp>

#include <thread>

using namespace rattancart;

namespace {

struct Fixture {
  std::error_code call() { return Http_.get(Relay_.address(), "/healthz").Error_; }
  /// Calls with a timeout of 100 ms, for calls that are expected to get no response.
  std::error_code callWithShortTimeout() {
    Http_.setResponseTimeout(std::chrono::milliseconds(100));
    const std::error_code Failure = call();
    Http_.setResponseTimeout(std::chrono::seconds(30));
    return Failure;
  }
  ChildProcess Platform_{{"rattancart-fake-platform", {}}};
  Relay Relay_{Platform_.address()};
  BlockingHttpClient Http_;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(RelayPassesRequestsOn, Fixture) {
  BOOST_TEST(!call());
  BOOST_TEST(!call());
  BOOST_TEST(Relay_.stats().Accepted_ == 1U);
  BOOST_TEST(Relay_.stats().BytesToCaller_ > 0U);
}

BOOST_FIXTURE_TEST_CASE(RefusingRelayKeepsOpenConnections, Fixture) {
  BOOST_TEST(!call());
  Relay_.refuse();
  BlockingHttpClient Other;
  BOOST_TEST(Other.get(Relay_.address(), "/healthz").Error_ == ErrorCode::ConnectFailed);
  BOOST_TEST(!call());
  Relay_.forward();
  BOOST_TEST(!Other.get(Relay_.address(), "/healthz").Error_);
}

BOOST_FIXTURE_TEST_CASE(CloseOpenClosesOpenConnections, Fixture) {
  BOOST_TEST(!call());
  Relay_.closeOpen();
  BOOST_TEST(Relay_.stats().Open_ == 0U);
  BOOST_TEST(!call());
  BOOST_TEST(Relay_.stats().Accepted_ == 2U);
}

BOOST_FIXTURE_TEST_CASE(BlackholedConnectionsStayOpenAndNewOnesWork, Fixture) {
  BOOST_TEST(!call());
  Relay_.blackholeOpen();
  BOOST_TEST(callWithShortTimeout() == ErrorCode::ResponseTimeout);
  BOOST_TEST(!call());
  BOOST_TEST(Relay_.stats().BytesDropped_ > 0U);
}

BOOST_FIXTURE_TEST_CASE(NewConnectionsAreBlackholedUntilForward, Fixture) {
  Relay_.blackholeNew(RelayDirection::ToCaller);
  BOOST_TEST(callWithShortTimeout() == ErrorCode::ResponseTimeout);
  // The platform's response may reach the relay later than the call times out.
  while (Relay_.stats().BytesDropped_ == 0)
    std::this_thread::yield();
  Relay_.forward();
  BOOST_TEST(!call());
}
