#include "History/ArrivalWindow.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>
#include <vector>

using namespace rattancart;
using namespace rattancart::history;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
constexpr RepeatBudget Budget{.Ratio_ = 0.2, .Extra_ = 5, .Window_ = 10s};
constexpr ArrivalLimit Limit{.PerSecond_ = 2, .Tolerance_ = 1.5, .Burst_ = 5, .Window_ = 4s};

/// Requests at one time, each of which arrives Arrivals_ times at once.
struct Group {
  Duration At_;
  std::size_t Requests_ = 0;
  std::size_t Arrivals_ = 0;
};

struct RepeatCase {
  const char *Name_;
  std::vector<Group> Groups_;
  double Excess_;
};

std::ostream &operator<<(std::ostream &Out, const RepeatCase &Case) { return Out << Case.Name_; }

const RepeatCase RepeatCases[] = {
    {"first arrivals are no repeats", {{0s, 10, 1}}, 0},
    {"refused arrivals count", {{0s, 10, 2}}, 10 - 7},
    {"one window", {{0s, 10, 2}, {9s, 10, 2}}, 20 - 9},
    {"two windows", {{0s, 10, 2}, {10s, 10, 2}}, 10 - 7},
    {"the window that begins at the second group", {{0s, 2, 2}, {6s, 10, 2}, {12s, 10, 2}}, 20 - 9},
    {"requests of the window before", {{0s, 50, 1}, {10s, 10, 2}}, 10 - 15},
    {"requests of half a window before", {{0s, 50, 1}, {4s, 10, 2}, {11s, 10, 2}}, 20 - 17},
    {"requests of two windows before don't count", {{0s, 50, 1}, {21s, 10, 2}}, 10 - 7},
};

struct RateCase {
  const char *Name_;
  std::vector<Duration> Arrivals_;
  double Excess_;
};

std::ostream &operator<<(std::ostream &Out, const RateCase &Case) { return Out << Case.Name_; }

const RateCase RateCases[] = {
    {"no arrival", {}, 0},
    {"a burst", std::vector<Duration>(20, 0s), 20 - 17},
    {"the ends of a window that slides", {0s, 3900ms, 3950ms, 4s, 5s, 7800ms}, 5 - 17},
};

} // namespace

BOOST_DATA_TEST_CASE(RepeatsAreComparedWithTheRequestsOfTheirWindow, RepeatCases, Case) {
  std::vector<TimePoint> Requests;
  std::vector<Arrival> Arrivals;
  for (const Group &Each : Case.Groups_)
    for (std::size_t I = 0; I < Each.Requests_; ++I) {
      Requests.push_back(Start + Each.At_);
      const RequestId Id(std::to_string(Requests.size()));
      Arrivals.insert(Arrivals.end(), Each.Arrivals_, {Id, Start + Each.At_});
    }
  BOOST_TEST(findWorstRepeatWindow(Requests, Arrivals, Budget).excess() == Case.Excess_);
}

BOOST_DATA_TEST_CASE(ArrivalsAreComparedWithTheLimitInWindowsThatSlide, RateCases, Case) {
  std::vector<TimePoint> Arrivals;
  for (const Duration At : Case.Arrivals_)
    Arrivals.push_back(Start + At);
  BOOST_TEST(findWorstRateWindow(Arrivals, Limit).excess() == Case.Excess_);
}
