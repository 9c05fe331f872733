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

/// The fields of another writer's entries that are as the platform writes them, and the others.
const std::string UsualFields =
    R"({"service":"desk","zone":"east","version":"v1","state":"ready","cold_left_ms":0,)";
const std::string OddFields[] = {
    R"("slots":6,"sequence":1,"address":"127.0.0.9:99999"})",
    R"("slots":6,"sequence":1,"address":"127.0.0.9:0"})",
    R"("slots":6,"sequence":1,"address":"127.0.0.9:80x"})",
    R"("slots":6,"sequence":1,"address":"[::1"})",
    R"("slots":6,"sequence":1,"address":":"})",
    R"("slots":1e308,"sequence":1,"address":"127.0.0.9:9"})",
    R"("slots":18446744073709551616,"sequence":1,"address":"127.0.0.9:9"})",
    R"("slots":6,"sequence":1e999,"address":"127.0.0.9:9"})",
    R"("slots":6,"sequence":1,"address":"127.0.0.9:9","extra":)" + std::string(100'000, '[') +
        std::string(100'000, ']') + "}",
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

// Guards against entries of another writer that end the gateway, that it takes for desks, or after
// which it follows the list no more.
BOOST_AUTO_TEST_CASE(ForeignEntriesAreNoDesks) {
  GatewayDeployment Deployment({"east"}, DesksOnly);
  int Number = 0;
  for (const std::string &Fields : OddFields)
    Deployment.site().writeForeignEntry("foreign#" + std::to_string(Number++),
                                        UsualFields + Fields);
  const auto BookEach = [&](const std::string &Round) {
    for (int Call = 0; Call < 30; ++Call)
      BOOST_TEST(Deployment.call(0, Round + std::to_string(Call), "POST", site::BookPath)
                     .Response_.Status_ == 200U);
  };
  const auto Rejected = [&] {
    const std::string Text = Deployment.metrics(0);
    const std::string Name = "store_records_rejected_total{kind=\"endpoint\"} ";
    const std::size_t At = Text.find(Name);
    return At == std::string::npos ? 0 : std::stoul(Text.substr(At + Name.size()));
  };
  GatewayDeployment::await([&] { return Rejected() >= std::size(OddFields); },
                           "the gateway to read the entries");
  BookEach("running-");
  Deployment.gateway(0).kill();
  Deployment.restart(0);
  GatewayDeployment::await([&] { return Rejected() >= std::size(OddFields); },
                           "the gateway to read the entries again");
  BookEach("restarted-");
  // The gateway still follows the list.
  Deployment.site().unlistDesk("desk-east");
  GatewayDeployment::await(
      [&] { return Deployment.metrics(0).find("state=\"live\"} 1\n") != std::string::npos; },
      "the gateway to know that a desk has left");
  BookEach("left-");
}
