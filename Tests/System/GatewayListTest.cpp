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

/// Only the desks matter here.
const SiteOptions DesksOnly{.Engines_ = {{"east", {}}, {"west", {}}}};
/// An endpoint serves on for this long after its entry was removed.
constexpr Duration Leaving = 2s;

struct OutageCase {
  const char *Name_;
  StoreFault Fault_;
};

std::ostream &operator<<(std::ostream &Out, const OutageCase &Case) { return Out << Case.Name_; }

const OutageCase OutageCases[] = {
    {"the store was silent", StoreFault::Silent},
    {"the store refused calls", StoreFault::Unavailable},
    {"the store was always there", StoreFault::None},
};

} // namespace

// Guards against bookings that reach a desk which left as planned soon after the gateway had lost
// the store for a while (review/1).
BOOST_DATA_TEST_CASE(ADeskThatLeavesAfterAnOutageGetsNoLateBookings, OutageCases, Case) {
  GatewayDeployment Deployment({"east"}, DesksOnly);
  const auto Reachable = [&](bool Expected) {
    return Deployment.metrics(0).find(Expected ? "gateway_store_reachable 1"
                                               : "gateway_store_reachable 0") != std::string::npos;
  };
  if (Case.Fault_ != StoreFault::None) {
    Deployment.site().setStoreFault(Case.Fault_);
    GatewayDeployment::await([&] { return Reachable(false); }, "the gateway to lose the store");
    Deployment.site().setStoreFault(StoreFault::None);
    GatewayDeployment::await([&] { return Reachable(true); }, "the gateway to regain the store");
  }
  Deployment.site().unlistDesk("desk-east");
  const auto LeftAt = SteadyClock::now();
  std::ptrdiff_t Late = 0;
  for (int Call = 0; SteadyClock::now() < LeftAt + 2 * Leaving; ++Call) {
    const bool AfterLeaving = SteadyClock::now() > LeftAt + Leaving;
    const std::string Id = "b" + std::to_string(Call);
    const HttpResult Result = Deployment.call(0, Id, "POST", site::BookPath);
    BOOST_TEST(Result.Response_.Status_ == 200U);
    const auto Desks = Deployment.site().activity().Executions_[Id];
    Late += AfterLeaving ? std::count(Desks.begin(), Desks.end(), "desk-east") : 0;
    std::this_thread::sleep_for(10ms);
  }
  BOOST_TEST(Late == 0);
}
