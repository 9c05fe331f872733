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
/// Of owners' memberships, subscriptions, bulletins, and of the time until a lost store is noticed.
constexpr Duration JoinTime = 3s;
constexpr Duration SubscriptionTime = 3500ms;
constexpr Duration NoticeTime = 3s;
const std::vector<DataCenterId> Places{DataCenterId("a"), DataCenterId("b"), DataCenterId("c")};
const ServiceId Service("s");
const TimePoint Start{1h};

struct Gateway {
  std::size_t Place_ = 0;
  std::unique_ptr<RetryShare> Share_;
  std::unique_ptr<GatewayCountEstimator> Census_;
  TimePoint RestartedAt_{};
  TimePoint FrozenUntil_{};
  /// Gateways of different sides hear nothing of each other.
  int Side_ = 0;
  bool Store_ = true;
  TimePoint StoreSeenAt_{};
  /// Datagrams of others don't arrive.
  bool Deaf_ = false;
  /// When each gateway subscribed here last.
  std::map<std::size_t, TimePoint> Subscribers_;
};

/// Gateways of three data centres that learn of each other through owners and spend one budget as
/// fast as they may, while they are cut off, killed, frozen, or hear nothing.
class BudgetWorld {
public:
  BudgetWorld(unsigned Seed, GatewayCountOptions Options) : Random_(Seed), Options_(Options) {
    const std::size_t Each = 4 + Random_() % 8;
    for (std::size_t I = 0; I < Places.size() * Each; ++I) {
      Gateways_.emplace_back().Place_ = I % Places.size();
      restart(I, Start);
    }
  }

  /// The most repeats beyond the budget in any window.
  double worstExcess() {
    double Worst = -Budget.Extra_;
    for (TimePoint Now = Start; Now < Start + RunTime; Now += Step) {
      if (Random_() % 60 == 0)
        disturb(Now);
      for (std::size_t I = 0; I < Gateways_.size(); ++I)
        if (Now >= Gateways_[I].FrozenUntil_)
          act(I, Now);
      Worst = std::max(Worst, excess(Now));
    }
    return Worst;
  }

private:
  bool one(unsigned In) { return Random_() % In == 0; }

  void restart(std::size_t Index, TimePoint Now) {
    Gateway &Each = Gateways_[Index];
    Each.Share_ = std::make_unique<RetryShare>(Budget, Now);
    Each.Census_ = std::make_unique<GatewayCountEstimator>(Places, Places[Each.Place_], Options_);
    Each.RestartedAt_ = Now;
    Each.StoreSeenAt_ = Now;
    Each.Subscribers_.clear();
  }

  void disturb(TimePoint Now) {
    const std::size_t Place = Random_() % Places.size();
    const bool All = one(8);
    const unsigned Kind = Random_() % 7;
    const Duration Long = std::chrono::seconds(1 + Random_() % 8);
    for (std::size_t I = 0; I < Gateways_.size(); ++I) {
      Gateway &Each = Gateways_[I];
      const bool Some = one(3);
      if (Kind == 0 && (Some || All))
        restart(I, Now);
      else if (Kind == 1 && Some)
        Each.FrozenUntil_ = Now + Long;
      else if (Kind == 2)
        Each.Deaf_ = Some;
      else if (Kind == 3 && Each.Place_ == Place) { // cut off, with or without the store
        Each.Side_ = 1;
        Each.Store_ = All;
      } else if (Kind == 4 && Some) {
        Each.Side_ = 2;
        Each.Store_ = All;
      } else if (Kind == 5 && (Some || All))
        Each.Store_ = false;
      else if (Kind == 6) {
        Each.Side_ = 0;
        Each.Store_ = true;
        Each.Deaf_ = false;
      }
    }
  }

  bool hears(const Gateway &To, const Gateway &From, TimePoint Now) {
    return To.Side_ == From.Side_ && !To.Deaf_ && Now >= To.FrozenUntil_ &&
           Now >= From.FrozenUntil_ && !one(5);
  }

  /// The gateway that the store names, if any has lately joined.
  std::optional<std::size_t> ownerOf(std::size_t Place, TimePoint Now) const {
    for (std::size_t I = 0; I < Gateways_.size(); ++I)
      if (Gateways_[I].Place_ == Place && Now - Gateways_[I].StoreSeenAt_ < JoinTime)
        return I;
    return std::nullopt;
  }

