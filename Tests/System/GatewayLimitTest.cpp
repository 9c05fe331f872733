#include "History/ArrivalWindow.h"
#include "Tests/System/GatewayDeployment.h"
#include "Tests/System/LookupCallers.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <set>
#include <thread>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

constexpr double LimitPerSecond = 10;
/// The users' rule: from StableWindow after the first answer with a limit, no window of 4 s has
/// more than one and a half times what the limit allows, and 5 requests.
constexpr history::ArrivalLimit Rule{
    .PerSecond_ = LimitPerSecond, .Tolerance_ = 1.5, .Burst_ = 5, .Window_ = 4s};
constexpr Duration StableWindow = 3s;
constexpr Duration LimitedTime = 12s;
/// Time from the first answer without a limit until the desk is used as before.
constexpr Duration RecoveryTime = 4s;

struct LimitCase {
  const char *Name_;
  bool AllAtOneGateway_ = false;
  /// A gateway is stopped, continued, reloaded and replaced while the limit is in force.
  bool Disturbed_ = false;
};

std::ostream &operator<<(std::ostream &Out, const LimitCase &Case) { return Out << Case.Name_; }

const LimitCase LimitCases[] = {
    {"even load"},
    {"all callers at one gateway", true},
    {"gateways are stopped, reloaded and killed", false, true},
};

std::vector<TimePoint> arrivalsAt(const ActivityLog &Activity, const std::string &Desk,
                                  TimePoint From, TimePoint To) {
  std::vector<TimePoint> Arrivals;
  for (const ReceivedRequest &Each : Activity.Arrivals_)
    if (Each.Endpoint_ == Desk && Each.At_ >= From && Each.At_ < To)
      Arrivals.push_back(Each.At_);
  return Arrivals;
}

double perSecond(std::size_t Count, Duration Time) {
  return static_cast<double>(Count) / std::chrono::duration<double>(Time).count();
}

SiteOptions siteWithoutEngines() {
  SiteOptions Options{{{"east", {}}, {"west", {}}}};
  Options.Retries_.Window_ = 2s;
  return Options;
}

} // namespace

BOOST_DATA_TEST_CASE(ADeskGetsMoreThanTheLimitThatItNames, LimitCases, Case) {
  GatewayDeployment Deployment({"east", "east", "west"}, siteWithoutEngines());
  const SystemClock Time;
  LookupCallers Callers(Deployment, 6, 50ms);
  if (Case.AllAtOneGateway_)
    Callers.moveAllTo(0);
  std::this_thread::sleep_for(4s);
  Deployment.site().setDeskLimit("desk-east", LimitPerSecond);
  const TimePoint Named = Time.now();
  if (Case.Disturbed_) {
    std::this_thread::sleep_for(StableWindow);
    Deployment.gateway(1).pause();
    std::this_thread::sleep_for(2s);
    Deployment.gateway(1).resume();
    Deployment.gateway(0).hangUp();
    std::this_thread::sleep_for(1s);
    Deployment.gateway(2).kill();
    Deployment.restart(2);
  }
  std::this_thread::sleep_until(Named + LimitedTime);
  Deployment.site().setDeskLimit("desk-east", std::nullopt);
  const TimePoint Ended = Time.now();
  std::this_thread::sleep_for(RecoveryTime + 2s);
  const std::vector<SentLookup> Sent = Callers.stop();
  const ActivityLog Activity = Deployment.site().activity();

  const auto Limited = arrivalsAt(Activity, "desk-east", Named + StableWindow, Ended);
  const history::WorstWindow Worst = history::findWorstRateWindow(Limited, Rule);
  BOOST_TEST_MESSAGE(Case.Name_ << ": at most " << Worst.Arrivals_ << " in 4 s, "
                                << perSecond(Limited.size(), LimitedTime - StableWindow)
                                << " a second");
  BOOST_TEST(Worst.excess() <= 0,
             Worst.Arrivals_ << " requests in 4 s where " << Worst.Allowed_ << " are allowed");
  BOOST_TEST(perSecond(Limited.size(), LimitedTime - StableWindow) >= LimitPerSecond / 2);
  const auto After =
      arrivalsAt(Activity, "desk-east", Ended + RecoveryTime, Ended + RecoveryTime + 2s);
  BOOST_TEST(perSecond(After.size(), 2s) > 2 * LimitPerSecond);
  // The other desk takes what the limit leaves out.
  if (!Case.Disturbed_)
    BOOST_TEST(std::all_of(Sent.begin(), Sent.end(),
                           [](const SentLookup &Each) { return Each.Status_ == 200; }));
}

BOOST_AUTO_TEST_CASE(RequestsWaitOrRunThoughTheLimitsOfAllDesksLeaveNoRoom) {
  GatewayDeployment Deployment({"east", "east", "west"}, siteWithoutEngines());
  for (const char *Desk : {"desk-east", "desk-west"})
    Deployment.site().setDeskLimit(Desk, LimitPerSecond);
  LookupCallers Callers(Deployment, 6, 50ms);
  std::this_thread::sleep_for(8s);
  const std::vector<SentLookup> Sent = Callers.stop();
  std::set<std::string> Arrived;
  for (const ReceivedRequest &Each : Deployment.site().activity().Arrivals_)
    Arrived.insert(Each.Id_);
  std::size_t Refused = 0;
  for (const SentLookup &Each : Sent) {
    if (Each.Status_ == 200)
      continue;
    ++Refused;
    BOOST_TEST(Each.Status_ == 503U);
    BOOST_TEST(!Arrived.contains(Each.Id_));
  }
  BOOST_TEST(Refused > Sent.size() / 2);
}
