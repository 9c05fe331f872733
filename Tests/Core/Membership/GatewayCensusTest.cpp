#include "Core/Membership/GatewayCensus.h"

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
void hearHome(GatewayCensus &Census, Duration Until, std::uint32_t Gateways) {
  for (Duration At = 5s; At <= Until; At += 1s)
    Census.counted(East, Gateways, Start + At);
}

struct CensusCase {
  const char *Name_;
  /// What happens after east counted 5 and west 7 at the start.
  void (*Then_)(GatewayCensus &);
  /// When the count is asked for, and what it is; 0 for none.
  Duration After_;
  std::uint32_t Gateways_;
  const char *Doubt_;
};

std::ostream &operator<<(std::ostream &Out, const CensusCase &Case) { return Out << Case.Name_; }

const CensusCase CensusCases[] = {
    {"both are heard", [](GatewayCensus &) {}, 1s, 12, ""},
    {"the owner at home falls silent", [](GatewayCensus &) {}, 11s, 0, "owner at home silent"},
    {"a new owner does not know all yet",
     [](GatewayCensus &Census) { Census.counted(East, 1, Start + 5s); }, 6s, 12, ""},
    {"some have gone for long", [](GatewayCensus &Census) { hearHome(Census, 11min, 4); }, 11min,
     11, ""},
    {"more have come", [](GatewayCensus &Census) { Census.counted(East, 9, Start + 1s); }, 2s, 16,
     ""},
    {"the other data centre is cut off", [](GatewayCensus &Census) { hearHome(Census, 20min, 5); },
     20min, 12, ""},
    {"the other data centre has no owner for a while",
     [](GatewayCensus &Census) {
       Census.ownerAsked(West, false, Start + 10s);
       hearHome(Census, 50s, 5);
     },
     50s, 12, ""},
    {"the other data centre has had no owner for long",
     [](GatewayCensus &Census) {
       Census.ownerAsked(West, false, Start + 10s);
       Census.ownerAsked(West, false, Start + 30s);
       hearHome(Census, 56s, 5);
     },
     56s, 5, ""},
    {"the other data centre has an owner again",
     [](GatewayCensus &Census) {
       Census.ownerAsked(West, false, Start + 10s);
       Census.ownerAsked(West, true, Start + 30s);
       hearHome(Census, 56s, 5);
     },
     56s, 12, ""},
    {"the store is away for a short time",
     [](GatewayCensus &Census) {
       Census.storeReachable(false, Start);
       Census.counted(East, 5, Start + 9s);
     },
     9s, 12, ""},
    {"the store is away for long",
     [](GatewayCensus &Census) {
       Census.storeReachable(false, Start);
       Census.storeReachable(false, Start + 8s);
       Census.counted(East, 5, Start + 11s);
     },
     11s, 0, "store away"},
    {"the store is back soon",
     [](GatewayCensus &Census) {
       Census.storeReachable(false, Start);
       Census.storeReachable(true, Start + 9s);
       hearHome(Census, 11s, 5);
     },
     12s, 12, ""},
    {"others may have forgotten this one while the store was away",
     [](GatewayCensus &Census) {
       Census.storeReachable(false, Start);
       Census.storeReachable(true, Start + 11s);
       Census.counted(East, 5, Start + 30s);
     },
     30s, 0, "not settled yet"},
    {"others have heard of this one again",
     [](GatewayCensus &Census) {
       Census.storeReachable(false, Start);
       Census.storeReachable(true, Start + 11s);
       Census.counted(East, 5, Start + 5s);
       Census.counted(East, 5, Start + 14s);
       Census.counted(East, 5, Start + 23s);
     },
     31s, 12, ""},
    {"the owner at home is heard again",
     [](GatewayCensus &Census) { Census.counted(East, 5, Start + 11s); }, 12s, 0,
     "not settled yet"},
    {"a data centre that is not known speaks",
     [](GatewayCensus &Census) { Census.counted(DataCenterId("north"), 90, Start); }, 1s, 12, ""},
};

} // namespace

BOOST_DATA_TEST_CASE(GatewaysAreNeverCountedTooFew, CensusCases, Case) {
  GatewayCensus Census({East, West}, East);
  for (const Duration Before : {10s, 5s, 0s}) {
    Census.counted(East, 5, Start - Before);
    Census.counted(West, 7, Start - Before);
  }
  Case.Then_(Census);
  const GatewayCount Count = Census.count(Start + Case.After_);
  BOOST_TEST(Count.Gateways_.value_or(0) == Case.Gateways_);
  BOOST_TEST(std::string(Count.Doubt_) == Case.Doubt_);
}

BOOST_AUTO_TEST_CASE(NothingIsCountedBeforeEachDataCentreWasHeard) {
  GatewayCensus Census({East, West}, East);
  BOOST_TEST(!Census.count(Start).Gateways_.has_value());
  Census.counted(East, 5, Start);
  BOOST_TEST(!Census.count(Start).Gateways_.has_value());
  BOOST_TEST(std::string(Census.count(Start).Doubt_) == "data centre never heard");
  Census.counted(West, 7, Start);
  // An owner that has just started does not know all of its gateways.
  BOOST_TEST(std::string(Census.count(Start + 9s).Doubt_) == "not settled yet");
  BOOST_TEST(Census.count(Start + 10s).Gateways_.value_or(0) == 12U);
}

BOOST_AUTO_TEST_CASE(TimesFollowTheWindowOfTheLimit) {
  const GatewayCensusOptions Usual = GatewayCensusOptions::forWindow(10s);
  const GatewayCensusOptions Default;
  BOOST_TEST((Usual.Settle_ == Default.Settle_ && Usual.Return_ == Default.Return_ &&
              Usual.Ownerless_ == Default.Ownerless_));
  GatewayCensus Census({East}, East, GatewayCensusOptions::forWindow(1min));
  Census.counted(East, 5, Start);
  hearHome(Census, 1min, 5);
  BOOST_TEST(!Census.count(Start + 59s).Gateways_.has_value());
  BOOST_TEST(Census.count(Start + 1min).Gateways_.value_or(0) == 5U);
}
