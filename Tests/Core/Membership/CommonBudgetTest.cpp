#include "Core/Membership/GatewayCountEstimator.h"
#include "Core/Recovery/RetryShare.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 100ms;
constexpr Duration RunTime = 100s;
constexpr RetryShareOptions Budget{.Ratio_ = 0.2, .Extra_ = 120, .Window_ = 10s};
/// How long a membership and a subscription last, and how long it takes to notice a lost store.
constexpr Duration JoinTime = 3s;
constexpr Duration SubscriptionTime = 3500ms;
constexpr Duration NoticeTime = 3s;
const std::vector<DataCenterId> DataCenters{DataCenterId("a"), DataCenterId("b"),
                                            DataCenterId("c")};
const ServiceId Service("s");
const TimePoint Start{1h};

struct Gateway {
  std::size_t DataCenter_ = 0;
  std::unique_ptr<RetryShare> Share_;
  std::unique_ptr<GatewayCountEstimator> Estimator_;
  TimePoint RestartedAt_{};
  TimePoint FrozenUntil_{};
  /// Gateways in different network partitions don't receive each other's messages.
  int Partition_ = 0;
  bool ReachesStore_ = true;
  TimePoint StoreReachedAt_{};
  /// Whether datagrams from others are lost.
  bool LosesDatagrams_ = false;
  /// When each gateway last subscribed to this one.
  std::map<std::size_t, TimePoint> Subscribers_;
};

/// Gateways of three data centres learn of each other through owners and spend one budget as fast
/// as they may, while they are cut off, restarted, frozen, or lose datagrams.
class BudgetSimulation {
public:
  BudgetSimulation(unsigned Seed, GatewayCountOptions Options) : Random_(Seed), Options_(Options) {
    const std::size_t PerDataCenter = 4 + Random_() % 8;
    for (std::size_t I = 0; I < DataCenters.size() * PerDataCenter; ++I) {
      Gateways_.emplace_back().DataCenter_ = I % DataCenters.size();
      restart(I, Start);
    }
  }

  /// Runs the simulation; returns the largest number of retries beyond the budget in any window.
  double worstExcess() {
    double Worst = -Budget.Extra_;
    for (TimePoint Now = Start; Now < Start + RunTime; Now += Step) {
      if (Random_() % 60 == 0)
        injectFault(Now);
      for (std::size_t I = 0; I < Gateways_.size(); ++I)
        if (Now >= Gateways_[I].FrozenUntil_)
          runGateway(I, Now);
      Worst = std::max(Worst, excess(Now));
    }
    return Worst;
  }

private:
  bool oneIn(unsigned Total) { return Random_() % Total == 0; }

  void restart(std::size_t Index, TimePoint Now) {
    Gateway &Each = Gateways_[Index];
    Each.Share_ = std::make_unique<RetryShare>(Budget, Now);
    Each.Estimator_ = std::make_unique<GatewayCountEstimator>(
        DataCenters, DataCenters[Each.DataCenter_], Options_);
    Each.RestartedAt_ = Now;
    Each.StoreReachedAt_ = Now;
    Each.Subscribers_.clear();
  }

  void injectFault(TimePoint Now) {
    const std::size_t DataCenter = Random_() % DataCenters.size();
    const bool All = oneIn(8);
    const unsigned Kind = Random_() % 7;
    const Duration Length = std::chrono::seconds(1 + Random_() % 8);
    for (std::size_t I = 0; I < Gateways_.size(); ++I) {
      Gateway &Each = Gateways_[I];
      const bool Some = oneIn(3);
      if (Kind == 0 && (Some || All))
        restart(I, Now);
      else if (Kind == 1 && Some)
        Each.FrozenUntil_ = Now + Length;
      else if (Kind == 2)
        Each.LosesDatagrams_ = Some;
      else if (Kind == 3 &&
               Each.DataCenter_ == DataCenter) { // partitioned, with or without the store
        Each.Partition_ = 1;
        Each.ReachesStore_ = All;
      } else if (Kind == 4 && Some) {
        Each.Partition_ = 2;
        Each.ReachesStore_ = All;
      } else if (Kind == 5 && (Some || All))
        Each.ReachesStore_ = false;
      else if (Kind == 6) {
        Each.Partition_ = 0;
        Each.ReachesStore_ = true;
        Each.LosesDatagrams_ = false;
      }
    }
  }

  bool hears(const Gateway &To, const Gateway &From, TimePoint Now) {
    return To.Partition_ == From.Partition_ && !To.LosesDatagrams_ && Now >= To.FrozenUntil_ &&
           Now >= From.FrozenUntil_ && !oneIn(5);
  }

  /// The gateway that the store names as owner, if any has been a member recently.
  std::optional<std::size_t> ownerOf(std::size_t DataCenter, TimePoint Now) const {
    for (std::size_t I = 0; I < Gateways_.size(); ++I)
      if (Gateways_[I].DataCenter_ == DataCenter && Now - Gateways_[I].StoreReachedAt_ < JoinTime)
        return I;
    return std::nullopt;
  }

