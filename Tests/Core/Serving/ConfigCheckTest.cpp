#include "Core/Serving/ConfigCheck.h"

#include "Core/Serving/ServingIndex.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <fstream>
#include <functional>
#include <limits>
#include <random>
#include <set>
#include <sstream>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

ServingRoute route(const char *Name, const char *Host, const char *Prefix, const char *Service) {
  ServingRoute Route;
  Route.Id_ = RouteId(Name);
  Route.Host_ = Host;
  Route.PathPrefix_ = Prefix;
  Route.Kind_ = RequestKind::Stream;
  Route.Services_ = {{ServiceId(Service), 1}};
  Route.Timeout_ = 20s;
  Route.Objective_ = 500ms;
  Route.PauseObjective_ = 250ms;
  return Route;
}

/// A configuration without findings. It contains what resembles a finding: a once-only route with
/// two attempts, a share of weight 0, the same prefix at two hosts, limits that are equal.
ServingConfig soundConfig() {
  ServingConfig Config;
  Config.Revision_ = ConfigRevision(7);
  Config.Routes_ = {route("r1", "a.example", "/x/", "s1"), route("r2", "a.example", "/", "s2"),
                    route("r3", "b.example", "/x/", "s2")};
  Config.Routes_[1].Kind_ = RequestKind::OnceOnly;
  Config.Routes_[1].MaxAttempts_ = 2;
  Config.Routes_[1].Objective_ = Config.Routes_[1].Timeout_;
  // A route without events has no pause that its pause objective could measure.
  Config.Routes_[1].PauseObjective_ = 30s;
  Config.Routes_[2].Services_.push_back({ServiceId("s1"), 0});
  ServingService Engines;
  Engines.Id_ = ServiceId("s1");
  Engines.Model_ = LayeredModel{ModelId("m"), 80, 1750};
  Engines.Model_->Kinds_ = {{"small", 1000}, {"large", 1750}};
  ServingService Desk;
  Desk.Id_ = ServiceId("s2");
  Config.Services_ = {Engines, Desk};
  Config.Customers_ = {ServingCustomer{CustomerId("c1"), {"key-1", "key-2", "key-2"}, 3},
                       ServingCustomer{CustomerId("c2"), {"key-3", ""}, std::nullopt}};
  Config.Limits_.IdleTimeout_ = Config.Limits_.HeaderTimeout_;
  return Config;
}

struct FindingCase {
  const char *Name_;
  std::function<void(ServingConfig &)> Change_;
  /// The findings as "CODE SUBJECT" lines.
  const char *Findings_;
};

std::ostream &operator<<(std::ostream &Out, const FindingCase &Case) { return Out << Case.Name_; }

constexpr double Infinity = std::numeric_limits<double>::infinity();
constexpr double NotANumber = std::numeric_limits<double>::quiet_NaN();

