#include "Process/MetricSet.h"
#include "StandIns/Site/FakeStoreHandler.h"
#include "platform/StoreClient.h"
#include "platform/TopicFollower.h"
#include "platform/WireNames.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

using namespace rattancart;
using namespace rattancart::platform;
using namespace std::chrono_literals;

namespace {

/// Within this time, a new configuration must be in force if the store can deliver it so fast.
constexpr Duration Bound = 3s;

/// How long the store holds a read that finds no record.
constexpr Duration HeldRead = 1s;

/// Gateways that read versions of the configuration from a store whose reads share one rate.
struct LoadCase {
  const char *Name_;
  std::size_t Gateways_;
  std::size_t VersionBytes_;
  std::size_t BytesPerSecond_;
  int Versions_ = 1;
  Duration Gap_{};

  /// How long the store takes to send each version to each gateway once.
  Duration transferTime() const {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        static_cast<double>(Gateways_ * VersionBytes_) * Versions_ / BytesPerSecond_));
  }
};

std::ostream &operator<<(std::ostream &Out, const LoadCase &Case) { return Out << Case.Name_; }

const LoadCase LoadCases[] = {
    {"transfers of 0.5 s", 24, 250'000, 12'000'000},
    {"transfers of 1.5 s", 24, 250'000, 4'000'000},
    {"transfers of 4 s", 24, 250'000, 1'500'000},
    {"many gateways, transfers of 2 s", 120, 50'000, 3'000'000},
    {"three versions in a row", 24, 150'000, 4'000'000, 3, 300ms},
    {"three larger versions in a row", 24, 250'000, 4'000'000, 3, 300ms},
};

/// A gateway's reads of the configuration.
class ConfigReader {
public:
  ConfigReader(boost::asio::io_context &Loop, const Clock &Time, const NetAddress &Store)
      : Client_(Loop), Calls_(Time, Client_, Metrics_, Store),
        Follower_(Loop, Time, Calls_, topic::Operator, {HeldRead, {}}, handlers()) {
    Follower_.start();
  }

  /// The first byte of the newest version.
  char newest() const { return Newest_; }

private:
  TopicFollower::Handlers handlers() {
    TopicFollower::Handlers Callbacks;
    Callbacks.OnRecord_ = [this](const KeyedRecord &Record) { Newest_ = Record.Value_->front(); };
    Callbacks.OnComplete_ = [] {};
    Callbacks.OnCallEnded_ = [](std::error_code, TimePoint) {};
    return Callbacks;
  }

  HttpClient Client_;
  MetricSet Metrics_;
  StoreClient Calls_;
  char Newest_ = 0;
  TopicFollower Follower_;
};

} // namespace

// Guards against gateways that give up reads of a large configuration which a busy store is about
// to answer, and then begin again together.
BOOST_DATA_TEST_CASE(ASaturatedStoreDeliversTheNewestConfiguration, LoadCases, Case) {
  boost::asio::io_context Loop;
  const SystemClock Time;
  NullLogger Log;
  FakeStoreHandler Store(Loop, Time);
  HttpServer Server(Loop, {}, Store, Log);
  BOOST_REQUIRE(!Server.listen(NetAddress("127.0.0.1:0")));
  Store.append(std::string(topic::Operator), {std::string(ConfigKey), "-"});
  std::vector<std::unique_ptr<ConfigReader>> Gateways;
  // Their reads wait in the store since different times.
  for (std::size_t I = 0; I < Case.Gateways_; ++I) {
    Gateways.push_back(std::make_unique<ConfigReader>(Loop, Time, Server.address()));
    Loop.run_for(HeldRead / Case.Gateways_);
  }

  Store.setReadRate(Case.BytesPerSecond_);
  char Newest = 'a';
  for (int I = 0; I < Case.Versions_; ++I) {
    if (I > 0)
      Loop.run_for(Case.Gap_);
    Newest = static_cast<char>('a' + I);
    Store.append(std::string(topic::Operator),
                 {std::string(ConfigKey), std::string(Case.VersionBytes_, Newest)});
  }
  const auto HaveNewest = [&] {
    return std::count_if(Gateways.begin(), Gateways.end(),
                         [&](const auto &Each) { return Each->newest() == Newest; });
  };
  const TimePoint End = Time.now() + std::max(Bound, Case.transferTime() * 3 / 2);
  while (Time.now() < End && HaveNewest() < static_cast<std::ptrdiff_t>(Case.Gateways_))
    Loop.run_for(20ms);
  BOOST_TEST(HaveNewest() == static_cast<std::ptrdiff_t>(Case.Gateways_));
  BOOST_TEST_MESSAGE("the store sent " << Store.readBytes() << " bytes for "
                                       << Case.Gateways_ * Case.VersionBytes_ * Case.Versions_);
  Server.stop();
}
