#include "Tests/System/GatewayDeployment.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <thread>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int Readers = 2;
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
  /// The owner of the placement, which is a reader, is killed just before.
  bool ReaderKilled_ = false;
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
};

/// Waits until all gateways know which of them read the store.
void awaitReaders(const GatewayDeployment &Deployment) {
  GatewayDeployment::await(
      [&] {
        std::size_t Receivers = 0;
        for (std::size_t I = 0; I < Deployment.size(); ++I) {
          const std::string Text = Deployment.metrics(I);
          Receivers += Text.find("relayed_spans_total{kind=\"applied\"}") != std::string::npos;
        }
        return Receivers == Deployment.size() - Readers;
      },
      "the others to hear from two readers");
}

} // namespace

// Guards against routes that are answered with 404 since all gateways read a large configuration
// from the store at the same moment.
BOOST_DATA_TEST_CASE(ALargeConfigurationIsInForceInTimeAtAllGateways, SpreadCases, Case) {
  GatewayDeployment Deployment(std::vector<std::string>(Case.Gateways_, "east"),
                               {.Engines_ = {{"east", {}}}, .StoreReaders_ = Readers});
  Deployment.site().setUnusedRoutes(Case.Routes_);
  Deployment.site().addRoute();
  awaitReaders(Deployment);
  std::this_thread::sleep_for(2s);
  const std::uint64_t ReadBefore = Deployment.site().storeReadBytes();
  Deployment.site().setStoreReadRate(Case.BytesPerSecond_);
  const std::size_t Owner = Deployment.placementOwner("east");
  if (Case.ReaderKilled_)
    Deployment.gateway(Owner).kill();
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