  void runGateway(std::size_t Index, TimePoint Now) {
    Gateway &Each = Gateways_[Index];
    if (Each.ReachesStore_)
      Each.StoreReachedAt_ = Now;
    Each.Estimator_->setStoreReachable(Now - Each.StoreReachedAt_ < NoticeTime, Now);
    if ((Now - Start) % 600ms == 0ms)
      exchangeCounts(Index, Now);
    Each.Share_->setProcesses(Each.Estimator_->count(Now).Gateways_);
    for (unsigned I = Random_() % 3; I > 1; --I) {
      Each.Share_->onFirstSend(Service, Now);
      FirstSends_.push_back(Now);
    }
    // Retry storms begin and end every seven seconds.
    while ((Now - Start) / 7s % 2 == 1 && Each.Share_->tryRetry(Service, Now))
      Repeats_.push_back(Now);
  }

  /// Subscribes to all owners. If the gateway owns its data centre or acts for an owner that it
  /// can't look up, sends the number of gateways there to its subscribers.
  void exchangeCounts(std::size_t Index, TimePoint Now) {
    Gateway &Each = Gateways_[Index];
    for (std::size_t DataCenter = 0; DataCenter < DataCenters.size(); ++DataCenter) {
      const auto Owner = ownerOf(DataCenter, Now);
      if (Each.ReachesStore_)
        Each.Estimator_->onOwnerLookup(DataCenters[DataCenter], Owner.has_value(), Now);
      if (Owner && hears(Gateways_[*Owner], Each, Now))
        Gateways_[*Owner].Subscribers_[Index] = Now;
    }
    const bool Owns = ownerOf(Each.DataCenter_, Now) == Index;
    const bool ActsForOwner = Now - Each.StoreReachedAt_ > NoticeTime && Index % 4 == 0;
    if (!Owns && !ActsForOwner)
      return;
    std::erase_if(Each.Subscribers_, [&](const auto &Known) {
      return Known.first == Index || Now - Known.second > SubscriptionTime;
    });
    const auto Count = static_cast<std::uint32_t>(
        1 +
        std::count_if(Each.Subscribers_.begin(), Each.Subscribers_.end(), [&](const auto &Known) {
          return Gateways_[Known.first].DataCenter_ == Each.DataCenter_;
        }));
    Each.Estimator_->onCountReported(DataCenters[Each.DataCenter_], Count, Now);
    for (const auto &[Other, At] : Each.Subscribers_)
      if (hears(Gateways_[Other], Each, Now))
        Gateways_[Other].Estimator_->onCountReported(DataCenters[Each.DataCenter_], Count, Now);
  }

  /// The number of retries beyond the budget in the window that ends now.
  double excess(TimePoint Now) {
    while (!FirstSends_.empty() && Now - FirstSends_.front() > Budget.Window_)
      FirstSends_.pop_front();
    while (!Repeats_.empty() && Now - Repeats_.front() >= Budget.Window_)
      Repeats_.pop_front();
    // The budget counts the first sends of this window or of one that ended in it.
    FirstSendCounts_.push_back(FirstSends_.size());
    if (FirstSendCounts_.size() > static_cast<std::size_t>(Budget.Window_ / Step))
      FirstSendCounts_.pop_front();
    const auto Most = *std::max_element(FirstSendCounts_.begin(), FirstSendCounts_.end());
    return static_cast<double>(Repeats_.size()) -
           (Budget.Ratio_ * static_cast<double>(Most) + Budget.Extra_);
  }

  std::mt19937 Random_;
  GatewayCountOptions Options_;
  std::vector<Gateway> Gateways_;
  std::deque<TimePoint> FirstSends_;
  std::deque<TimePoint> Repeats_;
  std::deque<std::size_t> FirstSendCounts_;
};

/// The number of random schedules to run.
unsigned schedules() {
  const char *Text = std::getenv("RATTANCART_SCHEDULES");
  return Text ? static_cast<unsigned>(std::strtoul(Text, nullptr, 10)) : 200;
}

/// Timeouts with which the simulation must find a window that exceeds the budget.
struct FaultyOptionsCase {
  const char *Name_;
  GatewayCountOptions Options_;
};

std::ostream &operator<<(std::ostream &Out, const FaultyOptionsCase &Case) {
  return Out << Case.Name_;
}

const FaultyOptionsCase FaultyOptionsCases[] = {
    {"gateways are dropped from the count at once",
     {.SettleTime_ = 0s, .ResettleTime_ = 0s, .RetentionTime_ = 1s}},
    {"counts are relied on at once", {.SettleTime_ = 0s, .ResettleTime_ = 0s}},
    {"gateways that are cut off keep spending", {.MaxSilence_ = 10min, .OwnerlessTimeout_ = 10s}},
};

} // namespace

BOOST_AUTO_TEST_CASE(GatewaysThatCannotHearEachOtherKeepTheCommonBudget) {
  for (unsigned Seed = 1; Seed <= schedules(); ++Seed)
    BOOST_TEST(BudgetSimulation(Seed, {}).worstExcess() <= 0, "seed " << Seed);
}

BOOST_DATA_TEST_CASE(FaultyOptionsAreDetected, FaultyOptionsCases, Case) {
  bool Detected = false;
  for (unsigned Seed = 1; Seed <= 200 && !Detected; ++Seed)
    Detected = BudgetSimulation(Seed, Case.Options_).worstExcess() > 0;
  BOOST_TEST(Detected);
}
