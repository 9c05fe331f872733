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

/// A simulated store and a follower of its list of endpoints, on one event loop.
struct ListFixture {
  ListFixture() { BOOST_REQUIRE(!Server_.listen(NetAddress("127.0.0.1:0"))); }
  ~ListFixture() { Server_.stop(); }

  void append(const std::string &Key) {
    Store_.append(std::string(topic::Endpoints), {Key, "value"});
  }
  /// Returns whether the whole list was read within the limit.
  bool readList(Duration TimeLimit) {
    HttpClient Client(Loop_);
    StoreClient Calls(Time_, Client, Metrics_, Server_.address());
    TopicFollower Follower(Loop_, Time_, Calls, topic::Endpoints,
                           {std::chrono::milliseconds(100), std::chrono::milliseconds(100)},
                           {[this](const KeyedRecord &Record) { Seen_.insert(Record.Key_); },
                            [this] { Loop_.stop(); },
                            [](std::error_code, TimePoint) {},
                            {}});
    Follower.start();
    Loop_.run_for(TimeLimit);
    return Loop_.stopped();
  }

  boost::asio::io_context Loop_;
  const SystemClock Time_;
  NullLogger Log_;
  MetricSet Metrics_;
  FakeStoreHandler Store_{Loop_, Time_};
  HttpServer Server_{Loop_, {}, Store_, Log_};
  /// The keys that the follower has read.
  std::set<std::string> Seen_;
};

/// A return of the store from a copy, seen from a follower that has read two records since.
struct EndCase {
  const char *Name_;
  /// Records that are written after the return, the last one with the key "newest".
  int Written_;
  ReadsAtReturn Reads_;
};

std::ostream &operator<<(std::ostream &Out, const EndCase &Case) { return Out << Case.Name_; }

const EndCase EndCases[] = {
    {"the end before the old one", 1, ReadsAtReturn::Closed},
    {"the old end", 2, ReadsAtReturn::Closed},
    {"the end behind the old one", 3, ReadsAtReturn::Closed},
    {"the end before the old one, read goes on", 1, ReadsAtReturn::Kept},
    {"the old end, read goes on", 2, ReadsAtReturn::Kept},
    {"the end behind the old one, read goes on", 3, ReadsAtReturn::Kept},
};

/// A gateway that reads a topic alone, and the time within which it must know of a record.
struct LostReadCase {
  const char *Name_;
  FreshnessBounds Bounds_;
};

std::ostream &operator<<(std::ostream &Out, const LostReadCase &Case) { return Out << Case.Name_; }

const LostReadCase LostReadCases[] = {
    {"2 s", {.Configuration_ = std::chrono::seconds(2)}},
    {"3 s", {.Configuration_ = std::chrono::seconds(3)}},
};

/// A time in which the store accepts calls and answers none.
struct OutageCase {
  const char *Name_;
  Duration Length_;
};

std::ostream &operator<<(std::ostream &Out, const OutageCase &Case) { return Out << Case.Name_; }

const OutageCase OutageCases[] = {
    {"1 s", std::chrono::milliseconds(1000)},
    {"2.3 s", std::chrono::milliseconds(2300)},
    {"4.5 s", std::chrono::milliseconds(4500)},
    {"8 s", std::chrono::milliseconds(8000)},
};

/// A value of the header that names the era.
struct HeaderCase {
  const char *Value_;
  std::optional<std::uint64_t> Era_;
};

std::ostream &operator<<(std::ostream &Out, const HeaderCase &Case) { return Out << Case.Value_; }

const HeaderCase HeaderCases[] = {
    {"1", 1},
    {"0", 0},
    {"18446744073709551615", ~std::uint64_t{0}},
    {"01", 1},
    {"", {}},
    {"-1", {}},
    {"1.5", {}},
    {"18446744073709551616", {}},
    {"2 3", {}},
    {"x", {}},
};

/// Answers each call with an empty page and this value of the header.
class EraHandler final : public HttpHandler {
public:
  explicit EraHandler(std::string Value) : Value_(std::move(Value)) {}
  void handle(HttpRequest, HttpResponderPtr Responder) override {
    HttpResponse Answer;
    Answer.Headers_.add("Store-Era", Value_);
    Answer.Body_ = std::string(16, '\0');
    Responder->send(std::move(Answer));
  }

private:
  std::string Value_;
};

} // namespace

// A store that has reached its call limit refuses some of the calls. A listing that restarted after
// each refusal would never end if it has more pages than the store grants calls in a row.
BOOST_DATA_TEST_CASE(AListingEndsThoughTheStoreRefusesSomeCalls, StoreCases, Case) {
  ListFixture List;
  for (int I = 0; I < Records; ++I)
    List.append("key-" + std::to_string(I));
  List.Store_.setFault(Case.Fault_);
  BOOST_TEST(List.readList(Limit));
  BOOST_TEST(List.Seen_.size() == static_cast<std::size_t>(Records));
}

