#include "History/ArrivalWindow.h"
#include "Tests/System/GatewayDeployment.h"
#include "Tests/System/LookupCallers.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <sstream>
#include <thread>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

/// The window is longer than any run of these tests, so that all repeats count in one window.
constexpr RetryShareOptions Budget{.Ratio_ = 0.2, .Extra_ = 60, .Window_ = 10min};

/// What happens to each gateway between two rounds of lookups, which fail at every desk (the
/// service that answers them).
struct BudgetCase {
  const char *Name_;
  std::size_t Gateways_;
  int Rounds_;
  int Lookups_;
  void (*Between_)(GatewayDeployment &, std::size_t Index);
};

std::ostream &operator<<(std::ostream &Out, const BudgetCase &Case) { return Out << Case.Name_; }

const BudgetCase BudgetCases[] = {
    {"more gateways than any of them knows", 32, 1, 40, [](GatewayDeployment &, std::size_t) {}},
    {"settings are reloaded", 1, 24, 24,
     [](GatewayDeployment &Gateways, std::size_t Index) {
       Gateways.gateway(Index).hangUp();
       Gateways.awaitReload(Index);
     }},
    {"gateway is killed and restarted", 1, 24, 24,
     [](GatewayDeployment &Gateways, std::size_t Index) {
       Gateways.gateway(Index).kill();
       Gateways.restart(Index);
     }},
};

std::vector<history::Arrival> arrivalsOf(const ActivityLog &Activity) {
  std::vector<history::Arrival> Arrivals;
  for (const ReceivedRequest &Each : Activity.Arrivals_)
    Arrivals.push_back({RequestId(Each.Id_), Each.At_});
  return Arrivals;
}

/// The lines of a gateway's metrics that tell how long after their grant repeats were sent.
std::string repeatDelayMetrics(GatewayDeployment &Deployment, std::size_t Index) {
  std::istringstream Metrics(Deployment.metrics(Index));
  std::string Found;
  for (std::string Line; std::getline(Metrics, Line);)
    if (Line.find("repeat_delay_seconds_sum") != std::string::npos ||
        Line.find("repeat_delay_seconds_count") != std::string::npos)
      Found += Line + "; ";
  return Found;
}

std::size_t countRepeats(const ActivityLog &Ledger) {
  std::size_t Count = 0;
  for (const auto &[Id, Runs] : Ledger.Executions_)
    Count += Runs.empty() ? 0 : Runs.size() - 1;
  return Count;
}

} // namespace

BOOST_DATA_TEST_CASE(RepeatsOfAllGatewaysExceedTheCommonBudget, BudgetCases, Case) {
  SiteOptions Options{{{"east", {}}, {"west", {}}}};
  Options.Retries_ = Budget;
  GatewayDeployment Deployment(std::vector<std::string>(Case.Gateways_, "east"), Options);
  Deployment.site().setDeskFault(DeskFault::Fails);
  std::size_t Calls = 0;
  for (int Round = 0; Round < Case.Rounds_; ++Round)
    for (std::size_t Gateway = 0; Gateway < Case.Gateways_; ++Gateway) {
      if (Round > 0)
        Case.Between_(Deployment, Gateway);
      for (int I = 0; I < Case.Lookups_; ++I)
        Deployment.call(Gateway, "lookup-" + std::to_string(++Calls), "GET", site::LookupPath);
    }
  const std::size_t Repeats = countRepeats(Deployment.site().activity());
  BOOST_TEST(Repeats > 0U);
  BOOST_TEST(static_cast<double>(Repeats) <=
             Budget.Ratio_ * static_cast<double>(Calls) + Budget.Extra_);
}

BOOST_AUTO_TEST_CASE(GatewaysOfAllDataCentresAreCountedThroughTheirOwners) {
  SiteOptions Options{{{"east", {}}, {"west", {}}}};
  // The count settles within a window.
  Options.Retries_.Window_ = 500ms;
  const std::vector<std::string> DataCenters{"east", "east", "east", "west", "west"};
  GatewayDeployment Deployment(DataCenters, Options);
  for (std::size_t I = 0; I < DataCenters.size(); ++I)
    GatewayDeployment::await(
        [&] {
          return Deployment.metrics(I).find("rattancart_gateway_retry_budget_gateways 5\n") !=
                 std::string::npos;
        },
        "a gateway to know how many there are");
}

BOOST_AUTO_TEST_CASE(RepeatsExceedTheCommonBudgetWhenCallersMoveAfterALoss) {
  SiteOptions Options{{{"east", {}}, {"west", {}}}};
  Options.Retries_ = {.Ratio_ = 0.2, .Extra_ = 30, .Window_ = 2s};
  GatewayDeployment Deployment({"east", "east", "west"}, Options);
  for (std::size_t I = 0; I < Deployment.size(); ++I)
    GatewayDeployment::await(
        [&] {
          return Deployment.metrics(I).find("rattancart_gateway_retry_budget_gateways 3\n") !=
                 std::string::npos;
        },
        "a gateway to know how many there are");
  LookupCallers Callers(Deployment, 9, 20ms);
  std::this_thread::sleep_for(2500ms);
  Deployment.site().setDeskFault(DeskFault::Refuses);
  std::this_thread::sleep_for(450ms);
  Callers.moveAllTo(0);
  std::this_thread::sleep_for(2s);
  std::vector<TimePoint> Requests;
  for (const SentLookup &Each : Callers.stop())
    Requests.push_back(Each.SentAt_);
  for (std::size_t I = 0; I < Deployment.size(); ++I)
    BOOST_TEST_MESSAGE("gateway " << I << ": " << repeatDelayMetrics(Deployment, I));
  const history::WorstWindow Worst = history::findWorstRepeatWindow(
      Requests, arrivalsOf(Deployment.site().activity()),
      {Options.Retries_.Ratio_, Options.Retries_.Extra_, Options.Retries_.Window_});
  BOOST_TEST(Worst.Arrivals_ > 0U);
  BOOST_TEST(Worst.excess() <= 0, Worst.Arrivals_ << " repeats where " << Worst.Allowed_
                                                  << " are allowed, of " << Requests.size()
                                                  << " requests in all");
}