  void act(std::size_t Index, TimePoint Now) {
    Gateway &Each = Gateways_[Index];
    if (Each.Store_)
      Each.StoreSeenAt_ = Now;
    Each.Census_->setStoreReachable(Now - Each.StoreSeenAt_ < NoticeTime, Now);
    if ((Now - Start) % 600ms == 0ms)
      talk(Index, Now);
    Each.Share_->setProcesses(Each.Census_->count(Now).Gateways_);
    for (unsigned I = Random_() % 3; I > 1; --I) {
      Each.Share_->onFirstSend(Service, Now);
      First_.push_back(Now);
    }
    // Storms of repeats come and go.
    while ((Now - Start) / 7s % 2 == 1 && Each.Share_->tryRepeat(Service, Now))
      Repeats_.push_back(Now);
  }

  /// Subscribes at all owners, and tells others if it owns a data centre or stands in for its
  /// owner.
  void talk(std::size_t Index, TimePoint Now) {
    Gateway &Each = Gateways_[Index];
    for (std::size_t Place = 0; Place < Places.size(); ++Place) {
      const auto Owner = ownerOf(Place, Now);
      if (Each.Store_)
        Each.Census_->onOwnerLookup(Places[Place], Owner.has_value(), Now);
      if (Owner && hears(Gateways_[*Owner], Each, Now))
        Gateways_[*Owner].Subscribers_[Index] = Now;
    }
    const bool Owns = ownerOf(Each.Place_, Now) == Index;
    const bool StandsIn = Now - Each.StoreSeenAt_ > NoticeTime && Index % 4 == 0;
    if (!Owns && !StandsIn)
      return;
    std::erase_if(Each.Subscribers_, [&](const auto &Known) {
      return Known.first == Index || Now - Known.second > SubscriptionTime;
    });
    const auto Count = static_cast<std::uint32_t>(
        1 +
        std::count_if(Each.Subscribers_.begin(), Each.Subscribers_.end(), [&](const auto &Known) {
          return Gateways_[Known.first].Place_ == Each.Place_;
        }));
    Each.Census_->onCountReported(Places[Each.Place_], Count, Now);
    for (const auto &[Other, At] : Each.Subscribers_)
      if (hears(Gateways_[Other], Each, Now))
        Gateways_[Other].Census_->onCountReported(Places[Each.Place_], Count, Now);
  }

  double excess(TimePoint Now) {
    while (!First_.empty() && Now - First_.front() > Budget.Window_)
      First_.pop_front();
    while (!Repeats_.empty() && Now - Repeats_.front() >= Budget.Window_)
      Repeats_.pop_front();
    // The budget counts the first sends of this window or of one that ended in it.
    FirstCounts_.push_back(First_.size());
    if (FirstCounts_.size() > static_cast<std::size_t>(Budget.Window_ / Step))
      FirstCounts_.pop_front();
    const auto Most = *std::max_element(FirstCounts_.begin(), FirstCounts_.end());
    return static_cast<double>(Repeats_.size()) -
           (Budget.Ratio_ * static_cast<double>(Most) + Budget.Extra_);
  }

  std::mt19937 Random_;
  GatewayCountOptions Options_;
  std::vector<Gateway> Gateways_;
  std::deque<TimePoint> First_;
  std::deque<TimePoint> Repeats_;
  std::deque<std::size_t> FirstCounts_;
};

unsigned schedules() {
  const char *Text = std::getenv("RATTANCART_SCHEDULES");
  return Text ? static_cast<unsigned>(std::strtoul(Text, nullptr, 10)) : 200;
}

struct BentCase {
  const char *Name_;
  GatewayCountOptions Options_;
};

std::ostream &operator<<(std::ostream &Out, const BentCase &Case) { return Out << Case.Name_; }

const BentCase BentCases[] = {
    {"gateways are forgotten at once",
     {.SettleTime_ = 0s, .ResettleTime_ = 0s, .RetentionTime_ = 1s}},
    {"counts are relied on at once", {.SettleTime_ = 0s, .ResettleTime_ = 0s}},
    {"gateways that are cut off go on spending", {.MaxSilence_ = 10min, .OwnerlessTimeout_ = 10s}},
};

} // namespace

BOOST_AUTO_TEST_CASE(GatewaysThatLoseSightOfEachOtherKeepTheCommonBudget) {
  for (unsigned Seed = 1; Seed <= schedules(); ++Seed)
    BOOST_TEST(BudgetWorld(Seed, {}).worstExcess() <= 0, "seed " << Seed);
}

BOOST_DATA_TEST_CASE(BentCensusIsCaught, BentCases, Case) {
  bool Caught = false;
  for (unsigned Seed = 1; Seed <= 200 && !Caught; ++Seed)
    Caught = BudgetWorld(Seed, Case.Options_).worstExcess() > 0;
  BOOST_TEST(Caught);
}
