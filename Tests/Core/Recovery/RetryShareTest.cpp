#include "Core/Recovery/RetryShare.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <deque>
#include <optional>
#include <ostream>
#include <random>
#include <vector>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const ServiceId Service("s");
const TimePoint Start{1h};
const TimePoint LongAgo = Start - 1min;

/// What a process with 50 first sends and a tenth of 90 extra repeats may send again.
struct ShareCase {
  const char *Name_;
  TimePoint StartedAt_;
  std::optional<std::uint32_t> Processes_;
  int Repeats_;
};

std::ostream &operator<<(std::ostream &Out, const ShareCase &Case) { return Out << Case.Name_; }

const ShareCase ShareCases[] = {
    {"spends the ratio and its part", LongAgo, 9, 18},
    {"does not know how many others there are", LongAgo, std::nullopt, 9},
    {"does not know what was spent before it started", Start - 10s, 9, 4},
    {"is alone", LongAgo, 1, 90},
};

int repeatAll(RetryShare &Share, TimePoint Now) {
  int Allowed = 0;
  while (Share.tryRetry(Service, Now))
    ++Allowed;
  return Allowed;
}

} // namespace

BOOST_DATA_TEST_CASE(ProcessSpendsTheRatioAndNoMoreThanItsPartOfTheExtra, ShareCases, Case) {
  RetryShare Share({0.2, 90, 10s}, Case.StartedAt_);
  Share.setProcesses(Case.Processes_);
  for (int I = 0; I < 50; ++I)
    Share.onFirstSend(Service, Start);
  BOOST_TEST(repeatAll(Share, Start) == Case.Repeats_);
}

BOOST_AUTO_TEST_CASE(NewLimitsDoNotForgetWhatWasSpent) {
  RetryShare Share({0.2, 90, 10s}, LongAgo);
  Share.setProcesses(9);
  BOOST_TEST(repeatAll(Share, Start) == 9);
  Share.setOptions({0.2, 180, 10s}, Start);
  BOOST_TEST(repeatAll(Share, Start) == 9);
  // A window of another length begins like a process that has just started.
  Share.setOptions({0.2, 180, 20s}, Start);
  BOOST_TEST(repeatAll(Share, Start) == 0);
  BOOST_TEST(repeatAll(Share, Start + 23s) == 18);
}

BOOST_AUTO_TEST_CASE(SpendsItsPartOfTheExtraAndTheRatioOfItsOwnSends) {
  RetryShare Share({0.2, 90, 10s}, LongAgo);
  Share.setProcesses(9);
  for (int I = 0; I < 50; ++I)
    Share.onFirstSend(Service, Start);
  int Allowed = 0;
  while (Share.tryRetry(Service, Start))
    ++Allowed;
  BOOST_TEST(Allowed == 18);
  BOOST_TEST(!Share.tryRetry(Service, Start + 5s));
  BOOST_TEST(Share.tryRetry(ServiceId("other"), Start));
  BOOST_TEST(Share.left(Service, Start + 30s) == 9);
}

BOOST_AUTO_TEST_CASE(AllProcessesTogetherKeepTheBudgetInEveryWindow) {
  constexpr int Processes = 5;
  constexpr double Ratio = 0.2;
  constexpr double Extra = 100;
  for (unsigned Seed = 1; Seed <= 50; ++Seed) {
    std::mt19937 Random(Seed);
    std::vector<RetryShare> Shares(Processes, RetryShare({Ratio, Extra, 10s}, LongAgo));
    for (RetryShare &Share : Shares)
      Share.setProcesses(Processes);
    std::deque<TimePoint> First;
    std::deque<TimePoint> Repeats;
    // First sends of the windows that ended within the last window; the budget counts the most.
    std::deque<std::size_t> FirstCounts;
    for (int Tick = 0; Tick < 600; ++Tick) {
      const TimePoint Now = Start + Tick * 100ms;
      for (RetryShare &Share : Shares) {
        const unsigned Sends = Random() % 4;
        for (unsigned I = 0; I < Sends; ++I) {
          Share.onFirstSend(Service, Now);
          First.push_back(Now);
        }
        // Storms of repeats come and go.
        for (unsigned I = 0; I < (Tick / 100 % 2 == 0 ? 0U : 20U); ++I)
          if (Share.tryRetry(Service, Now))
            Repeats.push_back(Now);
      }
      while (!First.empty() && Now - First.front() > 10s)
        First.pop_front();
      while (!Repeats.empty() && Now - Repeats.front() >= 10s)
        Repeats.pop_front();
      FirstCounts.push_back(First.size());
      if (FirstCounts.size() > 100)
        FirstCounts.pop_front();
      const std::size_t Most = *std::max_element(FirstCounts.begin(), FirstCounts.end());
      BOOST_TEST(static_cast<double>(Repeats.size()) <= Ratio * static_cast<double>(Most) + Extra);
    }
  }
}
