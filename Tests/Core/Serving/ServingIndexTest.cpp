#include "Core/Serving/ServingIndex.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <tuple>
#include <vector>

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

struct OrderCase {
  const char *Name_;
  /// Kind, priority and weight of each route to the service.
  std::vector<std::tuple<RequestKind, std::uint32_t, double>> Routes_;
  bool Ordered_;
};

std::ostream &operator<<(std::ostream &Out, const OrderCase &Case) { return Out << Case.Name_; }

const OrderCase OrderCases[] = {
    {"one streaming route", {{RequestKind::Stream, 1, 1}}, false},
    {"equal priorities", {{RequestKind::Stream, 1, 1}, {RequestKind::Stream, 1, 1}}, false},
    {"different priorities", {{RequestKind::Stream, 1, 1}, {RequestKind::Stream, 0, 1}}, true},
    {"a plain route", {{RequestKind::Stream, 1, 1}, {RequestKind::Idempotent, 0, 1}}, false},
    {"a route without requests", {{RequestKind::Stream, 1, 1}, {RequestKind::Stream, 0, 0}}, false},
};

} // namespace

BOOST_DATA_TEST_CASE(StreamsAreOrderedByClassWhereRoutesDifferInPriority, OrderCases, Case) {
  ServingConfig Config = config(1);
  Config.Routes_.clear();
  for (const auto &[Kind, Priority, Weight] : Case.Routes_) {
    ServingRoute Route = route("r", "a.example", "/");
    Route.Kind_ = Kind;
    Route.Priority_ = Priority;
    Route.Services_ = {{ServiceId("s"), Weight}};
    Config.Routes_.push_back(Route);
  }
  const ServingIndex Index(Config);
  BOOST_TEST(Index.ordersByClass(ServiceId("s")) == Case.Ordered_);
  BOOST_TEST(!Index.ordersByClass(ServiceId("t")));
  // Classes of customers without a priority, and of the one with priority 3.
  BOOST_TEST(Index.classCount(ServiceId("s")) == (Case.Ordered_ ? 4U : 0U));
}

namespace {

struct ClassCase {
  const char *Name_;
  std::vector<std::uint32_t> RoutePriorities_;
  std::vector<std::optional<std::uint32_t>> CustomerPriorities_;
  /// For each customer in turn, the priority of its request on each route.
  std::vector<std::uint32_t> Expected_;
};

std::ostream &operator<<(std::ostream &Out, const ClassCase &Case) { return Out << Case.Name_; }

const ClassCase ClassCases[] = {
    {"no customer has a priority", {0, 1, 2}, {std::nullopt}, {0, 1, 2}},
    {"routes of equal priority", {1, 1}, {std::nullopt, 0, 3}, {1, 1, 0, 0, 3, 3}},
    {"the route decides among customers of one priority", {0, 1, 2}, {1}, {1, 2, 3}},
    {"the customer goes before the route", {0, 1}, {0, 1, 2}, {0, 1, 2, 3, 4, 5}},
    {"gaps between priorities are closed", {2, 7}, {5, 9}, {1, 2, 4, 5}},
    {"some customers have a priority", {0, 1}, {std::nullopt, 1}, {0, 2, 1, 2}},
};

} // namespace

// Where every customer has a priority of its own, the priorities of the routes were ignored, so
// urgent routes were served last under load.
BOOST_DATA_TEST_CASE(ClassesFollowTheCustomerAndThenTheRoute, ClassCases, Case) {
  ServingConfig Config = config(1);
  Config.Routes_.clear();
  for (const std::uint32_t Priority : Case.RoutePriorities_) {
    ServingRoute Route = route("r", "a.example", "/");
    Route.Kind_ = RequestKind::Stream;
    Route.Priority_ = Priority;
    Config.Routes_.push_back(Route);
  }
  Config.Customers_->clear();
  for (const auto &Priority : Case.CustomerPriorities_)
    Config.Customers_->push_back({CustomerId("c"), {}, Priority});
  const ServingIndex Index(Config);
  std::vector<std::uint32_t> Found;
  for (const ServingCustomer &Customer : *Index.config().Customers_)
    for (const ServingRoute &Route : Index.config().Routes_)
      Found.push_back(Index.priority(Route, ServiceId("s"), &Customer));
  BOOST_TEST(Found == Case.Expected_, boost::test_tools::per_element());
}