// Guards against a gateway that never gets past a page of the list whose last entry has an odd key.
BOOST_DATA_TEST_CASE(AListingContinuesAfterAnyKey, KeyCases, Case) {
  ListFixture List;
  // The odd key is the last one of the first page.
  for (const char *Key : {"a", "b", "c", "d", "y", "z"})
    List.append(Key);
  List.append(Case.Key_);
  BOOST_TEST(List.readList(std::chrono::seconds(5)));
  BOOST_TEST(List.Seen_.size() == 7U);
}

// Guards against a gateway that waits for the answer to a read that it has given up, takes that for
// a failure of the store, or reads records twice.
BOOST_AUTO_TEST_CASE(AReadThatIsGivenUpIsReplaced) {
  ListFixture List;
  List.append("a");
  HttpClient Client(List.Loop_);
  StoreClient Calls(List.Time_, Client, List.Metrics_, List.Server_.address());
  std::vector<std::string> Keys;
  std::size_t Failures = 0;
  const Duration Wait = std::chrono::seconds(20);
  TopicFollower::Handlers Callbacks;
  Callbacks.OnRecord_ = [&](const KeyedRecord &Record) { Keys.push_back(Record.Key_); };
  Callbacks.OnComplete_ = [&] { List.Store_.setFault(StoreFault::Silent); };
  Callbacks.OnCallEnded_ = [&](std::error_code Failure, TimePoint) { Failures += Failure ? 1 : 0; };
  Callbacks.OnRead_ = [&](std::uint64_t) { List.Loop_.stop(); };
  TopicFollower Follower(List.Loop_, List.Time_, Calls, topic::Endpoints, {Wait, Wait}, Callbacks);
  Follower.start();
  // The listing is answered, and the read after it is not.
  List.Loop_.run_for(std::chrono::milliseconds(500));
  BOOST_TEST(!Follower.isIdle());
  List.Store_.setFault(StoreFault::None);
  List.append("b");
  Follower.readAnew();
  List.Loop_.restart();
  List.Loop_.run_for(std::chrono::seconds(10));
  BOOST_TEST(List.Loop_.stopped());
  List.Loop_.restart();
  List.Loop_.run_for(std::chrono::milliseconds(100));
  BOOST_TEST(Keys == std::vector<std::string>({"a", "b"}), boost::test_tools::per_element());
  BOOST_TEST(Failures == 0U);
  BOOST_TEST(Follower.position() == 2U);
}

// Guards against a configuration that comes into force late at a gateway that reads alone, since
// the connection of its waiting read is lost while new ones work.
BOOST_DATA_TEST_CASE(ALostReadDelaysNoRecord, LostReadCases, Case) {
  ListFixture List;
  HttpClient Client(List.Loop_);
  StoreClient Calls(List.Time_, Client, List.Metrics_, List.Server_.address());
  TopicFollower::Handlers Callbacks;
  Callbacks.OnRecord_ = [&](const KeyedRecord &) { List.Loop_.stop(); };
  // The read after the listing is never answered.
  Callbacks.OnComplete_ = [&] { List.Store_.setFault(StoreFault::Silent); };
  Callbacks.OnCallEnded_ = [](std::error_code, TimePoint) {};
  TopicFollower Follower(List.Loop_, List.Time_, Calls, topic::Endpoints,
                         configPollTiming(Case.Bounds_), Callbacks);
  Follower.start();
  List.Loop_.run_for(std::chrono::milliseconds(50));
  List.Store_.setFault(StoreFault::None);
  List.append("a");
  List.Loop_.run_for(Case.Bounds_.Configuration_);
  BOOST_TEST(List.Loop_.stopped());
}

// Guards against a gateway that tries ever more seldom to read from a store that lost its answers,
// and so knows late of what was written meanwhile.
BOOST_DATA_TEST_CASE(RecordsAreReadSoonAfterASilentOutage, OutageCases, Case) {
  ListFixture List;
  HttpClient Client(List.Loop_);
  StoreClient Calls(List.Time_, Client, List.Metrics_, List.Server_.address());
  TopicFollower::Handlers Callbacks;
  Callbacks.OnRecord_ = [&](const KeyedRecord &) { List.Loop_.stop(); };
  // The read after the listing is the first one without an answer.
  Callbacks.OnComplete_ = [&] { List.Store_.setFault(StoreFault::Silent); };
  Callbacks.OnCallEnded_ = [](std::error_code, TimePoint) {};
  const FreshnessBounds Bounds;
  TopicFollower Follower(List.Loop_, List.Time_, Calls, topic::Endpoints, configPollTiming(Bounds),
                         Callbacks);
  Follower.start();
  List.Loop_.run_for(std::chrono::milliseconds(50));
  List.append("a");
  List.Loop_.run_for(Case.Length_);
  BOOST_TEST(!List.Loop_.stopped());
  List.Store_.setFault(StoreFault::None);
  List.Loop_.run_for(Bounds.Configuration_);
  BOOST_TEST(List.Loop_.stopped());
}

