#include "Core/Recovery/EndpointSlowStart.h"
#include "Tests/Gateway/ScriptedRequest.h"

#include <boost/test/unit_test.hpp>

using namespace rattancart;
using namespace rattancart::test;

namespace {

/// A request that was sent before, whose gateway then learns that some endpoints are new.
struct Warming {
  explicit Warming(RequestKind Kind, bool Classes = true) : Request_({}, Kind, Classes) {
    SlowStart_.setGateways(1'000'000);
    Request_.Context_.SlowStart_ = &SlowStart_;
    Request_.Paths_.setSlowStart(&SlowStart_);
  }
  /// The endpoint that runs the newest call.
  EndpointId current() const {
    for (const EndpointId &Id : Request_.Ids_)
      if (Request_.Roster_.find(Id)->OwnRequests_ > 0)
        return Id;
    return {};
  }
  void observe(const EndpointId &Id, Duration Age) {
    SlowStart_.observe({Id, Brief, Incarnation(1), Age, false, {}, false, false},
                       Request_.Time_.now());
  }

  OneRequest Request_;
  EndpointSlowStart SlowStart_{{true, 0.125}};
};

} // namespace

BOOST_AUTO_TEST_SUITE(SlowStartExchangeTest)

/// A new endpoint gets a request only when no other can take it, and then it does: guards against a
/// flood as well as against refusals because of a slow start.
BOOST_AUTO_TEST_CASE(ARequestUsesANewEndpointLast) {
  for (unsigned Seed = 0; Seed < 20; ++Seed) {
    const RequestKind Kind = Seed % 2 == 0 ? RequestKind::Stream : RequestKind::Idempotent;
    Warming Each(Kind);
    Each.Request_.Random_.seed(Seed);
    const EndpointId First = Each.current();
    EndpointId New;
    for (const EndpointId &Id : Each.Request_.Ids_)
      if (Id != First && New.empty())
        New = Id;
    Each.observe(New, 100ms);
    Each.Request_.Engines_.head(0, 503, /*NotRun=*/true);
    Each.Request_.Engines_.end(0);
    BOOST_REQUIRE(Each.Request_.Engines_.sends() == 2U);
    BOOST_TEST(Each.current().str() != New.str());
    Each.Request_.Engines_.head(1, 503, /*NotRun=*/true);
    Each.Request_.Engines_.end(1);
    BOOST_REQUIRE(Each.Request_.Engines_.sends() == 3U);
    BOOST_TEST(Each.current().str() == New.str());
  }
}

/// Where callers do not compete for memory, a slow start of engines would only make paths longer.
BOOST_AUTO_TEST_CASE(WithoutClassesANewEngineIsUsedLikeTheOthers) {
  int Used = 0;
  for (unsigned Seed = 0; Seed < 20; ++Seed) {
    Warming Each(RequestKind::Stream, /*Classes=*/false);
    Each.Request_.Random_.seed(Seed);
    const EndpointId First = Each.current();
    const EndpointId New = Each.Request_.Ids_[First == Each.Request_.Ids_[0] ? 1 : 0];
    Each.observe(New, 100ms);
    Each.Request_.Engines_.refuse(0);
    BOOST_REQUIRE(Each.Request_.Engines_.sends() == 2U);
    Used += Each.current() == New ? 1 : 0;
  }
  BOOST_TEST(Used > 0);
}

/// Guards against answers that don't reach the slow start, which then would follow time alone.
BOOST_AUTO_TEST_CASE(AnswersMoveTheWindow) {
  for (const RequestKind Kind : {RequestKind::Stream, RequestKind::Idempotent})
    for (const bool Good : {true, false}) {
      Warming Each(Kind);
      const EndpointId Id = Each.current();
      Each.observe(Id, 100ms);
      if (Good) {
        Each.Request_.Engines_.head(0, 200);
        Each.Request_.Engines_.body(0, events(1, 9));
        Each.Request_.Engines_.end(0);
      } else {
        Each.Request_.Engines_.head(0, 503, /*NotRun=*/true);
        Each.Request_.Engines_.end(0);
      }
      const double Window = Each.SlowStart_.window(Id, Each.Request_.Time_.now());
      BOOST_TEST(Window == (Good ? 0.25 : 0.0625));
    }
}

BOOST_AUTO_TEST_SUITE_END()
