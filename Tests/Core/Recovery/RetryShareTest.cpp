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

/// The number of retries that a process may send after 50 first sends, with a budget of 90 extra
/// retries.
struct ShareCase {
  const char *Name_;
  TimePoint StartedAt_;
  std::optional<std::uint32_t> Processes_;
  int Retries_;
};

std::ostream &operator<<(std::ostream &Out, const ShareCase &Case) { return Out << Case.Name_; }

const ShareCase ShareCases[] = {
    {"spends its credit and its part", LongAgo, 9, 12},
    {"does not know how many others there are", LongAgo, std::nullopt, 3},
    {"does not know what was spent before it started", Start - 10s, 9, 3},
    {"is alone", LongAgo, 1, 84},
};

int retryAll(RetryShare &Share, TimePoint Now) {
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
  BOOST_TEST(retryAll(Share, Start) == Case.Retries_);
}

BOOST_AUTO_TEST_CASE(CreditExpiresAfterAThirdOfTheWindow) {
  RetryShare Share({0.5, 0, 9s}, LongAgo);
  for (int I = 0; I < 50; ++I)
    Share.onFirstSend(Service, Start);
  BOOST_TEST(Share.left(Service, Start + 2700ms) == 7.5, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(Share.tryRetry(Service, Start + 2700ms));
  BOOST_TEST(Share.left(Service, Start + 3s) == 0);
  BOOST_TEST(!Share.tryRetry(Service, Start + 3s));
  BOOST_TEST(Share.spent(Service, Start + 11s) == 1U);
}

namespace {

/// The first sends of each half of a window, and the retries that are left after four of them,
/// without credit.
struct SteadyCase {
  const char *Name_;
  std::vector<int> FirstSends_;
  double Left_;
};

std::ostream &operator<<(std::ostream &Out, const SteadyCase &Case) { return Out << Case.Name_; }

const SteadyCase SteadyCases[] = {
    {"steady", {50, 50, 50, 50}, 0.6 * 0.2 * 100},   {"rises", {50, 50, 50, 500}, 0.6 * 0.2 * 100},
    {"falls", {500, 500, 500, 50}, 0.6 * 0.2 * 100}, {"a pause", {500, 0, 500, 500}, 0},
    {"has just started", {500, 500, 500}, 0},
};

} // namespace

BOOST_DATA_TEST_CASE(SteadyAllowanceFollowsTheLeastFirstSendsOfTwoWindows, SteadyCases, Case) {
  RetryShare Share({0.2, 0, 9s}, LongAgo);
  TimePoint Now = TimePoint{} + 90min;
  for (const int FirstSends : Case.FirstSends_) {
    for (int I = 0; I < FirstSends; ++I)
      Share.onFirstSend(Service, Now);
    Now += 4500ms;
  }
  // Credit expires within this time, and no first send has left the two windows yet.
  Now -= 1ms;
  BOOST_TEST(Share.left(Service, Now) == Case.Left_, boost::test_tools::tolerance(1e-9));
  const auto Allowed = static_cast<int>(Case.Left_ + 1e-9);
  BOOST_TEST(retryAll(Share, Now) == Allowed);
  BOOST_TEST(Share.left(Service, Now + 9s) < 1);
}

BOOST_AUTO_TEST_CASE(NewLimitsDoNotForgetWhatWasSpent) {
  RetryShare Share({0.2, 90, 10s}, LongAgo);
  Share.setProcesses(9);
  BOOST_TEST(retryAll(Share, Start) == 9);
  Share.setOptions({0.2, 180, 10s}, Start);
  BOOST_TEST(retryAll(Share, Start) == 9);
  // After a change of the window's length, the limits are those of a process that has just started.
  Share.setOptions({0.2, 180, 20s}, Start);
  BOOST_TEST(retryAll(Share, Start) == 0);
  BOOST_TEST(retryAll(Share, Start + 23s) == 18);
}

BOOST_AUTO_TEST_CASE(SpendsItsPartOfTheExtraAndTheRatioOfItsOwnSends) {
  RetryShare Share({0.2, 90, 10s}, LongAgo);
  Share.setProcesses(9);
  for (int I = 0; I < 50; ++I)
    Share.onFirstSend(Service, Start);
  int Allowed = 0;
  while (Share.tryRetry(Service, Start))
    ++Allowed;
  BOOST_TEST(Allowed == 12);
  BOOST_TEST(!Share.tryRetry(Service, Start + 5s));
  BOOST_TEST(Share.tryRetry(ServiceId("other"), Start));
  BOOST_TEST(Share.left(Service, Start + 30s) == 9);
}

namespace {

/// Retries that a process with 10 in the window may take after rejections, then after losses, and
/// again after rejections.
struct KeptCase {
  const char *Name_;
  double Kept_;
  /// Retries after losses before any other.
  int LossesFirst_;
  int Rejections_;
  int Losses_;
};

std::ostream &operator<<(std::ostream &Out, const KeptCase &Case) { return Out << Case.Name_; }

const KeptCase KeptCases[] = {
    {"nothing kept", 0, 0, 10, 0},
    {"half kept", 0.5, 0, 5, 5},
    {"half kept, some lost before", 0.5, 3, 2, 5},
    {"half kept, half lost before", 0.5, 5, 0, 5},
    {"a fifth kept", 0.2, 0, 8, 2},
    {"all kept", 1, 0, 0, 10},
};

} // namespace

// Guards against streams that are cut since rejected requests have spent the retries.
BOOST_DATA_TEST_CASE(RetriesAreKeptForRequestsThatLostTheirEngine, KeptCases, Case) {
  RetryShare Share({0, 100, 10s, Case.Kept_}, LongAgo);
  Share.setProcesses(9);
  const auto Take = [&](RetryPurpose Purpose, int Most) {
    int Taken = 0;
    while (Taken < Most && Share.tryRetry(Service, Start, Purpose))
      ++Taken;
    return Taken;
  };
  BOOST_TEST(Share.left(Service, Start) == 10, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(Take(RetryPurpose::AfterLoss, Case.LossesFirst_) == Case.LossesFirst_);
  BOOST_TEST(Take(RetryPurpose::AfterRejection, 100) == Case.Rejections_);
  BOOST_TEST(!Share.mayRetry(Service, Start, RetryPurpose::AfterRejection));
  BOOST_TEST(Take(RetryPurpose::AfterLoss, 100) == Case.Losses_);
  // Once the window has passed, rejected requests may be sent again.
  BOOST_TEST(Share.mayRetry(Service, Start + 11s, RetryPurpose::AfterRejection) ==
             (Case.Kept_ < 1));
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
    std::deque<TimePoint> FirstSends;
    std::deque<TimePoint> Retries;
    // The first sends of each window that ended within the last window; the budget follows the
    // largest of these numbers.
    std::deque<std::size_t> FirstCounts;
    for (int Tick = 0; Tick < 600; ++Tick) {
      const TimePoint Now = Start + Tick * 100ms;
      for (RetryShare &Share : Shares) {
        const unsigned Sends = Random() % 4;
        for (unsigned I = 0; I < Sends; ++I) {
          Share.onFirstSend(Service, Now);
          FirstSends.push_back(Now);
        }
        // Retry storms begin and end every ten seconds.
        for (unsigned I = 0; I < (Tick / 100 % 2 == 0 ? 0U : 20U); ++I)
          if (Share.tryRetry(Service, Now))
            Retries.push_back(Now);
      }
      while (!FirstSends.empty() && Now - FirstSends.front() > 10s)
        FirstSends.pop_front();
      while (!Retries.empty() && Now - Retries.front() >= 10s)
        Retries.pop_front();
      FirstCounts.push_back(FirstSends.size());
      if (FirstCounts.size() > 100)
        FirstCounts.pop_front();
      const std::size_t Most = *std::max_element(FirstCounts.begin(), FirstCounts.end());
      BOOST_TEST(static_cast<double>(Retries.size()) <= Ratio * static_cast<double>(Most) + Extra);
    }
  }
}

// A gateway's tick passes the time at which it began. A retry that was counted in a later slot
// meanwhile ended the process: its negative age was used as an index.
BOOST_AUTO_TEST_CASE(TheBudgetIsAskedForATimeBeforeTheLastSend) {
  RetryShare Share({0.2, 100, 10s}, TimePoint{1h});
  Share.setProcesses(1);
  const TimePoint Later{2h};
  for (int I = 0; I < 20; ++I)
    Share.onFirstSend(ServiceId("s"), Later);
  BOOST_TEST(Share.tryRetry(ServiceId("s"), Later));
  for (const Duration Before : {Duration(1ms), Duration(400ms), Duration(3s), Duration(9s)}) {
    BOOST_TEST(Share.spent(ServiceId("s"), Later - Before) == 1U);
    BOOST_TEST(Share.left(ServiceId("s"), Later - Before) <= 91);
    BOOST_TEST(Share.mayRetry(ServiceId("s"), Later - Before, RetryPurpose::AfterLoss));
  }
}
