#include "Tests/System/GatewayDeployment.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <thread>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::size_t Gateways = 4;
constexpr int Readers = 2;
/// Within this time, a removed endpoint gets no more requests and a new configuration is in force.
constexpr Duration Bound = 2s;

SiteOptions desksOnly(int ReaderCount) {
  return {.Engines_ = {{"east", {}}, {"west", {}}}, .StoreReaders_ = ReaderCount};
}

/// What happens to a reader before the store changes.
struct ReaderCase {
  const char *Name_;
  bool Stopped_ = false;
  bool Killed_ = false;
  /// All readers, and not only the owner of the placement.
  bool All_ = false;
  /// The logs of the store lose their records, so that they begin anew.
  bool Truncated_ = false;
};

std::ostream &operator<<(std::ostream &Out, const ReaderCase &Case) { return Out << Case.Name_; }

const ReaderCase ReaderCases[] = {
    {.Name_ = "all readers run"},
    {.Name_ = "a reader is stopped", .Stopped_ = true},
    {.Name_ = "a reader is killed", .Killed_ = true},
    {.Name_ = "all readers are stopped", .Stopped_ = true, .All_ = true},
    {.Name_ = "all readers are killed", .Killed_ = true, .All_ = true},
    {.Name_ = "the store forgets its logs", .Truncated_ = true},
};

/// The sum of the values of a metric, over all of its labels or over one.
double metric(const GatewayDeployment &Deployment, std::size_t Index, const std::string &Name) {
  const std::string Text = "\n" + Deployment.metrics(Index);
  const std::string Wanted = "\nrattancart_gateway_" + Name;
  double Sum = 0;
  for (std::size_t At = Text.find(Wanted); At != std::string::npos; At = Text.find(Wanted, At + 1))
    Sum += std::stod(Text.substr(Text.rfind(' ', Text.find('\n', At + 1)) + 1));
  return Sum;
}

bool reads(const GatewayDeployment &Deployment, std::size_t Index) {
  return metric(Deployment, Index, "store_reader ") > 0;
}

/// Waits until two gateways read and the others have heard from them.
void awaitReaders(const GatewayDeployment &Deployment) {
  GatewayDeployment::await(
      [&] {
        int Found = 0;
        int Hearing = 0;
        for (std::size_t I = 0; I < Gateways; ++I)
          if (reads(Deployment, I))
            ++Found;
          else if (metric(Deployment, I, "relayed_spans_total{kind=\"applied\"}") > 3)
            ++Hearing;
        return Found == Readers && Hearing == static_cast<int>(Gateways) - Readers;
      },
      "the others to hear from two readers");
}

/// Stops or kills readers as the case says, and returns them.
std::vector<std::size_t> loseReaders(GatewayDeployment &Deployment, const ReaderCase &Case) {
  std::vector<std::size_t> Lost;
  const std::size_t Owner = Deployment.placementOwner("east");
  for (std::size_t I = 0; I < Gateways; ++I)
    if ((Case.Stopped_ || Case.Killed_) && reads(Deployment, I) && (Case.All_ || I == Owner))
      Lost.push_back(I);
  for (const std::size_t I : Lost)
    if (Case.Stopped_)
      Deployment.gateway(I).pause();
    else
      Deployment.gateway(I).kill();
  return Lost;
}

std::vector<std::size_t> othersThan(const std::vector<std::size_t> &Lost) {
  std::vector<std::size_t> Others;
  for (std::size_t I = 0; I < Gateways; ++I)
    if (std::find(Lost.begin(), Lost.end(), I) == Lost.end())
      Others.push_back(I);
  return Others;
}

double readsOfStore(const GatewayDeployment &Deployment, std::size_t Index) {
  return metric(Deployment, Index, "store_calls_total{kind=\"read ");
}

} // namespace

// Guards against bookings at a desk that was removed, and against keys that come into force late,
// because a gateway relies on readers that don't read any more.
BOOST_DATA_TEST_CASE(ChangesTakeEffectThoughReadersAreLost, ReaderCases, Case) {
  GatewayDeployment Deployment(std::vector<std::string>(Gateways, "east"), desksOnly(Readers));
  awaitReaders(Deployment);
  const std::vector<std::size_t> Lost = loseReaders(Deployment, Case);
  if (Case.Truncated_)
    Deployment.site().truncateLogs();
  Deployment.site().unlistDesk("desk-east");
  Deployment.site().writeConfig({"key-1", "key-2"});
  const auto ChangedAt = SteadyClock::now();
  std::ptrdiff_t Late = 0;
  std::size_t Denied = 0;
  std::size_t Calls = 0;
  while (SteadyClock::now() < ChangedAt + 2 * Bound) {
    const bool Due = SteadyClock::now() > ChangedAt + Bound;
    for (const std::size_t I : othersThan(Lost)) {
      const std::string Id = "b" + std::to_string(++Calls);
      const HttpResult Result =
          Deployment.call(I, Id, "POST", site::BookPath, 0, Due ? "key-2" : "key-1");
      Denied += Result.Response_.Status_ == 200U ? 0 : 1;
      const auto Desks = Deployment.site().activity().Executions_[Id];
      Late += Due ? std::count(Desks.begin(), Desks.end(), "desk-east") : 0;
    }
    std::this_thread::sleep_for(10ms);
  }
  BOOST_TEST(Late == 0);
  BOOST_TEST(Denied == 0U);
  for (const std::size_t I : Lost)
    Deployment.gateway(I).resume();
}

