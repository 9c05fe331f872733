#include "Core/Membership/GatewayCountEstimator.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <ostream>
#include <string>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const DataCenterId East("east");
const DataCenterId West("west");
const TimePoint Start{1h};

/// The owner of the home data centre reports the same number each second until Until.
void reportHomeCount(GatewayCountEstimator &Estimator, Duration Until, std::uint32_t Gateways) {
  for (Duration At = 5s; At <= Until; At += 1s)
    Estimator.onCountReported(East, Gateways, Start + At);
}

struct EstimatorCase {
  const char *Name_;
  /// What happens after east reported 5 gateways and west 7 until the start.
  void (*Then_)(GatewayCountEstimator &);
  /// When the count is requested, after the start, and the expected result; 0 for none.
  Duration After_;
  std::uint32_t Gateways_;
  const char *UnknownReason_;
};

std::ostream &operator<<(std::ostream &Out, const EstimatorCase &Case) { return Out << Case.Name_; }

const EstimatorCase EstimatorCases[] = {
    {"both report", [](GatewayCountEstimator &) {}, 1s, 12, ""},
    {"the owner at home falls silent", [](GatewayCountEstimator &) {}, 11s, 0,
     "owner at home silent"},
    {"a new owner does not know all yet",
     [](GatewayCountEstimator &Estimator) { Estimator.onCountReported(East, 1, Start + 5s); }, 6s,
     12, ""},
    {"some have gone for long",
     [](GatewayCountEstimator &Estimator) { reportHomeCount(Estimator, 11min, 4); }, 11min, 11, ""},
    {"more have come",
     [](GatewayCountEstimator &Estimator) { Estimator.onCountReported(East, 9, Start + 1s); }, 2s,
     16, ""},
    {"the other data centre is cut off",
     [](GatewayCountEstimator &Estimator) { reportHomeCount(Estimator, 20min, 5); }, 20min, 12, ""},
    {"the other data centre has no owner for a while",
     [](GatewayCountEstimator &Estimator) {
       Estimator.onOwnerLookup(West, false, Start + 10s);
       reportHomeCount(Estimator, 50s, 5);
     },
     50s, 12, ""},
    {"the other data centre has had no owner for long",
     [](GatewayCountEstimator &Estimator) {
       Estimator.onOwnerLookup(West, false, Start + 10s);
       Estimator.onOwnerLookup(West, false, Start + 30s);
       reportHomeCount(Estimator, 56s, 5);
     },
     56s, 5, ""},
    {"the other data centre has an owner again",
     [](GatewayCountEstimator &Estimator) {
       Estimator.onOwnerLookup(West, false, Start + 10s);
       Estimator.onOwnerLookup(West, true, Start + 30s);
       reportHomeCount(Estimator, 56s, 5);
     },
     56s, 12, ""},
    {"the store is unreachable for a short time",
     [](GatewayCountEstimator &Estimator) {
       Estimator.setStoreReachable(false, Start);
       Estimator.onCountReported(East, 5, Start + 9s);
     },
     9s, 12, ""},
    {"the store is unreachable for long",
     [](GatewayCountEstimator &Estimator) {
       Estimator.setStoreReachable(false, Start);
       Estimator.setStoreReachable(false, Start + 8s);
       Estimator.onCountReported(East, 5, Start + 11s);
     },
     11s, 0, "store away"},
    {"the store is back soon",
     [](GatewayCountEstimator &Estimator) {
       Estimator.setStoreReachable(false, Start);
       Estimator.setStoreReachable(true, Start + 9s);
       reportHomeCount(Estimator, 11s, 5);
     },
     12s, 12, ""},
    {"others may no longer count this one after an outage of the store",
     [](GatewayCountEstimator &Estimator) {
       Estimator.setStoreReachable(false, Start);
       Estimator.setStoreReachable(true, Start + 11s);
       Estimator.onCountReported(East, 5, Start + 30s);
     },
     30s, 0, "not settled yet"},
    {"others count this one again",
     [](GatewayCountEstimator &Estimator) {
       Estimator.setStoreReachable(false, Start);
       Estimator.setStoreReachable(true, Start + 11s);
       Estimator.onCountReported(East, 5, Start + 5s);
       Estimator.onCountReported(East, 5, Start + 14s);
       Estimator.onCountReported(East, 5, Start + 23s);
     },
     31s, 12, ""},
    {"the owner at home reports again",
     [](GatewayCountEstimator &Estimator) { Estimator.onCountReported(East, 5, Start + 11s); }, 12s,
     0, "not settled yet"},
    {"an unknown data centre reports",
     [](GatewayCountEstimator &Estimator) {
       Estimator.onCountReported(DataCenterId("north"), 90, Start);
     },
     1s, 12, ""},
};

} // namespace

BOOST_DATA_TEST_CASE(GatewaysAreNeverCountedTooFew, EstimatorCases, Case) {
  GatewayCountEstimator Estimator({East, West}, East);
  for (const Duration Before : {10s, 5s, 0s}) {
    Estimator.onCountReported(East, 5, Start - Before);
    Estimator.onCountReported(West, 7, Start - Before);
  }
  Case.Then_(Estimator);
  const GatewayCount Count = Estimator.count(Start + Case.After_);
  BOOST_TEST(Count.Gateways_.value_or(0) == Case.Gateways_);
  BOOST_TEST(std::string(Count.UnknownReason_) == Case.UnknownReason_);
}

BOOST_AUTO_TEST_CASE(NothingIsCountedBeforeEachDataCentreHasReported) {
  GatewayCountEstimator Estimator({East, West}, East);
  BOOST_TEST(!Estimator.count(Start).Gateways_.has_value());
  BOOST_TEST(!Estimator.countAt(East, Start).has_value());
  Estimator.onCountReported(East, 5, Start);
  BOOST_TEST(!Estimator.count(Start).Gateways_.has_value());
  BOOST_TEST(std::string(Estimator.count(Start).UnknownReason_) == "data centre never heard");
  Estimator.onCountReported(West, 7, Start);
  // An owner that has just started does not know all of its gateways yet.
  BOOST_TEST(std::string(Estimator.count(Start + 9s).UnknownReason_) == "not settled yet");
  BOOST_TEST(Estimator.count(Start + 10s).Gateways_.value_or(0) == 12U);
  BOOST_TEST(Estimator.countAt(East, Start + 10s).value_or(0) == 5U);
  BOOST_TEST(!Estimator.countAt(DataCenterId("elsewhere"), Start + 10s).has_value());
}

BOOST_AUTO_TEST_CASE(TimesFollowTheWindowOfTheLimit) {
  const GatewayCountOptions Usual = GatewayCountOptions::forWindow(10s);
  const GatewayCountOptions Default;
  BOOST_TEST((Usual.SettleTime_ == Default.SettleTime_ &&
              Usual.ResettleTime_ == Default.ResettleTime_ &&
              Usual.OwnerlessTimeout_ == Default.OwnerlessTimeout_));
  GatewayCountEstimator Estimator({East}, East, GatewayCountOptions::forWindow(1min));
  Estimator.onCountReported(East, 5, Start);
  reportHomeCount(Estimator, 1min, 5);
  BOOST_TEST(!Estimator.count(Start + 59s).Gateways_.has_value());
  BOOST_TEST(Estimator.count(Start + 1min).Gateways_.value_or(0) == 5U);
}