// Guards against changes that another gateway has passed on and that are read again, or skipped.
BOOST_AUTO_TEST_CASE(ReadsContinueAfterWhatWasLearnedOtherwise) {
  ListFixture List;
  List.append("a");
  HttpClient Client(List.Loop_);
  StoreClient Calls(List.Time_, Client, List.Metrics_, List.Server_.address());
  std::vector<std::string> Keys;
  TimePoint Due = TimePoint::max();
  TopicFollower::Handlers Callbacks;
  Callbacks.OnRecord_ = [&](const KeyedRecord &Record) { Keys.push_back(Record.Key_); };
  Callbacks.OnComplete_ = [] {};
  Callbacks.OnCallEnded_ = [](std::error_code, TimePoint) {};
  Callbacks.Due_ = [&] { return std::min(Due, List.Time_.now() + std::chrono::hours(1)); };
  TopicFollower Follower(List.Loop_, List.Time_, Calls, topic::Endpoints, {}, Callbacks);
  Follower.start();
  List.Loop_.run_for(std::chrono::milliseconds(500));
  BOOST_REQUIRE(Follower.isIdle());
  List.append("b");
  List.append("c");
  List.append("d");
  Follower.skipTo(3);
  Due = List.Time_.now();
  Follower.reschedule();
  Due = TimePoint::max();
  List.Loop_.restart();
  List.Loop_.run_for(std::chrono::milliseconds(500));
  BOOST_TEST(Keys == std::vector<std::string>({"a", "d"}), boost::test_tools::per_element());
  BOOST_TEST(Follower.position() == 4U);
}

// Guards against records that a follower never reads because the store has given out their offsets
// again.
BOOST_DATA_TEST_CASE(TheNewestRecordIsReadAfterAStoreReturn, EndCases, Case) {
  ListFixture List;
  List.append("a");
  List.Store_.takeCopy();
  HttpClient Client(List.Loop_);
  StoreClient Calls(List.Time_, Client, List.Metrics_, List.Server_.address());
  const Duration Wait = std::chrono::milliseconds(500);
  TopicFollower::Handlers Callbacks;
  Callbacks.OnRecord_ = [&](const KeyedRecord &Record) { List.Seen_.insert(Record.Key_); };
  Callbacks.OnComplete_ = [] {};
  Callbacks.OnCallEnded_ = [](std::error_code, TimePoint) {};
  TopicFollower Follower(List.Loop_, List.Time_, Calls, topic::Endpoints, {Wait, {}}, Callbacks);
  std::size_t Returns = 0;
  Calls.onReturned([&](StoreEra, StoreEra) {
    ++Returns;
    Follower.restart({});
  });
  Follower.start();
  List.Loop_.run_for(std::chrono::milliseconds(100));
  List.append("b");
  List.append("c");
  List.Loop_.run_for(std::chrono::milliseconds(100));
  BOOST_TEST(Follower.position() == 3U);
  List.Store_.returnFromCopy(Case.Reads_);
  for (int I = 1; I < Case.Written_; ++I)
    List.append("again-" + std::to_string(I));
  List.append("newest");
  List.Loop_.run_for(std::chrono::seconds(2));
  BOOST_TEST(List.Seen_.contains("newest"));
  BOOST_TEST(Follower.position() == static_cast<std::uint64_t>(1 + Case.Written_));
  BOOST_TEST(Returns == 1U);
}

// Guards against an era that is taken from a value that can't be read.
BOOST_DATA_TEST_CASE(TheEraIsReadFromItsHeader, HeaderCases, Case) {
  ListFixture List;
  EraHandler Handler(Case.Value_);
  HttpServer Server(List.Loop_, {}, Handler, List.Log_);
  BOOST_REQUIRE(!Server.listen(NetAddress("127.0.0.1:0")));
  HttpClient Client(List.Loop_);
  StoreClient Calls(List.Time_, Client, List.Metrics_, Server.address());
  Calls.read(topic::Endpoints, 0, {}, ConnectionUse::Pooled,
             [&](const Result<LogPage> &) { List.Loop_.stop(); });
  List.Loop_.run_for(Limit);
  BOOST_TEST(Calls.era().has_value() == Case.Era_.has_value());
  if (Case.Era_)
    BOOST_TEST(Calls.era()->value() == *Case.Era_);
  Server.stop();
}
