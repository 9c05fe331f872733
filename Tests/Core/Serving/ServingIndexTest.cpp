#include "Core/Serving/ServingIndex.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

ServingRoute route(const char *Name, const char *Host, const char *Prefix) {
  ServingRoute Route;
  Route.Id_ = RouteId(Name);
  Route.Host_ = Host;
  Route.PathPrefix_ = Prefix;
  Route.Services_ = {{ServiceId("s"), 1}};
  return Route;
}

ServingConfig config(std::uint64_t Revision) {
  ServingConfig Config;
  Config.Revision_ = ConfigRevision(Revision);
  Config.Routes_ = {route("root", "a.example", "/"), route("x", "a.example", "/x/"),
                    route("xy", "a.example", "/x/y/"), route("b", "b.example", "/x/")};
  ServingService Service;
  Service.Id_ = ServiceId("s");
  Config.Services_ = {Service};
  Service.Id_ = ServiceId("t");
  Config.Services_.push_back(Service);
  Config.Customers_ = {ServingCustomer{CustomerId("c"), {"key-1", "key-2"}, 3}};
  return Config;
}

struct MatchCase {
  const char *Name_;
  const char *Host_;
  const char *Path_;
  /// Empty if no route matches.
  const char *Route_;
};

std::ostream &operator<<(std::ostream &Out, const MatchCase &Case) { return Out << Case.Name_; }

const MatchCase MatchCases[] = {
    {"longest prefix", "a.example", "/x/y/z", "xy"},
    {"shorter prefix", "a.example", "/x/z", "x"},
    {"the prefix itself", "a.example", "/x/", "x"},
    {"a prefix ends with its slash", "a.example", "/x", "root"},
    {"part of a segment is no prefix", "a.example", "/xyz/1", "root"},
    {"host without its port", "a.example:8080", "/x/1", "x"},
    {"host without its case", "A.Example", "/x/1", "x"},
    {"another host", "b.example", "/x/1", "b"},
    {"no route of the host", "b.example", "/y/1", ""},
    {"no such host", "c.example", "/x/1", ""},
    {"no path", "a.example", "", ""},
    {"no host", "", "/x/1", ""},
};

} // namespace

BOOST_DATA_TEST_CASE(MatchesHostAndLongestPrefix, MatchCases, Case) {
  const ServingIndex Index(config(1));
  const ServingRoute *Found = Index.match(Case.Host_, Case.Path_);
  BOOST_TEST((Found ? Found->Id_.str() : std::string()) == Case.Route_);
}

BOOST_AUTO_TEST_CASE(KeysIdentifyTheirCustomer) {
  const ServingIndex Index(config(1));
  BOOST_REQUIRE(Index.customer("key-2"));
  BOOST_TEST(Index.customer("key-2")->Id_.str() == "c");
  BOOST_TEST(!Index.customer("key-3"));
  BOOST_TEST(!Index.customer(""));
}

namespace {

using Customers = std::vector<ServingCustomer>;

struct KeyCase {
  const char *Name_;
  std::optional<Customers> Customers_;
  bool Public_;
  bool RequiresKey_;
};

std::ostream &operator<<(std::ostream &Out, const KeyCase &Case) { return Out << Case.Name_; }

const KeyCase KeyCases[] = {
    {"no list of customers", std::nullopt, false, false},
    {"an empty list", Customers{}, false, true},
    {"a customer without keys", Customers{{CustomerId("c"), {}, {}}}, false, true},
    {"a customer with an empty key", Customers{{CustomerId("c"), {""}, {}}}, false, true},
    {"a customer with a key", Customers{{CustomerId("c"), {"k"}, {}}}, false, true},
    {"a public route, no list of customers", std::nullopt, true, false},
    {"a public route, an empty list", Customers{}, true, false},
};

} // namespace

// Guards against requests that are served with any key once the last customer is removed
// (review/2).
BOOST_DATA_TEST_CASE(OnlyAMissingListOfCustomersAdmitsRequestsWithoutAKey, KeyCases, Case) {
  ServingConfig Config = config(1);
  Config.Customers_ = Case.Customers_;
  Config.Routes_.front().Public_ = Case.Public_;
  const ServingIndex Index(Config);
  BOOST_TEST(Index.requiresKey(Index.config().Routes_.front()) == Case.RequiresKey_);
  BOOST_TEST(!Index.customer(""));
}

BOOST_AUTO_TEST_CASE(SplitRoutesFollowTheirWeights) {
  const ServingIndex Index(config(1));
  ServingRoute Split = route("split", "a.example", "/s/");
  Split.Services_ = {{ServiceId("s"), 90}, {ServiceId("gone"), 0}, {ServiceId("t"), 10}};
  std::map<std::string, int> Counts;
  for (int I = 0; I < 1000; ++I)
    ++Counts[Index.chooseService(Split, I / 1000.0)->Id_.str()];
  BOOST_TEST(Counts["s"] == 900);
  BOOST_TEST(Counts["t"] == 100);
  Split.Services_ = {{ServiceId("gone"), 1}};
  BOOST_TEST(!Index.chooseService(Split, 0.5));
}

BOOST_AUTO_TEST_CASE(OnlyNewerConfigurationsAreTaken) {
  ConfigHolder Holder;
  BOOST_TEST(!Holder.current());
  BOOST_TEST(Holder.replaceIfNewer(config(5), TimePoint(1s)));
  BOOST_TEST(!Holder.replaceIfNewer(config(5), TimePoint(2s)));
  BOOST_TEST(!Holder.replaceIfNewer(config(4), TimePoint(3s)));
  BOOST_TEST(Holder.current()->config().Revision_.value() == 5U);
  BOOST_TEST(Holder.replaceIfNewer(config(9), TimePoint(4s)));
  BOOST_TEST((Holder.changedAt() == TimePoint(4s)));
}

namespace {

struct ClassesCase {
  const char *Name_;
  RequestKind Kind_;
  std::uint32_t Priority_;
  const char *Service_;
  bool HasClasses_;
};

std::ostream &operator<<(std::ostream &Out, const ClassesCase &Case) { return Out << Case.Name_; }

const ClassesCase ClassesCases[] = {
    {"another streaming route of another priority", RequestKind::Stream, 1, "s", true},
    {"another streaming route of the same priority", RequestKind::Stream, 0, "s", false},
    {"another route that does not stream", RequestKind::Idempotent, 1, "s", false},
    {"another service", RequestKind::Stream, 1, "t", false},
};

} // namespace

// Ordering by class where all routes are equally urgent would only delay some of them.
BOOST_DATA_TEST_CASE(OnlyStreamsOfOneServiceWithDifferentPrioritiesHaveClasses, ClassesCases,
                     Case) {
  ServingConfig Config = config(1);
  Config.Routes_[0].Kind_ = RequestKind::Stream;
  Config.Routes_[1].Kind_ = Case.Kind_;
  Config.Routes_[1].Priority_ = Case.Priority_;
  Config.Routes_[1].Services_ = {{ServiceId(Case.Service_), 1}};
  const ServingIndex Index(std::move(Config));
  BOOST_TEST(Index.hasStreamClasses(ServiceId("s")) == Case.HasClasses_);
  BOOST_TEST(!Index.hasStreamClasses(ServiceId("t")));
  const std::vector<std::uint32_t> Both = {0, 1};
  if (Case.HasClasses_)
    BOOST_TEST(Index.streamPriorities(ServiceId("s")) == Both, boost::test_tools::per_element());
}
