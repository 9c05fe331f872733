#include "Core/Admission/CustomerLimiter.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cmath>
#include <ostream>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

struct RateCase {
  const char *Name_;
  CustomerLimit Limit_;
  double Share_;
  double Tokens_;
  /// Whether each request ends at once or never.
  bool RequestsEnd_;
  /// Bounds of the requests that pass when 100 per second are sent for ten seconds.
  int PassedMin_;
  int PassedMax_;
};

std::ostream &operator<<(std::ostream &Out, const RateCase &Case) { return Out << Case.Name_; }

const RateCase RateCases[] = {
    {"unbounded", {0, 0, 0, 1}, 1, 5, false, 1000, 1000},
    {"requests", {20, 0, 0, 1}, 1, 0, true, 199, 220},
    {"half share", {20, 0, 0, 1}, 0.5, 0, true, 99, 110},
    {"tokens", {0, 100, 0, 1}, 1, 10, true, 99, 110},
    {"tokens, half share", {0, 100, 0, 1}, 0.5, 10, true, 49, 55},
    {"at once", {0, 0, 7, 1}, 1, 0, false, 7, 7},
    {"at once, share rounded up", {0, 0, 7, 1}, 0.25, 0, false, 2, 2},
    {"no share of a rate", {20, 0, 0, 1}, 0.001, 0, true, 1, 2},
};

SettingsViewPtr viewOf(const CustomerLimit &Limit) {
  auto View = std::make_shared<SettingsView>();
  View->DefaultLimit_ = Limit;
  return View;
}

} // namespace

BOOST_DATA_TEST_CASE(LimitHoldsOverTime, RateCases, Case) {
  const CustomerId Customer("big");
  CustomerLimiter Limiter;
  ManualClock Time;
  Limiter.setLimits(viewOf(Case.Limit_), Time.now());
  Limiter.setShares({{Customer, Case.Share_}}, 0, Time.now());
  int Passed = 0;
  for (int I = 0; I < 1000; ++I, Time.advance(10ms)) {
    if (Limiter.acquire(Customer, Case.Tokens_, Time.now()))
      continue;
    ++Passed;
    if (Case.RequestsEnd_)
      Limiter.release(Customer, Case.Tokens_, Case.Tokens_);
  }
  BOOST_TEST(Passed >= Case.PassedMin_);
  BOOST_TEST(Passed <= Case.PassedMax_);
}

BOOST_AUTO_TEST_CASE(RefusalSaysWhenToRetry) {
  const CustomerId Customer("a");
  CustomerLimiter Limiter;
  ManualClock Time;
  Limiter.setLimits(viewOf({0.5, 0, 0, 1}), Time.now());
  BOOST_TEST(!Limiter.acquire(Customer, 0, Time.now()).has_value());
  const auto Refusal = Limiter.acquire(Customer, 0, Time.now());
  BOOST_REQUIRE(Refusal.has_value());
  BOOST_TEST((Refusal->RetryAfter_ == 2s));
  Time.advance(Refusal->RetryAfter_);
  BOOST_TEST(!Limiter.acquire(Customer, 0, Time.now()).has_value());
}

BOOST_AUTO_TEST_CASE(ProducedTokensReplaceExpectedOnes) {
  const CustomerId Customer("a");
  CustomerLimiter Limiter;
  ManualClock Time;
  Limiter.setLimits(viewOf({0, 100, 0, 1}), Time.now());
  BOOST_TEST(!Limiter.acquire(Customer, 100, Time.now()).has_value());
  BOOST_TEST(Limiter.acquire(Customer, 50, Time.now()).has_value());
  Limiter.release(Customer, 100, 10);
  BOOST_TEST(!Limiter.acquire(Customer, 50, Time.now()).has_value());
}

BOOST_AUTO_TEST_CASE(DemandCountsRefusedRequestsAndForgetsIdleCustomers) {
  CustomerLimiter Limiter;
  ManualClock Time;
  Limiter.setLimits(viewOf({1, 0, 0, 1}), Time.now());
  Limiter.takeDemand(Time.now());
  for (int I = 0; I < 10; ++I)
    Limiter.acquire(CustomerId("a"), 3, Time.now());
  Limiter.release(CustomerId("a"), 3, 3);
  Time.advance(2s);
  const auto Demand = Limiter.takeDemand(Time.now());
  BOOST_REQUIRE(Demand.size() == 1);
  BOOST_TEST(std::abs(Demand[0].RequestsPerSecond_ - 5) < 1e-9);
  BOOST_TEST(std::abs(Demand[0].TokensPerSecond_ - 15) < 1e-9);
  Time.advance(2s);
  BOOST_TEST(Limiter.takeDemand(Time.now()).empty());
  BOOST_TEST(Limiter.size() == 0U);
}