/// Each row guards against a finding that is missed, has another subject, or draws others with it.
const FindingCase FindingCases[] = {
    {"sound", [](ServingConfig &) {}, ""},
    {"no list of customers", [](ServingConfig &Config) { Config.Customers_.reset(); }, ""},
    {"two routes of a name", [](ServingConfig &Config) { Config.Routes_[2].Id_ = RouteId("r1"); },
     "duplicate-route-name route r1\n"},
    {"two services of a name",
     [](ServingConfig &Config) { Config.Services_.push_back(Config.Services_[1]); },
     "duplicate-service-name service s2\n"},
    {"two customers of a name",
     [](ServingConfig &Config) { (*Config.Customers_)[1].Id_ = CustomerId("c1"); },
     "duplicate-customer-name customer c1\n"},
    {"two kinds of a name",
     [](ServingConfig &Config) { Config.Services_[0].Model_->Kinds_[0].Name_ = "large"; },
     "duplicate-kind-name service s1\n"},
    {"identical match", [](ServingConfig &Config) { Config.Routes_[2].Host_ = "a.example"; },
     "duplicate-match route r3\n"},
    {"identical match but for port and case",
     [](ServingConfig &Config) { Config.Routes_[2].Host_ = "A.Example:8080"; },
     "duplicate-match route r3\n"},
    {"no service", [](ServingConfig &Config) { Config.Routes_[1].Services_.clear(); },
     "route-without-service route r2\n"},
    {"an unknown service",
     [](ServingConfig &Config) { Config.Routes_[2].Services_[1].Service_ = ServiceId("s9"); },
     "unknown-service route r3\n"},
    {"a negative weight",
     [](ServingConfig &Config) { Config.Routes_[2].Services_[1].Weight_ = -1; },
     "invalid-weight route r3\n"},
    {"an infinite weight",
     [](ServingConfig &Config) { Config.Routes_[2].Services_[1].Weight_ = Infinity; },
     "invalid-weight route r3\n"},
    {"a weight that is no number",
     [](ServingConfig &Config) { Config.Routes_[2].Services_[1].Weight_ = NotANumber; },
     "invalid-weight route r3\n"},
    {"only weights of 0", [](ServingConfig &Config) { Config.Routes_[2].Services_[0].Weight_ = 0; },
     "no-positive-weight route r3\n"},
    {"a key of two customers",
     [](ServingConfig &Config) {
       (*Config.Customers_)[1].Keys_ = {"key-3", "key-1"};
     },
     "shared-key customer c2\n"},
    {"host and prefix divided elsewhere",
     [](ServingConfig &Config) {
       Config.Routes_[2].Host_ = "a.example/x";
       Config.Routes_[2].PathPrefix_ = "/";
     },
     "invalid-host route r3\nhidden-route route r3\n"},
    {"no slash at the beginning",
     [](ServingConfig &Config) { Config.Routes_[2].PathPrefix_ = "x/"; },
     "prefix-without-first-slash route r3\n"},
    {"no slash at the end", [](ServingConfig &Config) { Config.Routes_[2].PathPrefix_ = "/x"; },
     "prefix-without-last-slash route r3\n"},
    {"no prefix", [](ServingConfig &Config) { Config.Routes_[2].PathPrefix_ = ""; },
     "prefix-without-first-slash route r3\nprefix-without-last-slash route r3\n"},
    {"a query", [](ServingConfig &Config) { Config.Routes_[2].PathPrefix_ = "/x/?a=/"; },
     "invalid-prefix route r3\n"},
    {"a space in the prefix", [](ServingConfig &Config) { Config.Routes_[2].PathPrefix_ = "/x /"; },
     "invalid-prefix route r3\n"},
    {"no host", [](ServingConfig &Config) { Config.Routes_[2].Host_ = ""; },
     "empty-host route r3\n"},
    {"a host that is only a port", [](ServingConfig &Config) { Config.Routes_[2].Host_ = ":80"; },
     "empty-host route r3\n"},
    {"a space in the host", [](ServingConfig &Config) { Config.Routes_[2].Host_ = " b.example"; },
     "invalid-host route r3\n"},
    {"a route without a name", [](ServingConfig &Config) { Config.Routes_[2].Id_ = RouteId(""); },
     "unnamed-route route \n"},
    {"a service without a name", [](ServingConfig &Config) { Config.Services_.emplace_back(); },
     "unnamed-service service \nunreached-service service \n"},
    {"a service without a route",
     [](ServingConfig &Config) { Config.Services_.emplace_back().Id_ = ServiceId("s3"); },
     "unreached-service service s3\n"},
    {"a service with a share of 0 only",
     [](ServingConfig &Config) { Config.Routes_.erase(Config.Routes_.begin()); },
     "unreached-service service s1\n"},
    {"a customer without a key",
     [](ServingConfig &Config) { (*Config.Customers_)[1].Keys_.clear(); },
     "customer-without-key customer c2\n"},
    {"a customer with the empty key only",
     [](ServingConfig &Config) { (*Config.Customers_)[1].Keys_ = {""}; },
     "customer-without-key customer c2\n"},
    {"an empty list of customers", [](ServingConfig &Config) { Config.Customers_->clear(); },
     "no-customers customers\n"},
    {"no routes",
     [](ServingConfig &Config) {
       Config.Routes_.clear();
       Config.Services_.clear();
     },
     "no-routes routes\n"},
    {"no layers", [](ServingConfig &Config) { Config.Services_[0].Model_->Layers_ = 0; },
     "model-without-layers service s1\n"},
    {"no kind", [](ServingConfig &Config) { Config.Services_[0].Model_->Kinds_.clear(); },
     "model-without-kind service s1\n"},
    {"a large layer", [](ServingConfig &Config) { Config.Services_[0].Model_->LayerMb_ = 1751; },
     "layer-too-large service s1\n"},
    {"a time-out of 0",
     [](ServingConfig &Config) {
       Config.Routes_[2].Timeout_ = 0s;
       Config.Routes_[2].Objective_ = 0s;
       Config.Routes_[2].PauseObjective_ = 0s;
     },
     "timeout-not-positive route r3\n"},
    {"an objective above the time-out",
     [](ServingConfig &Config) { Config.Routes_[2].Objective_ = 20001ms; },
     "objective-above-timeout route r3\n"},
    {"a pause objective above the time-out",
     [](ServingConfig &Config) { Config.Routes_[2].PauseObjective_ = 20001ms; },
     "pause-objective-above-timeout route r3\n"},
    {"no attempts", [](ServingConfig &Config) { Config.Routes_[2].MaxAttempts_ = 0; },
     "no-attempts route r3\n"},
    {"no header", [](ServingConfig &Config) { Config.Limits_.MaxHeaderBytes_ = 0; },
     "no-header-bytes limits\n"},
    {"no body", [](ServingConfig &Config) { Config.Limits_.MaxBodyBytes_ = 0; },
     "no-body-bytes limits\n"},
    {"a short idle time-out", [](ServingConfig &Config) { Config.Limits_.HeaderTimeout_ = 16s; },
     "idle-below-header-timeout limits\n"},
};

