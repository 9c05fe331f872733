#include "Core/Membership/EndpointTable.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ostream>
#include <random>
#include <vector>

using namespace rattancart;

namespace {

constexpr Duration FreshFor = std::chrono::seconds(4);
const EndpointId Id("svc-1");

Endpoint record(std::uint64_t Run, std::uint64_t Sequence,
                EndpointState State = EndpointState::Live, bool Silent = false) {
  Endpoint Record;
  Record.Id_ = Id;
  Record.Service_ = ServiceId("lift-desk");
  Record.Incarnation_ = Incarnation(Run);
  Record.LoadSequence_ = Sequence;
  Record.State_ = State;
  Record.Silent_ = Silent;
  return Record;
}

struct UpdateCase {
  const char *Name_;
  Endpoint First_;
  Endpoint Second_;
  EndpointChange Change_;
  bool MayTakeWork_;
};

std::ostream &operator<<(std::ostream &Out, const UpdateCase &Case) { return Out << Case.Name_; }

const UpdateCase UpdateCases[] = {
    {"newer report", record(1, 1), record(1, 2), EndpointChange::Updated, true},
    {"older report", record(1, 2), record(1, 1), EndpointChange::None, true},
    {"leaving", record(1, 1), record(1, 2, EndpointState::Leaving), EndpointChange::Leaving, false},
    {"older report says leaving", record(1, 5), record(1, 2, EndpointState::Leaving),
     EndpointChange::Leaving, false},
    {"list goes back to live", record(1, 2, EndpointState::Leaving), record(1, 3),
     EndpointChange::Updated, false},
    {"new incarnation after leaving", record(1, 2, EndpointState::Leaving), record(2, 1),
     EndpointChange::Added, true},
    {"older incarnation is late", record(2, 1), record(1, 9, EndpointState::Leaving),
     EndpointChange::Stale, true},
    {"silent since this report", record(1, 1), record(1, 1, EndpointState::Live, true),
     EndpointChange::Updated, false},
    {"silent since an older report", record(1, 2), record(1, 1, EndpointState::Live, true),
     EndpointChange::None, true},
    {"newer report after silence", record(1, 1, EndpointState::Live, true), record(1, 2),
     EndpointChange::Updated, true},
};

} // namespace

BOOST_DATA_TEST_CASE(UpdatesMerge, boost::unit_test::data::make(UpdateCases), Case) {
  const ManualClock Time;
  EndpointTable Table(Time, FreshFor);
  Table.apply(Case.First_, Time.now());
  BOOST_TEST((Table.apply(Case.Second_, Time.now()) == Case.Change_));
  BOOST_TEST(Table.mayTakeWork(Id) == Case.MayTakeWork_);
}

// Updates arrive in any order and more than once, so the merged state must not depend on the order.
BOOST_AUTO_TEST_CASE(AnyOrderOfUpdatesGivesOneState) {
  std::mt19937 Random(7);
  for (int Round = 0; Round < 2000; ++Round) {
    std::vector<Endpoint> Updates;
    Updates.reserve(6);
    for (int Count = 0; Count < 6; ++Count)
      Updates.push_back(record(1 + Random() % 2, 1 + Random() % 3,
                               static_cast<EndpointState>(Random() % 3), Random() % 2 == 0));
    EndpointTable A;
    EndpointTable B;
    for (const Endpoint &Update : Updates)
      A.apply(Update, TimePoint{});
    std::shuffle(Updates.begin(), Updates.end(), Random);
    for (const Endpoint &Update : Updates)
      B.apply(Update, TimePoint{});
    const Endpoint *X = A.find(Id);
    const Endpoint *Y = B.find(Id);
    BOOST_REQUIRE((X->Incarnation_ == Y->Incarnation_ && X->State_ == Y->State_ &&
                   X->LoadSequence_ == Y->LoadSequence_));
  }
}

BOOST_AUTO_TEST_CASE(StaleRecordsTakeNoWork) {
  ManualClock Time;
  EndpointTable Table(Time, FreshFor);
  Table.apply(record(1, 1), Time.now());
  Time.advance(FreshFor);
  BOOST_TEST(Table.mayTakeWork(Id));
  Time.advance(std::chrono::milliseconds(1));
  BOOST_TEST(!Table.mayTakeWork(Id));
  BOOST_TEST(Table.liveServices(ServiceId("lift-desk")).empty());
  Table.apply(record(1, 2), Time.now());
  BOOST_TEST(Table.mayTakeWork(Id));
}

// A frame that waited in a socket while the process was paused is applied with the time at which it
// was true, so it must not make the endpoint count as live.
BOOST_AUTO_TEST_CASE(ALateFrameDoesNotMakeARecordFresh) {
  ManualClock Time;
  EndpointTable Table(Time, FreshFor);
  const TimePoint Before = Time.now();
  Table.apply(record(1, 1), Before);
  Time.advance(std::chrono::seconds(60));
  Table.apply(record(1, 2), Before + std::chrono::seconds(1));
  BOOST_TEST(!Table.mayTakeWork(Id));
}

BOOST_AUTO_TEST_CASE(DrainedEndpointsTakeNoWork) {
  EndpointTable Table;
  Table.apply(record(1, 1), TimePoint{});
  Table.setDrained({Id});
  BOOST_TEST(!Table.mayTakeWork(Id));
  Table.setDrained({});
  BOOST_TEST(Table.mayTakeWork(Id));
}

BOOST_AUTO_TEST_CASE(GoneEndpointsAreRemoved) {
  ManualClock Time;
  EndpointTable Table(Time, FreshFor);
  Table.apply(record(1, 1), Time.now());
  Table.markGone(Id, Incarnation(1));
  Table.forgetGone(Time.now());
  BOOST_TEST(Table.size() == 1);
  Time.advance(std::chrono::seconds(1));
  Table.forgetGone(Time.now());
  BOOST_TEST(Table.size() == 0);
}
