#include "Process/MetricSet.h"
#include "StandIns/Site/FakeStoreHandler.h"
#include "platform/PlatformStore.h"
#include "platform/WireNames.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <set>

using namespace rattancart;
using namespace rattancart::platform;

namespace {

/// More than one page of the simulated store.
constexpr int Records = 40;
constexpr Duration Limit = std::chrono::seconds(30);

struct StoreCase {
  const char *Name_;
  StoreFault Fault_;
};

std::ostream &operator<<(std::ostream &Out, const StoreCase &Case) { return Out << Case.Name_; }

const StoreCase StoreCases[] = {{"calm", StoreFault::None}, {"crowded", StoreFault::RateLimited}};

/// A key of another writer's entry, in the order of the list.
struct KeyCase {
  const char *Name_;
  std::string Key_;
};

std::ostream &operator<<(std::ostream &Out, const KeyCase &Case) { return Out << Case.Name_; }

const KeyCase KeyCases[] = {
    {"a space", "key 4"},
    {"a hash sign", "key#4"},
    {"a further parameter", "key&after=z"},
    {"a percent sign", "k%y"},
    {"the end of a line", "k\r\nX:"},
    {"letters beyond ASCII", "k\xc3\xa9y"},
    {"a plus sign", "k+y"},
    {"a quote", "k\"y"},
};

} // namespace

// A store that has reached its call limit refuses some of the calls. A listing that restarted after
// each refusal would never end if it has more pages than the store grants calls in a row.
BOOST_DATA_TEST_CASE(AListingEndsThoughTheStoreRefusesSomeCalls, StoreCases, Case) {
  boost::asio::io_context Loop;
  const SystemClock Time;
  NullLogger Log;
  MetricSet Metrics;
  FakeStoreHandler Store(Loop, Time);
  HttpServer Server(Loop, {}, Store, Log);
  BOOST_REQUIRE(!Server.listen(NetAddress("127.0.0.1:0")));
  for (int I = 0; I < Records; ++I)
    Store.append(std::string(topic::Endpoints), {"key-" + std::to_string(I), "value"});
  Store.setFault(Case.Fault_);
  HttpClient Client(Loop);
  StoreClient Calls(Client, Metrics, Server.address());
  std::set<std::string> Seen;
  TopicFollower Follower(Loop, Time, Calls, topic::Endpoints,
                         {std::chrono::milliseconds(100), std::chrono::milliseconds(100)},
                         {[&](const KeyedRecord &Record) { Seen.insert(Record.Key_); },
                          [&] { Loop.stop(); },
                          [](std::error_code, TimePoint) {},
                          {}});
  Follower.start();
  Loop.run_for(Limit);
  BOOST_TEST(Seen.size() == static_cast<std::size_t>(Records));
  BOOST_TEST(Loop.stopped());
  Server.stop();
}

// Guards against a gateway that never gets past a page of the list whose last entry has an odd key.
BOOST_DATA_TEST_CASE(AListingContinuesAfterAnyKey, KeyCases, Case) {
  boost::asio::io_context Loop;
  const SystemClock Time;
  NullLogger Log;
  MetricSet Metrics;
  FakeStoreHandler Store(Loop, Time);
  HttpServer Server(Loop, {}, Store, Log);
  BOOST_REQUIRE(!Server.listen(NetAddress("127.0.0.1:0")));
  // The odd key is the last one of the first page.
  for (const char *Key : {"a", "b", "c", "d", "y", "z"})
    Store.append(std::string(topic::Endpoints), {Key, "value"});
  Store.append(std::string(topic::Endpoints), {Case.Key_, "value"});
  HttpClient Client(Loop);
  StoreClient Calls(Client, Metrics, Server.address());
  std::set<std::string> Seen;
  TopicFollower Follower(Loop, Time, Calls, topic::Endpoints,
                         {std::chrono::milliseconds(100), std::chrono::milliseconds(100)},
                         {[&](const KeyedRecord &Record) { Seen.insert(Record.Key_); },
                          [&] { Loop.stop(); },
                          [](std::error_code, TimePoint) {},
                          {}});
  Follower.start();
  Loop.run_for(std::chrono::seconds(5));
  BOOST_TEST(Loop.stopped());
  BOOST_TEST(Seen.size() == 7U);
  Server.stop();
}