std::string lines(const std::vector<ConfigFinding> &Findings) {
  std::string Lines;
  for (const ConfigFinding &Each : Findings)
    Lines += fmt::format("{} {}\n", findingInfo(Each.Code_).Name_, Each.Subject_);
  return Lines;
}

/// Whether the finding says that requests don't reach the route by its host and prefix.
bool isAboutMatch(FindingCode Code) {
  switch (Code) {
  case FindingCode::DuplicateMatch:
  case FindingCode::HiddenRoute:
  case FindingCode::PrefixWithoutFirstSlash:
  case FindingCode::PrefixWithoutLastSlash:
  case FindingCode::InvalidPrefix:
  case FindingCode::EmptyHost:
  case FindingCode::InvalidHost:
    return true;
  default:
    return false;
  }
}

} // namespace

BOOST_DATA_TEST_CASE(FindsWhatIsWrong, FindingCases, Case) {
  ServingConfig Config = soundConfig();
  Case.Change_(Config);
  BOOST_TEST(lines(checkConfig(Config)) == Case.Findings_);
}

// Guards against findings that no row above shows: only the decoder and the comparison of versions
// give the remaining ones.
BOOST_AUTO_TEST_CASE(EveryFindingOfTheCheckHasARow) {
  std::string Shown;
  for (const FindingCase &Case : FindingCases)
    Shown += Case.Findings_;
  for (const FindingInfo &Info : findingTable()) {
    const bool FromElsewhere =
        Info.Code_ == FindingCode::Rejected || Info.Code_ == FindingCode::VersionNotIncreasing ||
        Info.Code_ == FindingCode::EntrySkipped || Info.Code_ == FindingCode::ValueReplaced;
    BOOST_TEST((Shown.find(std::string(Info.Name_) + " ") != std::string::npos) != FromElsewhere,
               Info.Name_);
  }
}

BOOST_AUTO_TEST_CASE(PageListsEveryFinding) {
  std::ifstream File(RATTANCART_DOCS "/OPERATORS.md");
  std::ostringstream Page;
  Page << File.rdbuf();
  for (const FindingInfo &Info : findingTable()) {
    const std::string Row =
        fmt::format("| `{}` | {} | {} |", Info.Name_, severityName(Info.Severity_), Info.Text_);
    BOOST_TEST(Page.str().find(Row) != std::string::npos, "docs/OPERATORS.md lacks: " << Row);
  }
}

// Guards against an order that changes between runs, and against warnings that push errors out of
// sight.
BOOST_AUTO_TEST_CASE(ErrorsComeFirstAndTheOrderIsKept) {
  std::vector<ConfigFinding> Findings = {{FindingCode::NoAttempts, "route b", ""},
                                         {FindingCode::RouteWithoutService, "route b", ""},
                                         {FindingCode::NoAttempts, "route a", ""},
                                         {FindingCode::RouteWithoutService, "route a", ""}};
  sortBySeverity(Findings);
  BOOST_TEST(lines(Findings) == "route-without-service route b\nroute-without-service route a\n"
                                "no-attempts route b\nno-attempts route a\n");
}

