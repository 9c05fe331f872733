#include "Gateway/PeerForwarding.h"
#include "Tests/System/GatewayDeployment.h"

#include "Net/HttpClient.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

constexpr int Events = 40;

/// A request as another gateway forwards it.
HttpRequest forwardedRequest(const std::string &Id, const std::string &Key,
                             const std::string &Revision) {
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Target_ = site::BriefPath;
  Request.Body_ = "body";
  Request.Headers_.add("Host", site::Host);
  Request.Headers_.add("X-Attempt-Id", Id);
  Request.Headers_.add("Authorization", "Token " + Key);
  Request.Headers_.add("X-Token-Counts", "700," + std::to_string(Events));
  // What callers must not be able to claim.
  Request.Headers_.add("X-Tenant", "other");
  Request.Headers_.add("X-Request-Priority", "0");
  Request.Headers_.add(std::string(forwarding::Revision), Revision);
  Request.Headers_.add(std::string(forwarding::Sender), "127.0.0.1:1");
  return Request;
}

HttpResult send(const NetAddress &Address, HttpRequest Request) {
  boost::asio::io_context Loop;
  HttpClient Client(Loop);
  HttpSendOptions Options;
  Options.KeepHost_ = true;
  std::optional<HttpResult> Result;
  Client.send(Address, std::move(Request), Options, [&](HttpResult Got) { Result = Got; });
  while (!Result)
    Loop.run_one();
  return *Result;
}

struct ForwardCase {
  const char *Name_;
  std::string Key_;
  std::string Revision_;
  std::uint32_t Status_;
  PeerRefusal Refusal_;
};

const ForwardCase ForwardCases[] = {
    {"the same configuration", "key-1", "1", 200, PeerRefusal::None},
    {"an older configuration at the sender", "key-1", "0", 200, PeerRefusal::None},
    {"a newer configuration at the sender", "key-1", "99", 503, PeerRefusal::Declined},
    {"a key that is not known", "key-x", "1", 401, PeerRefusal::Final},
};

} // namespace

// Guards against a gateway that serves a forwarded request other than its caller's own, or by an
// older configuration than the caller's gateway.
BOOST_AUTO_TEST_CASE(AForwardedRequestIsServedOtherThanTheCallersOwn) {
  GatewayDeployment Deployment({"east", "west"});
  for (const ForwardCase &Case : ForwardCases)
    BOOST_TEST_CONTEXT(Case.Name_) {
      const std::string Id = "forwarded-" + Case.Revision_ + Case.Key_;
      const HttpResult Result =
          send(Deployment.peerAddress(0), forwardedRequest(Id, Case.Key_, Case.Revision_));
      BOOST_TEST(!Result.Error_);
      BOOST_TEST(Result.Response_.Status_ == Case.Status_);
      BOOST_TEST((peerRefusal(Result.Response_, RequestId(Id)) == Case.Refusal_));
      const bool Served = Case.Status_ == 200;
      BOOST_TEST(consistsOfEvents(Result.Response_.Body_, 1, Events) == Served);
      BOOST_TEST(Deployment.site().activity().Executions_[Id].size() == (Served ? 1U : 0U));
    }
  for (const std::string &Fault : Deployment.site().activity().ProtocolErrors_)
    BOOST_ERROR(Fault);
}

// All endpoints are gone, so no gateway has one to forward to that reaches any.
BOOST_AUTO_TEST_CASE(RequestsGoRoundBetweenGatewaysThatReachNothing) {
  GatewayDeployment Deployment({"east", "west"});
  for (const auto &[Id, Layers] : Deployment.site().layers())
    Deployment.site().setEngineRunState(Id, FakeLayerEngine::RunState::Stopped);
  const auto Refused = [&](int Number) {
    const HttpResult Result = Deployment.call(Number % 2, "none-" + std::to_string(Number), "POST",
                                              site::BriefPath, Events);
    return Result.Response_.Status_ == 503;
  };
  // The first ones find out.
  int Sent = 0;
  GatewayDeployment::await(
      [&] {
        Refused(Sent++);
        return Deployment.metrics(0).find("rattancart_gateway_isolated 1") != std::string::npos;
      },
      "a gateway to know that it reaches no engine");
  const TimePoint Begin = SystemClock().now();
  for (int I = 0; I < 6; ++I)
    BOOST_TEST(Refused(Sent + I));
  BOOST_TEST_MESSAGE("six refusals in " << (SystemClock().now() - Begin) / 1ms << " ms");
  const std::string Counts = Deployment.metrics(0) + Deployment.metrics(1);
  BOOST_TEST(Counts.find("forwarded_in_flight 0") != std::string::npos);
  for (const auto &[Id, Runs] : Deployment.site().activity().Executions_)
    BOOST_TEST(!Id.starts_with("none-"));
}
