#include "Tests/System/GatewayDeployment.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <thread>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

using SteadyClock = std::chrono::steady_clock;

/// Within this time, a new configuration is in force.
constexpr Duration Bound = 2s;

/// A large configuration that changes, and a store whose reads share one rate.
struct SpreadCase {
  const char *Name_;
  std::size_t Gateways_;
  int Routes_;
  std::size_t BytesPerSecond_;
  /// Versions in a row, this long after each other.
  int Versions_ = 1;
  Duration Gap_{};
  int Readers_ = 2;
  /// The owner of the placement, which is a reader, is killed just before.
  bool ReaderKilled_ = false;
  /// The connections of all reads that wait in the store are lost just before.
  bool ReadsLost_ = false;
  /// A gateway is killed just before and started again.
  bool Restarted_ = false;
};

std::ostream &operator<<(std::ostream &Out, const SpreadCase &Case) { return Out << Case.Name_; }

const SpreadCase SpreadCases[] = {
    {"one version", 10, 2500, 1'500'000},
    {"three versions in a row", 10, 2500, 4'000'000, 3, 400ms},
    {.Name_ = "a reader is killed",
     .Gateways_ = 10,
     .Routes_ = 2500,
     .BytesPerSecond_ = 1'500'000,
     .ReaderKilled_ = true},
    {.Name_ = "connections to the store are lost",
     .Gateways_ = 10,
     .Routes_ = 2500,
     .BytesPerSecond_ = 6'000'000,
     .ReadsLost_ = true},
    {.Name_ = "connections of gateways that read alone are lost",
     .Gateways_ = 3,
     .Routes_ = 500,
     .BytesPerSecond_ = 6'000'000,
     .Readers_ = 0,
     .ReadsLost_ = true},
    {.Name_ = "a gateway has just started",
     .Gateways_ = 10,
     .Routes_ = 2500,
     .BytesPerSecond_ = 6'000'000,
     .Restarted_ = true},
};

/// Waits until all gateways know which of them read the store.
void awaitReaders(const GatewayDeployment &Deployment, int Readers) {
  if (Readers == 0)
    return;
  GatewayDeployment::await(
      [&] {
        std::size_t Receivers = 0;
        for (std::size_t I = 0; I < Deployment.size(); ++I) {
          const std::string Text = Deployment.metrics(I);
          Receivers += Text.find("relayed_spans_total{kind=\"applied\"}") != std::string::npos;
        }
        return Receivers == Deployment.size() - static_cast<std::size_t>(Readers);
      },
      "the others to hear from two readers");
}

} // namespace

// Guards against routes that are answered with 404 since all gateways read a large configuration
// from the store at the same moment.
BOOST_DATA_TEST_CASE(ALargeConfigurationIsInForceInTimeAtAllGateways, SpreadCases, Case) {
  GatewayDeployment Deployment(std::vector<std::string>(Case.Gateways_, "east"),
                               {.Engines_ = {{"east", {}}}, .StoreReaders_ = Case.Readers_});
  Deployment.site().setUnusedRoutes(Case.Routes_);
  Deployment.site().addRoute();
  awaitReaders(Deployment, Case.Readers_);
  std::this_thread::sleep_for(2s);
  const std::uint64_t ReadBefore = Deployment.site().storeReadBytes();
  Deployment.site().setStoreReadRate(Case.BytesPerSecond_);
  const std::size_t Owner = Deployment.placementOwner("east");
  if (Case.ReaderKilled_)
    Deployment.gateway(Owner).kill();
  const std::size_t Other = (Owner + 1) % Deployment.size();
  if (Case.Restarted_) {
    Deployment.gateway(Other).kill();
    Deployment.restart(Other);
  }
  if (Case.ReadsLost_)
    Deployment.site().loseWaitingStoreReads();
  std::uint64_t Version = 0;
  for (int I = 0; I < Case.Versions_; ++I) {
    if (I > 0)
      std::this_thread::sleep_for(Case.Gap_);
    Version = Deployment.site().addRoute();
  }
  std::this_thread::sleep_until(SteadyClock::now() + Bound);
  for (std::size_t I = 0; I < Deployment.size(); ++I) {
    if (Case.ReaderKilled_ && I == Owner)
      continue;
    const HttpResult Result =
        Deployment.call(I, "c" + std::to_string(I), "GET", site::addedRoutePath(Version).c_str());
    BOOST_TEST(Result.Response_.Status_ == 200U);
  }
  BOOST_TEST_MESSAGE("the store sent " << Deployment.site().storeReadBytes() - ReadBefore
                                       << " bytes");
}