// Guards against streams that are sent to a leaving engine, because a gateway relies on readers
// that don't read any more.
BOOST_DATA_TEST_CASE(ALeavingEngineIsKnownThoughReadersAreLost, ReaderCases, Case) {
  SiteOptions Options = desksOnly(Readers);
  Options.Engines_ = {{"east", {{"h100", 1}, {"l4", 8}}}};
  GatewayDeployment Deployment(std::vector<std::string>(Gateways, "east"), Options);
  awaitReaders(Deployment);
  const std::string Engine = Deployment.site().layers().begin()->first;
  const std::vector<std::size_t> Lost = loseReaders(Deployment, Case);
  if (Case.Truncated_)
    Deployment.site().truncateLogs();
  Deployment.site().drainEngine(Engine);
  std::this_thread::sleep_for(Bound);
  for (const std::size_t I : othersThan(Lost))
    BOOST_TEST(Deployment.seesEndpointLeaving(I, Engine));
  for (const std::size_t I : Lost)
    Deployment.gateway(I).resume();
}

// Guards against a stopped reader that goes on and vouches for what it read before.
BOOST_AUTO_TEST_CASE(AReaderThatGoesOnMisleadsNobody) {
  GatewayDeployment Deployment(std::vector<std::string>(Gateways, "east"), desksOnly(Readers));
  awaitReaders(Deployment);
  const std::size_t Owner = Deployment.placementOwner("east");
  Deployment.gateway(Owner).pause();
  std::this_thread::sleep_for(1s);
  Deployment.site().unlistDesk("desk-east");
  const auto Live = [&](std::size_t Index) {
    return metric(Deployment, Index, "endpoints{data_center=\"east\",state=\"live\"}");
  };
  for (std::size_t I = 0; I < Gateways; ++I)
    if (I != Owner)
      GatewayDeployment::await([&] { return Live(I) == 0; }, "the removal to be known");
  Deployment.gateway(Owner).resume();
  for (int Check = 0; Check < 100; ++Check) {
    for (std::size_t I = 0; I < Gateways; ++I)
      if (I != Owner)
        BOOST_TEST(Live(I) == 0);
    std::this_thread::sleep_for(20ms);
  }
  GatewayDeployment::await([&] { return Live(Owner) == 0; }, "the reader to know it too");
}

// Guards against receivers that read the store as often as without readers, and against a list that
// differs from that of the readers.
BOOST_AUTO_TEST_CASE(ReceiversSeldomReadTheStore) {
  GatewayDeployment Deployment(std::vector<std::string>(Gateways, "east"), desksOnly(Readers));
  awaitReaders(Deployment);
  std::vector<double> Before;
  for (std::size_t I = 0; I < Gateways; ++I)
    Before.push_back(readsOfStore(Deployment, I));
  std::this_thread::sleep_for(6s);
  double ByReaders = 0;
  double ByOthers = 0;
  for (std::size_t I = 0; I < Gateways; ++I) {
    (reads(Deployment, I) ? ByReaders : ByOthers) += readsOfStore(Deployment, I) - Before[I];
    BOOST_TEST(metric(Deployment, I, "store_reads_total{kind=\"list diverged\"}") == 0);
  }
  BOOST_TEST_MESSAGE("reads in 6 s by readers: " << ByReaders << ", by others: " << ByOthers);
  BOOST_TEST(ByReaders > 0);
  BOOST_TEST(ByOthers * 4 < ByReaders);
}

// Guards against gateways that rely on readers although all of them read.
BOOST_AUTO_TEST_CASE(NoMoreGatewaysThanReadersReadForThemselves) {
  GatewayDeployment Deployment({"east", "east", "west"}, desksOnly(Readers));
  std::this_thread::sleep_for(3s);
  for (std::size_t I = 0; I < 3; ++I) {
    BOOST_TEST(!reads(Deployment, I));
    BOOST_TEST(metric(Deployment, I, "relayed_spans_total") == 0);
  }
}
