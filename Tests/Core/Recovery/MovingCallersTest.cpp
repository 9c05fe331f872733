#include "Core/Recovery/RetryShare.h"
#include "History/ArrivalWindow.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <memory>
#include <ostream>
#include <random>
#include <string>
#include <vector>

using namespace rattancart;
using namespace rattancart::history;
using namespace std::chrono_literals;

namespace {

constexpr Duration Step = 50ms;
constexpr std::size_t GatewayCount = 9;
constexpr double RequestsPerSecond = 65;
constexpr RetryShareOptions Options{.Ratio_ = 0.2, .Extra_ = 202, .Window_ = 10s};
constexpr RepeatBudget Budget{Options.Ratio_, Options.Extra_, Options.Window_};
const ServiceId Service("s");

/// Gateways that share a retry budget and know how many they are. While requests fail, each gateway
/// repeats them as often as its share allows.
class GatewayGroup {
public:
  explicit GatewayGroup(unsigned Seed = 1)
      : Random_(Seed), Shares_(GatewayCount), Arrivals_{{RequestId("lost"), Now_}} {
    for (std::size_t I = 0; I < GatewayCount; ++I)
      restart(I);
    Callers_.assign(GatewayCount, 1);
  }

  /// Callers send requests for that long; each gateway gets them in proportion to its callers.
  void run(Duration Length, bool Fails) {
    std::discrete_distribution<std::size_t> Chooser(Callers_.begin(), Callers_.end());
    for (const TimePoint End = Now_ + Length; Now_ < End; Now_ += Step) {
      Due_ += RequestsPerSecond * std::chrono::duration<double>(Step).count();
      for (; Due_ >= 1; Due_ -= 1)
        sendRequest(Chooser(Random_));
      if (Fails)
        repeatAll();
    }
  }
  /// Many streams lose their engine: every gateway repeats as many requests as it may.
  void repeatAll() {
    for (const auto &Share : Shares_)
      while (Share->tryRetry(Service, Now_))
        Arrivals_.push_back({RequestId("lost"), Now_});
  }
  void restart(std::size_t Index) {
    Shares_[Index] = std::make_unique<RetryShare>(Options, Now_);
    Shares_[Index]->setProcesses(GatewayCount);
  }
  void restartAll() {
    for (std::size_t I = 0; I < GatewayCount; ++I)
      restart(I);
  }
  /// The callers of a gateway move to the others, or back to it.
  void setCallers(std::size_t Index, double Share) { Callers_[Index] = Share; }

  WorstWindow worstWindow() const { return findWorstRepeatWindow(Requests_, Arrivals_, Budget); }
  std::mt19937 &random() { return Random_; }

private:
  void sendRequest(std::size_t Index) {
    Shares_[Index]->onFirstSend(Service, Now_);
    Requests_.push_back(Now_);
  }

  std::mt19937 Random_;
  TimePoint Now_{1h};
  std::vector<std::unique_ptr<RetryShare>> Shares_;
  std::vector<double> Callers_;
  double Due_ = 0;
  std::vector<TimePoint> Requests_;
  /// All repeats have the id of the first arrival.
  std::vector<Arrival> Arrivals_;
};

struct MovingCallersCase {
  const char *Name_;
  /// What happens after 20 s without a failure.
  void (*Events_)(GatewayGroup &);
};

std::ostream &operator<<(std::ostream &Out, const MovingCallersCase &Case) {
  return Out << Case.Name_;
}

const MovingCallersCase MovingCallersCases[] = {
    {"callers stay", [](GatewayGroup &Group) { Group.run(30s, true); }},
    {"a data centre is cut off while engines are lost",
     [](GatewayGroup &Group) {
       Group.repeatAll();
       for (std::size_t I = 0; I < GatewayCount / 3; ++I)
         Group.setCallers(I, 0);
       Group.run(12s, true);
     }},
    {"all callers move to one gateway",
     [](GatewayGroup &Group) {
       Group.repeatAll();
       for (std::size_t I = 1; I < GatewayCount; ++I)
         Group.setCallers(I, 0);
       Group.run(12s, true);
     }},
    {"gateways are stopped one after another",
     [](GatewayGroup &Group) {
       for (std::size_t I = 0; I < GatewayCount; ++I) {
         Group.repeatAll();
         Group.setCallers(I, 0);
         Group.run(1s, false);
         Group.restart(I);
         Group.setCallers(I, 1);
       }
       Group.run(12s, true);
     }},
    {"all gateways are killed",
     [](GatewayGroup &Group) {
       Group.repeatAll();
       Group.restartAll();
       Group.run(12s, true);
     }},
    {"all gateways are killed twice",
     [](GatewayGroup &Group) {
       Group.repeatAll();
       for (int Kill = 0; Kill < 2; ++Kill) {
         Group.restartAll();
         Group.run(4s, true);
       }
       Group.run(12s, true);
     }},
};

/// The number of random schedules to run.
unsigned schedules() {
  const char *Text = std::getenv("RATTANCART_SCHEDULES");
  return Text ? static_cast<unsigned>(std::strtoul(Text, nullptr, 10)) : 200;
}

WorstWindow runRandomSchedule(unsigned Seed) {
  GatewayGroup Group(Seed);
  std::mt19937 &Random = Group.random();
  Group.run(20s, false);
  for (int Event = 0; Event < 40; ++Event) {
    const std::size_t Index = Random() % GatewayCount;
    switch (Random() % 5) {
    case 0:
      Group.restart(Index);
      break;
    case 1:
      Group.setCallers(Index, 0);
      break;
    case 2:
      Group.setCallers(Index, 1 + Random() % 20);
      break;
    case 3:
      Group.repeatAll();
      break;
    default:
      for (std::size_t I = 0; I < GatewayCount; ++I)
        Group.setCallers(I, I == Index ? 1 : 0.01);
    }
    Group.run((Random() % 40) * 100ms, Random() % 2 == 0);
  }
  return Group.worstWindow();
}

} // namespace

BOOST_DATA_TEST_CASE(RepeatsExceedTheBudgetWhenCallersMoveAfterALoss, MovingCallersCases, Case) {
  GatewayGroup Group;
  Group.run(20s, false);
  Case.Events_(Group);
  const WorstWindow Worst = Group.worstWindow();
  BOOST_TEST(Worst.Arrivals_ > 0U);
  BOOST_TEST(Worst.excess() <= 0,
             Worst.Arrivals_ << " repeats where " << Worst.Allowed_ << " are allowed");
}

BOOST_AUTO_TEST_CASE(RepeatsExceedTheBudgetInRandomOrdersOfMovesAndRestarts) {
  for (unsigned Seed = 1; Seed <= schedules(); ++Seed) {
    const WorstWindow Worst = runRandomSchedule(Seed);
    BOOST_TEST(Worst.excess() <= 0, "seed " << Seed << ": " << Worst.Arrivals_ << " repeats where "
                                            << Worst.Allowed_ << " are allowed");
  }
}
