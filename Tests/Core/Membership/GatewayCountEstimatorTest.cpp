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

/// The owner at home says the same until Until.
void hearHome(GatewayCountEstimator &Census, Duration Until, std::uint32_t Gateways) {
  for (Duration At = 5s; At <= Until; At += 1s)
    Census.onCountReported(East, Gateways, Start + At);
}

struct CensusCase {
  const char *Name_;
  /// What happens after east counted 5 and west 7 at the start.
  void (*Then_)(GatewayCountEstimator &);
  /// When the count is asked for, and what it is; 0 for none.
  Duration After_;
  std::uint32_t Gateways_;
  const char *UnknownReason_;
};

std::ostream &operator<<(std::ostream &Out, const CensusCase &Case) { return Out << Case.Name_; }

const CensusCase CensusCases[] = {
    {"both are heard", [](GatewayCountEstimator &) {}, 1s, 12, ""},
    {"the owner at home falls silent", [](GatewayCountEstimator &) {}, 11s, 0,
     "owner at home silent"},
    {"a new owner does not know all yet",
     [](GatewayCountEstimator &Census) { Census.onCountReported(East, 1, Start + 5s); }, 6s, 12,
     ""},
    {"some have gone for long", [](GatewayCountEstimator &Census) { hearHome(Census, 11min, 4); },
     11min, 11, ""},
    {"more have come",
     [](GatewayCountEstimator &Census) { Census.onCountReported(East, 9, Start + 1s); }, 2s, 16,
     ""},
    {"the other data centre is cut off",
     [](GatewayCountEstimator &Census) { hearHome(Census, 20min, 5); }, 20min, 12, ""},
    {"the other data centre has no owner for a while",
     [](GatewayCountEstimator &Census) {
       Census.onOwnerLookup(West, false, Start + 10s);
       hearHome(Census, 50s, 5);
     },
     50s, 12, ""},
    {"the other data centre has had no owner for long",
     [](GatewayCountEstimator &Census) {
       Census.onOwnerLookup(West, false, Start + 10s);
       Census.onOwnerLookup(West, false, Start + 30s);
       hearHome(Census, 56s, 5);
     },
     56s, 5, ""},
    {"the other data centre has an owner again",
     [](GatewayCountEstimator &Census) {
       Census.onOwnerLookup(West, false, Start + 10s);
       Census.onOwnerLookup(West, true, Start + 30s);
       hearHome(Census, 56s, 5);
     },
     56s, 12, ""},
    {"the store is away for a short time",
     [](GatewayCountEstimator &Census) {
       Census.setStoreReachable(false, Start);
       Census.onCountReported(East, 5, Start + 9s);
     },
     9s, 12, ""},
    {"the store is away for long",
     [](GatewayCountEstimator &Census) {
       Census.setStoreReachable(false, Start);
       Census.setStoreReachable(false, Start + 8s);
       Census.onCountReported(East, 5, Start + 11s);
     },
     11s, 0, "store away"},
    {"the store is back soon",
     [](GatewayCountEstimator &Census) {
       Census.setStoreReachable(false, Start);
       Census.setStoreReachable(true, Start + 9s);
       hearHome(Census, 11s, 5);
     },
     12s, 12, ""},
    {"others may have forgotten this one while the store was away",
     [](GatewayCountEstimator &Census) {
       Census.setStoreReachable(false, Start);
       Census.setStoreReachable(true, Start + 11s);
       Census.onCountReported(East, 5, Start + 30s);
     },
     30s, 0, "not settled yet"},
    {"others have heard of this one again",
     [](GatewayCountEstimator &Census) {
       Census.setStoreReachable(false, Start);
       Census.setStoreReachable(true, Start + 11s);
       Census.onCountReported(East, 5, Start + 5s);
       Census.onCountReported(East, 5, Start + 14s);
       Census.onCountReported(East, 5, Start + 23s);
     },
     31s, 12, ""},
    {"the owner at home is heard again",
     [](GatewayCountEstimator &Census) { Census.onCountReported(East, 5, Start + 11s); }, 12s, 0,
     "not settled yet"},
    {"a data centre that is not known speaks",
     [](GatewayCountEstimator &Census) {
       Census.onCountReported(DataCenterId("north"), 90, Start);
     },
     1s, 12, ""},
};

} // namespace

BOOST_DATA_TEST_CASE(GatewaysAreNeverCountedTooFew, CensusCases, Case) {
  GatewayCountEstimator Census({East, West}, East);
  for (const Duration Before : {10s, 5s, 0s}) {
    Census.onCountReported(East, 5, Start - Before);
    Census.onCountReported(West, 7, Start - Before);
  }
  Case.Then_(Census);
  const GatewayCount Count = Census.count(Start + Case.After_);
  BOOST_TEST(Count.Gateways_.value_or(0) == Case.Gateways_);
  BOOST_TEST(std::string(Count.UnknownReason_) == Case.UnknownReason_);
}

BOOST_AUTO_TEST_CASE(NothingIsCountedBeforeEachDataCentreWasHeard) {
  GatewayCountEstimator Census({East, West}, East);
  BOOST_TEST(!Census.count(Start).Gateways_.has_value());
  Census.onCountReported(East, 5, Start);
  BOOST_TEST(!Census.count(Start).Gateways_.has_value());
  BOOST_TEST(std::string(Census.count(Start).UnknownReason_) == "data centre never heard");
  Census.onCountReported(West, 7, Start);
  // An owner that has just started does not know all of its gateways.
  BOOST_TEST(std::string(Census.count(Start + 9s).UnknownReason_) == "not settled yet");
  BOOST_TEST(Census.count(Start + 10s).Gateways_.value_or(0) == 12U);
}

BOOST_AUTO_TEST_CASE(TimesFollowTheWindowOfTheLimit) {
  const GatewayCountOptions Usual = GatewayCountOptions::forWindow(10s);
  const GatewayCountOptions Default;
  BOOST_TEST((Usual.SettleTime_ == Default.SettleTime_ &&
              Usual.ResettleTime_ == Default.ResettleTime_ &&
              Usual.OwnerlessTimeout_ == Default.OwnerlessTimeout_));
  GatewayCountEstimator Census({East}, East, GatewayCountOptions::forWindow(1min));
  Census.onCountReported(East, 5, Start);
  hearHome(Census, 1min, 5);
  BOOST_TEST(!Census.count(Start + 59s).Gateways_.has_value());
  BOOST_TEST(Census.count(Start + 1min).Gateways_.value_or(0) == 5U);
}