// Guards against keys in a report that may be pasted into a ticket.
BOOST_AUTO_TEST_CASE(NoFindingContainsAKey) {
  ServingConfig Config = soundConfig();
  (*Config.Customers_)[1].Keys_ = {"key-1", "key-2"};
  const std::vector<ConfigFinding> Findings = checkConfig(Config);
  BOOST_REQUIRE(Findings.size() == 2U);
  for (const ConfigFinding &Each : Findings)
    BOOST_TEST(Each.text().find("key-") == std::string::npos);
  BOOST_TEST(Findings[0].text().find(keyFingerprint("key-1")) != std::string::npos);
  BOOST_TEST(keyFingerprint("key-1").size() == 8U);
  BOOST_TEST(keyFingerprint("key-1") != keyFingerprint("key-2"));
}

BOOST_AUTO_TEST_CASE(OnlyAHigherVersionSucceeds) {
  const ServingConfig InForce = soundConfig();
  for (const auto &[Revision, Succeeds] : {std::pair{6U, false}, {7U, false}, {8U, true}}) {
    ServingConfig Next = soundConfig();
    Next.Revision_ = ConfigRevision(Revision);
    ConfigHolder Holder;
    Holder.replaceIfNewer(InForce, TimePoint{});
    BOOST_TEST(Holder.replaceIfNewer(Next, TimePoint{}) == Succeeds);
    BOOST_TEST(lines(checkSuccession(InForce, Next)) ==
               (Succeeds ? "" : "version-not-increasing version\n"));
  }
}

// Guards against the removal of invalid-weight while the index has no defence of its own: such a
// weight changes what the other shares get. When the index ignores it, this test must change.
BOOST_AUTO_TEST_CASE(InvalidWeightsDistortOtherShares) {
  const auto Chosen = [](double SecondWeight, double Draw) {
    ServingConfig Config;
    Config.Routes_ = {route("r", "a.example", "/", "s1")};
    for (const auto &[Service, Weight] : {std::pair{"s2", SecondWeight}, {"s3", 1.0}})
      Config.Routes_[0].Services_.push_back({ServiceId(Service), Weight});
    for (const char *Service : {"s1", "s2", "s3"})
      Config.Services_.emplace_back().Id_ = ServiceId(Service);
    const ServingIndex Index(Config);
    return Index.chooseService(Index.config().Routes_[0], Draw)->Id_.str();
  };
  BOOST_TEST(Chosen(0, 0.9) == "s3");
  BOOST_TEST(Chosen(-1, 0.9) == "s1");
  BOOST_TEST(Chosen(Infinity, 0.1) == "s3");
}

// Guards against a check that disagrees with the index about what matches: a route without a
// finding about its match gets the requests of its host and prefix, and a hidden or duplicate one
// gets none at all.
BOOST_AUTO_TEST_CASE(AgreesWithTheIndexAboutWhatMatches) {
  const char *const Hosts[] = {"a", "A:1", "b", "", ":1", "a/x", "a "};
  const char *const Prefixes[] = {"/", "/x/", "/x", "x/", "", "/?/", "/x/y/"};
  std::mt19937 Random(1);
  for (unsigned Round = 0; Round < 2000; ++Round) {
    ServingConfig Config;
    for (const char *Name : {"r1", "r2", "r3", "r4"})
      Config.Routes_.push_back(route(Name, Hosts[Random() % std::size(Hosts)],
                                     Prefixes[Random() % std::size(Prefixes)], "s"));
    const ServingIndex Index(Config);
    std::map<std::string, std::set<FindingCode>> Found;
    for (const ConfigFinding &Each : checkConfig(Config))
      if (isAboutMatch(Each.Code_))
        Found[Each.Subject_].insert(Each.Code_);
    std::set<RouteId> Reached;
    for (const char *Host : {"a", "ax", "b", "bx", ""})
      for (const char *Path : {"/", "/x/", "/x/y/", "/x/y/z", "/x", "/z", "x/", "*"})
        if (const ServingRoute *Route = Index.match(Host, Path))
          Reached.insert(Route->Id_);
    for (const ServingRoute &Route : Config.Routes_) {
      const std::set<FindingCode> &Codes = Found["route " + Route.Id_.str()];
      const ServingRoute *Match = Index.match(Route.Host_, Route.PathPrefix_);
      if (Codes.empty())
        BOOST_TEST((Match && Match->Id_ == Route.Id_));
      if (Codes.contains(FindingCode::DuplicateMatch) || Codes.contains(FindingCode::HiddenRoute) ||
          Codes.contains(FindingCode::PrefixWithoutLastSlash) ||
          Codes.contains(FindingCode::InvalidPrefix))
        BOOST_TEST(!Reached.contains(Route.Id_));
    }
  }
}
