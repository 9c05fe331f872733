#include "Core/Serving/ConfigDiff.h"

#include "Core/Serving/ConfigCheck.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <functional>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

ServingConfig inForce() {
  ServingConfig Config;
  Config.Revision_ = ConfigRevision(7);
  ServingRoute Route;
  Route.Id_ = RouteId("r1");
  Route.Host_ = "a.example";
  Route.PathPrefix_ = "/x/";
  Route.Kind_ = RequestKind::Stream;
  Route.Services_ = {{ServiceId("s1"), 90}, {ServiceId("s2"), 10}};
  Route.Timeout_ = 20s;
  Route.Objective_ = 500ms;
  Route.PauseObjective_ = 250ms;
  Config.Routes_ = {Route, Route};
  Config.Routes_[1].Id_ = RouteId("r2");
  Config.Routes_[1].Host_ = "b.example";
  ServingService Engines;
  Engines.Id_ = ServiceId("s1");
  Engines.Model_ = LayeredModel{ModelId("m"), 80, 1750};
  Engines.Model_->Kinds_ = {{"large", 72000}};
  ServingService Desk;
  Desk.Id_ = ServiceId("s2");
  Config.Services_ = {Engines, Desk};
  Config.Customers_ = {ServingCustomer{CustomerId("c1"), {"key-1", "key-2"}, 3},
                       ServingCustomer{CustomerId("c2"), {"key-3"}, std::nullopt}};
  return Config;
}

struct DiffCase {
  const char *Name_;
  std::function<void(ServingConfig &)> Change_;
  /// One line for each difference; K(n) stands for the fingerprint of key-n.
  const char *Lines_;
};

std::ostream &operator<<(std::ostream &Out, const DiffCase &Case) { return Out << Case.Name_; }

ServingRoute &firstRoute(ServingConfig &Config) { return Config.Routes_[0]; }
LayeredModel &model(ServingConfig &Config) { return *Config.Services_[0].Model_; }

