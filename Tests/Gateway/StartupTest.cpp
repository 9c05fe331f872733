#include "Tests/Gateway/ScriptedRequest.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>

using namespace rattancart;
using namespace rattancart::test;
using namespace std::chrono_literals;

namespace {

struct StartupCase {
  const char *Name_;
  Duration MaxWait_;
  /// Time from the request to the arrival of the configuration.
  Duration ReadyAfter_;
  std::uint32_t Status_;
};

std::ostream &operator<<(std::ostream &Out, const StartupCase &Case) { return Out << Case.Name_; }

const StartupCase StartupCases[] = {
    {"ready in time", 800ms, 300ms, 200},
    {"ready too late", 800ms, 900ms, 503},
    {"requests don't wait", 0ms, 300ms, 503},
};

/// A gateway that has just started beside another one, whose engines it uses.
struct StartingGateway {
  OneRequest Other_;
  ConfigHolder Config_;
  GatewayRequestHandler Handler_{Other_.Context_, Config_};
  std::shared_ptr<Caller> Caller_ = std::make_shared<Caller>();

  explicit StartingGateway(Duration MaxWait) {
    Handler_.queueUntilReady({.MaxWait_ = MaxWait}, Other_.Time_.now());
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Headers_.add("Host", "site");
    Request.Headers_.add("id", "r");
    Request.Headers_.add("prompt", "100");
    Request.Headers_.add("events", "9");
    Handler_.handle(std::move(Request), std::make_shared<CallerConnection>(Caller_));
  }
  void advance(Duration Time) {
    Other_.Time_.advance(Time);
    Handler_.tick();
  }
  void becomeReady() {
    Config_.replaceIfNewer(ServingConfig(Other_.Config_.current()->config()), Other_.Time_.now());
    Handler_.onReady();
  }
};

} // namespace

// Callers that reconnect to a process that has just started were refused, many for their last try.
BOOST_DATA_TEST_CASE(ARequestArrivesBeforeTheConfiguration, StartupCases, Case) {
  StartingGateway Gateway(Case.MaxWait_);
  Gateway.advance(Case.ReadyAfter_);
  Gateway.becomeReady();
  ScriptedEngines &Engines = Gateway.Other_.Engines_;
  if (Case.Status_ == 200) {
    BOOST_REQUIRE(Engines.sends() == 2U);
    Engines.head(1, 200);
    Engines.body(1, events(1, 9));
    Engines.end(1);
  }
  BOOST_TEST(Engines.sends() == (Case.Status_ == 200 ? 2U : 1U));
  BOOST_TEST(Gateway.Caller_->Status_ == Case.Status_);
  BOOST_TEST(Gateway.Caller_->Complete_);
  BOOST_TEST(Gateway.Handler_.inFlight() == 0U);
}

BOOST_AUTO_TEST_CASE(AProcessEndsBeforeItIsReady) {
  StartingGateway Gateway(800ms);
  BOOST_TEST(Gateway.Handler_.inFlight() == 1U);
  Gateway.Handler_.shutDown();
  BOOST_TEST(Gateway.Caller_->Status_ == 503U);
  BOOST_TEST(Gateway.Handler_.inFlight() == 0U);
}
