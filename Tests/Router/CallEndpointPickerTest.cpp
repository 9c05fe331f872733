#include "Router/CallEndpointPicker.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace rattancart;

namespace {

const ServiceId Desk("lift-desk");

struct Fixture {
  Fixture() : Picker_(Table_, Random_, DataCenterId("dc-1")) {
    add("near", "dc-1");
    add("far", "dc-2");
  }

  void add(const char *Id, const char *DataCenter) {
    Endpoint Record;
    Record.Id_ = EndpointId(Id);
    Record.Service_ = Desk;
    Record.DataCenter_ = DataCenterId(DataCenter);
    Table_.apply(Record, TimePoint{});
  }

  void fail(const char *Id, int Times) {
    for (int Count = 0; Count < Times; ++Count) {
      Picker_.sendStarted(EndpointId(Id), Time_.now());
      Picker_.sendEnded(EndpointId(Id), false, Time_.now());
    }
  }

  std::string pick() { return Picker_.pick(Desk, {}, Time_.now())->Id_.str(); }

  ManualClock Time_;
  std::mt19937_64 Random_{1};
  EndpointTable Table_;
  CallEndpointPicker Picker_;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(OpenCircuitSendsCallsElsewhere, Fixture) {
  BOOST_TEST(pick() == "near");
  fail("near", 5);
  BOOST_TEST(pick() == "far");
}

BOOST_FIXTURE_TEST_CASE(FailingEndpointIsTakenIfThereIsNoOther, Fixture) {
  fail("near", 5);
  fail("far", 5);
  BOOST_TEST(!pick().empty());
}

BOOST_FIXTURE_TEST_CASE(EndpointIsTriedAgainAfterAWait, Fixture) {
  fail("near", 5);
  Time_.advance(std::chrono::seconds(2));
  BOOST_TEST(pick() == "near");
  for (int Trial = 0; Trial < 2; ++Trial) {
    Picker_.sendStarted(EndpointId("near"), Time_.now());
    Picker_.sendEnded(EndpointId("near"), true, Time_.now());
  }
  BOOST_TEST((Picker_.circuitPhase(EndpointId("near")) == CircuitPhase::Closed));
}