/// Each row guards against a field that is left out of the comparison.
const DiffCase DiffCases[] = {
    {"nothing", [](ServingConfig &) {}, ""},
    {"another order",
     [](ServingConfig &Config) {
       std::reverse(Config.Routes_.begin(), Config.Routes_.end());
       std::reverse(Config.Services_.begin(), Config.Services_.end());
       std::reverse(Config.Customers_->begin(), Config.Customers_->end());
       std::reverse(Config.Customers_->back().Keys_.begin(), Config.Customers_->back().Keys_.end());
       std::reverse(firstRoute(Config).Services_.begin(), firstRoute(Config).Services_.end());
     },
     ""},
    {"version", [](ServingConfig &Config) { Config.Revision_ = ConfigRevision(8); },
     "changed configuration.version 7 -> 8\n"},
    {"host", [](ServingConfig &Config) { firstRoute(Config).Host_ = "c"; },
     "changed route r1.host a.example -> c\n"},
    {"prefix", [](ServingConfig &Config) { firstRoute(Config).PathPrefix_ = "/"; },
     "changed route r1.path prefix /x/ -> /\n"},
    {"kind", [](ServingConfig &Config) { firstRoute(Config).Kind_ = RequestKind::OnceOnly; },
     "changed route r1.kind stream -> once only\n"},
    {"weight", [](ServingConfig &Config) { firstRoute(Config).Services_[0].Weight_ = 89.5; },
     "changed route r1.weight of s1 90 -> 89.5\n"},
    {"a share less", [](ServingConfig &Config) { firstRoute(Config).Services_.pop_back(); },
     "removed route r1.weight of s2 10 -> -\n"},
    {"a share more",
     [](ServingConfig &Config) {
       firstRoute(Config).Services_.push_back({ServiceId("s2"), 5});
     },
     "added route r1.weight of s2 (2) - -> 5\n"},
    {"time-out", [](ServingConfig &Config) { firstRoute(Config).Timeout_ = 1500us; },
     "changed route r1.timeout 20000 ms -> 1.5 ms\n"},
    {"objective", [](ServingConfig &Config) { firstRoute(Config).Objective_ = 1s; },
     "changed route r1.objective 500 ms -> 1000 ms\n"},
    {"pause objective", [](ServingConfig &Config) { firstRoute(Config).PauseObjective_ = 1s; },
     "changed route r1.pause objective 250 ms -> 1000 ms\n"},
    {"priority", [](ServingConfig &Config) { firstRoute(Config).Priority_ = 2; },
     "changed route r1.priority 0 -> 2\n"},
    {"attempts", [](ServingConfig &Config) { firstRoute(Config).MaxAttempts_ = 2; },
     "changed route r1.attempts 1 -> 2\n"},
    {"public", [](ServingConfig &Config) { firstRoute(Config).Public_ = true; },
     "changed route r1.public no -> yes\n"},
    {"resumable", [](ServingConfig &Config) { firstRoute(Config).Resumable_ = true; },
     "changed route r1.resumable no -> yes\n"},
    {"a route renamed", [](ServingConfig &Config) { Config.Routes_[1].Id_ = RouteId("r3"); },
     "removed route r2\nadded route r3\n"},
    {"a second route of a name",
     [](ServingConfig &Config) { Config.Routes_.push_back(Config.Routes_[1]); },
     "added route r2 (2)\n"},
    {"three routes of a name, the third changed",
     [](ServingConfig &Config) {
       Config.Routes_.push_back(Config.Routes_[1]);
       Config.Routes_.push_back(Config.Routes_[1]);
       Config.Routes_[3].Priority_ = 9;
     },
     "added route r2 (2)\nadded route r2 (3)\n"},
    {"connections", [](ServingConfig &Config) { Config.Services_[1].MaxConnections_ = 9; },
     "changed service s2.connections 0 -> 9\n"},
    {"a service more",
     [](ServingConfig &Config) { Config.Services_.emplace_back().Id_ = ServiceId("s3"); },
     "added service s3\n"},
    {"a service less", [](ServingConfig &Config) { Config.Services_.pop_back(); },
     "removed service s2\n"},
    {"model's name", [](ServingConfig &Config) { model(Config).Id_ = ModelId("n"); },
     "changed service s1.model m -> n\n"},
    {"layers", [](ServingConfig &Config) { model(Config).Layers_ = 81; },
     "changed service s1.layers 80 -> 81\n"},
    {"layer's size", [](ServingConfig &Config) { model(Config).LayerMb_ = 1; },
     "changed service s1.layer MB 1750 -> 1\n"},
    {"token's size", [](ServingConfig &Config) { model(Config).TokenBytes_ = 1; },
     "changed service s1.token bytes 0 -> 1\n"},
    {"load time", [](ServingConfig &Config) { model(Config).LoadTime_ = 1s; },
     "changed service s1.load time 0 ms -> 1000 ms\n"},
    {"concurrent loads", [](ServingConfig &Config) { model(Config).ConcurrentLoads_ = 6; },
     "changed service s1.concurrent loads 1 -> 6\n"},
    {"step", [](ServingConfig &Config) { model(Config).Step_ = 1ms; },
     "changed service s1.step 0 ms -> 1 ms\n"},
    {"step per sequence", [](ServingConfig &Config) { model(Config).StepPerSequence_ = 1ms; },
     "changed service s1.step per sequence 0 ms -> 1 ms\n"},
    {"step per context", [](ServingConfig &Config) { model(Config).StepPerThousandTokens_ = 1ms; },
     "changed service s1.step per thousand tokens 0 ms -> 1 ms\n"},
    {"prompt rate", [](ServingConfig &Config) { model(Config).PromptTokensPerSecond_ = 2; },
     "changed service s1.prompt tokens per second 1 -> 2\n"},
    {"mean prompt", [](ServingConfig &Config) { model(Config).MeanPromptTokens_ = 2; },
     "changed service s1.mean prompt tokens 0 -> 2\n"},
    {"mean answer", [](ServingConfig &Config) { model(Config).MeanAnswerTokens_ = 2; },
     "changed service s1.mean answer tokens 0 -> 2\n"},
    {"memory of a kind", [](ServingConfig &Config) { model(Config).Kinds_[0].MemoryMb_ = 8; },
     "changed service s1.kind large 72000 MB, step factor 1, prefill factor 1 -> "
     "8 MB, step factor 1, prefill factor 1\n"},
    {"a kind more",
     [](ServingConfig &Config) {
       model(Config).Kinds_.push_back({"small", 8});
     },
     "added service s1.kind small - -> 8 MB, step factor 1, prefill factor 1\n"},
    {"a key replaced", [](ServingConfig &Config) { (*Config.Customers_)[0].Keys_[1] = "key-4"; },
     "removed customer c1.key K(2) held -> -\nadded customer c1.key K(4) - -> held\n"},
    {"a customer's priority", [](ServingConfig &Config) { (*Config.Customers_)[0].Priority_ = 4; },
     "changed customer c1.priority 3 -> 4\n"},
    {"a customer's priority gone",
     [](ServingConfig &Config) { (*Config.Customers_)[0].Priority_.reset(); },
     "removed customer c1.priority 3 -> -\n"},
    {"a customer less", [](ServingConfig &Config) { Config.Customers_->pop_back(); },
     "removed customer c2\n"},
    {"no list of customers", [](ServingConfig &Config) { Config.Customers_.reset(); },
     "changed configuration.customers listed yes -> no\nremoved customer c1\n"
     "removed customer c2\n"},
    {"header bytes", [](ServingConfig &Config) { Config.Limits_.MaxHeaderBytes_ = 1; },
     "changed limits.header bytes 16384 -> 1\n"},
    {"body bytes", [](ServingConfig &Config) { Config.Limits_.MaxBodyBytes_ = 1; },
     "changed limits.body bytes 4194304 -> 1\n"},
    {"header time-out", [](ServingConfig &Config) { Config.Limits_.HeaderTimeout_ = 1s; },
     "changed limits.header timeout 3000 ms -> 1000 ms\n"},
    {"idle time-out", [](ServingConfig &Config) { Config.Limits_.IdleTimeout_ = 1s; },
     "changed limits.idle timeout 15000 ms -> 1000 ms\n"},
};

