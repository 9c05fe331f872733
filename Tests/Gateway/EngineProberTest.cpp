#include "Gateway/EngineProber.h"

#include "ScriptedRequest.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <utility>
#include <vector>

using namespace rattancart;
using namespace rattancart::test;

namespace {

const EndpointId Engine("engine");

/// A gateway that knows one engine, whose connections the test plays.
struct Gateway {
  explicit Gateway(DetectionOptions Options)
      : Prober_({Loop_, Time_, Log_, Metrics_, Engines_, Protocol_, Roster_, Random_}, Options) {
    Time_.advance(1h);
    EndpointListing Listing;
    Listing.Id_ = Engine;
    Listing.Service_ = Brief;
    Listing.Address_ = NetAddress("127.0.0.1:1");
    Roster_.updateListing(Listing, Time_.now());
    Prober_.setGateways(1);
    Prober_.onSilent([this](const EndpointId &, bool Refused) { Silent_.push_back(Refused); });
  }

  ManualClock Time_;
  boost::asio::io_context Loop_;
  CountingLogger Log_;
  MetricSet Metrics_;
  ScriptedEngines Engines_;
  SimulatedEngineProtocol Protocol_;
  EndpointRoster Roster_;
  std::mt19937 Random_{1};
  EngineProber Prober_;
  /// For each time the engine was found silent, whether it was refused.
  std::vector<bool> Silent_;
};

struct EndCase {
  const char *Name_;
  bool Enabled_;
  ErrorCode Error_;
  bool Refused_;
  bool FoundSilent_;
};
std::ostream &operator<<(std::ostream &Out, const EndCase &Case) { return Out << Case.Name_; }

const EndCase EndCases[] = {
    {"off, connect timeout", false, ErrorCode::ConnectFailed, false, true},
    {"off, response timeout", false, ErrorCode::ResponseTimeout, false, true},
    {"refused", true, ErrorCode::ConnectFailed, true, true},
    {"reset", true, ErrorCode::ConnectionClosed, true, true},
    {"connect timeout", true, ErrorCode::ConnectFailed, false, false},
    {"response timeout", true, ErrorCode::ResponseTimeout, false, false},
};

/// What arrives while a probe is open that the engine does not answer.
struct ArrivalCase {
  const char *Name_;
  bool Enabled_;
  void (*Arrive_)(EngineProber &);
  bool FoundSilent_;
};
std::ostream &operator<<(std::ostream &Out, const ArrivalCase &Case) { return Out << Case.Name_; }

const EndpointId Other("other");

const ArrivalCase ArrivalCases[] = {
    {"off, nothing", false, [](EngineProber &) {}, true},
    {"nothing", true, [](EngineProber &) {}, false},
    {"a datagram", true, [](EngineProber &Prober) { Prober.noteOtherReception(); }, false},
    {"a stream event", true, [](EngineProber &Prober) { Prober.noteActivity(Other); }, true},
    {"a response head", true, [](EngineProber &Prober) { Prober.noteReceived(Other); }, true},
};

struct SignCase {
  const char *Name_;
  void (*Sign_)(Gateway &);
  bool Probed_;
};
std::ostream &operator<<(std::ostream &Out, const SignCase &Case) { return Out << Case.Name_; }

const SignCase SignCases[] = {
    {"none", [](Gateway &) {}, true},
    {"an event", [](Gateway &Each) { Each.Prober_.noteActivity(Engine); }, false},
    {"a report by way of the owner",
     [](Gateway &Each) { Each.Roster_.updateReport(Engine, {}, Each.Time_.now()); }, false},
    {"an older report by way of the owner",
     [](Gateway &Each) { Each.Roster_.updateReport(Engine, {}, Each.Time_.now() - 100ms); }, true},
};

} // namespace

// Guards against the HTTP client's own time limits, which after a pause of the process expire
// together with the probe's and made running engines silent.
BOOST_DATA_TEST_CASE(OnlyRefusalsEndAProbeBeforeItsTimeLimit, EndCases, Case) {
  Gateway Home({Case.Enabled_});
  Home.Prober_.suspect(Engine);
  Home.Engines_.endBeforeSend(0, Case.Error_, Case.Refused_);
  if (Home.Engines_.sends() == 2)
    Home.Engines_.endBeforeSend(1, Case.Error_, Case.Refused_);
  BOOST_TEST(Home.Silent_.size() == (Case.FoundSilent_ ? 1U : 0U));
  // Other gateways are told of a refusal, and probe the engine at once.
  if (Case.FoundSilent_)
    BOOST_TEST(Home.Silent_.front() == Case.Refused_);
}

// Guards against a gateway that takes the congestion of its own link for the silence of an engine.
BOOST_DATA_TEST_CASE(AnUnansweredProbeIsJudgedByWhatElseArrives, ArrivalCases, Case) {
  Gateway Home({Case.Enabled_});
  Home.Prober_.suspect(Engine);
  Home.Time_.advance(1ms);
  Case.Arrive_(Home.Prober_);
  Home.Time_.advance(ProbeVerdict::SecondRequestDelay - 1ms);
  while (Home.Engines_.sends() < 2)
    Home.Loop_.run_one();
  Home.Time_.advance(ProbeVerdict::FirstLimit - ProbeVerdict::SecondRequestDelay);
  while (Home.Silent_.empty() && Home.Log_.count(LogEvent::ProbeExtended) == 0)
    Home.Loop_.run_one();
  BOOST_TEST(!Home.Silent_.empty() == Case.FoundSilent_);
}

BOOST_AUTO_TEST_CASE(AResponseHeadIsReportedToTheHealthMonitor) {
  OneRequest Request;
  Request.Engines_.head(0, 200);
  BOOST_TEST(Request.Health_.Received_.size() == 1U);
}

// Guards against probes of engines that were heard since another gateway reported them.
BOOST_DATA_TEST_CASE(AReportedEngineIsProbedUnlessItIsHeard, SignCases, Case) {
  Gateway Home({true});
  Home.Prober_.noteActivity(Engine);
  Home.Time_.advance(1ms);
  BOOST_TEST(Home.Prober_.onReported({Engine, "10.0.0.2:7000", false}));
  BOOST_TEST(Home.Engines_.sends() == 0U);
  Home.Time_.advance(1ms);
  Case.Sign_(Home);
  Home.Time_.advance(10ms);
  while (Home.Engines_.sends() == 0 && Home.Log_.count(LogEvent::ReportContradicted) == 0)
    Home.Loop_.run_one();
  BOOST_TEST((Home.Engines_.sends() > 0) == Case.Probed_);
}

BOOST_DATA_TEST_CASE(AReportedRefusalIsProbedAtOnce, boost::unit_test::data::make({false, true}),
                     Enabled) {
  Gateway Home({Enabled});
  Home.Prober_.onReported({Engine, "10.0.0.2:7000", true});
  BOOST_TEST(Home.Engines_.sends() == 1U);
}

// Guards against an owner with a congested link that takes running engines from all gateways.
BOOST_DATA_TEST_CASE(TheOwnersFindingIsRejectedIfTheEngineIsHeard,
                     boost::unit_test::data::make({false, true}), Enabled) {
  Gateway Home({Enabled});
  BOOST_TEST(!Home.Prober_.rejectsOwnerFinding(Engine));
  Home.Prober_.noteActivity(Engine);
  BOOST_TEST(Home.Prober_.rejectsOwnerFinding(Engine) == Enabled);
  Home.Time_.advance(1s);
  BOOST_TEST(!Home.Prober_.rejectsOwnerFinding(Engine));
}