std::string lines(const std::vector<ConfigDifference> &Differences) {
  std::string Lines;
  for (const ConfigDifference &Each : Differences) {
    Lines += fmt::format("{} {}", differenceName(Each.Kind_), Each.Subject_);
    if (!Each.Field_.empty())
      Lines += fmt::format(".{} {} -> {}", Each.Field_, Each.Before_.value_or("-"),
                           Each.After_.value_or("-"));
    Lines += '\n';
  }
  return Lines;
}

std::string withFingerprints(std::string Text) {
  for (std::size_t At = Text.find("K("); At != std::string::npos; At = Text.find("K(", At))
    Text.replace(At, 4, keyFingerprint(fmt::format("key-{}", Text[At + 2])));
  return Text;
}

} // namespace

BOOST_DATA_TEST_CASE(ReportsDifferencesByField, DiffCases, Case) {
  const ServingConfig Before = inForce();
  ServingConfig After = inForce();
  Case.Change_(After);
  BOOST_TEST(lines(diffConfigs(Before, After)) == withFingerprints(Case.Lines_));
}

// Guards against keys in a report that may be pasted into a ticket, in whole entries too.
BOOST_AUTO_TEST_CASE(NoDifferenceContainsAKey) {
  ServingConfig Other = inForce();
  Other.Customers_->erase(Other.Customers_->begin());
  Other.Customers_->front().Keys_ = {"key-5"};
  for (const auto &Differences : {diffConfigs(inForce(), Other), diffConfigs(Other, inForce())}) {
    BOOST_TEST(Differences.size() == 3U);
    for (const ConfigDifference &Each : Differences)
      for (const std::string &Text :
           {Each.Subject_, Each.Field_, Each.Before_.value_or(""), Each.After_.value_or("")})
        BOOST_TEST(Text.find("key-") == std::string::npos, Text);
  }
}

BOOST_AUTO_TEST_CASE(WholeEntriesShowTheirFields) {
  ServingConfig Other = inForce();
  Other.Customers_->erase(Other.Customers_->begin());
  const auto Differences = diffConfigs(inForce(), Other);
  BOOST_REQUIRE(Differences.size() == 1U);
  BOOST_TEST(Differences[0].Before_.value_or("") ==
             withFingerprints("key K(1): held; key K(2): held; priority: 3"));
  BOOST_TEST(!Differences[0].After_);
}

// Guards against a replaced key that goes unseen because both keys have the same fingerprint.
BOOST_AUTO_TEST_CASE(KeysOfOneFingerprintDiffer) {
  const std::string Old = "key-23356";
  const std::string New = "key-65301";
  BOOST_REQUIRE(keyFingerprint(Old) == keyFingerprint(New));
  ServingConfig Before = inForce();
  Before.Customers_->front().Keys_ = {Old};
  ServingConfig After = inForce();
  After.Customers_->front().Keys_ = {New};
  BOOST_TEST(lines(diffConfigs(Before, After)) ==
             fmt::format("removed customer c1.key {0} held -> -\nadded customer c1.key {0} - -> "
                         "held\n",
                         keyFingerprint(Old)));
}
