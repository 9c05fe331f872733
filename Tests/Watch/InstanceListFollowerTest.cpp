#include "Watch/InstanceListFollower.h"
#include "Core/Common/ErrorCode.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <utility>

using namespace rattancart;

namespace {

/// Returns the list that the test has set, or an error.
class FakeListService final : public InstanceListService {
public:
  void list(std::function<void(Result<InstanceList>)> Done) override {
    ++Reads_;
    if (Down_)
      return Done(Error{ErrorCode::PlatformUnreachable, ""});
    Done(List_);
  }

  int Reads_ = 0;
  bool Down_ = false;
  InstanceList List_;
};

ListedInstance entry(std::uint64_t Run, bool Leaving) {
  ListedInstance Entry;
  Entry.Id_ = EndpointId("s1");
  Entry.Incarnation_ = Incarnation(Run);
  Entry.Leaving_ = Leaving;
  return Entry;
}

struct Fixture {
  Fixture()
      : Table_(Time_, std::chrono::seconds(4)),
        Follower_(Loop_, Time_, Log_, Service_, Table_,
                  [this](const EndpointId &, EndpointChange Change) { LastChange_ = Change; }) {}

  void read(std::uint64_t Version, std::vector<ListedInstance> Instances) {
    Service_.List_ = {Version, std::move(Instances)};
    Follower_.start(std::chrono::hours(1));
  }

  void receiveReport() {
    Endpoint Record = *Table_.find(Id_);
    ++Record.LoadSequence_;
    Table_.apply(Record, Time_.now());
  }

  boost::asio::io_context Loop_;
  ManualClock Time_;
  NullLogger Log_;
  FakeListService Service_;
  EndpointTable Table_;
  EndpointChange LastChange_ = EndpointChange::None;
  InstanceListFollower Follower_;
  const EndpointId Id_{"s1"};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(ListedEndpointGetsNoWorkBeforeItsOwnReport, Fixture) {
  read(1, {entry(1, false)});
  BOOST_TEST((LastChange_ == EndpointChange::Added));
  BOOST_TEST(!Table_.mayTakeWork(Id_));
  receiveReport();
  BOOST_TEST(Table_.mayTakeWork(Id_));
}

BOOST_FIXTURE_TEST_CASE(OlderListChangesNothing, Fixture) {
  read(5, {entry(1, true)});
  read(4, {entry(2, false)});
  BOOST_TEST(Follower_.version() == 5);
  BOOST_TEST((Table_.find(Id_)->State_ == EndpointState::Leaving));
}

BOOST_FIXTURE_TEST_CASE(LeavingEndpointStaysSoThoughANewerListSaysOtherwise, Fixture) {
  read(1, {entry(1, false)});
  receiveReport();
  read(2, {entry(1, true)});
  read(3, {entry(1, false)});
  BOOST_TEST(!Table_.mayTakeWork(Id_));
}

BOOST_FIXTURE_TEST_CASE(UnlistedEndpointStaysWhileItAnswers, Fixture) {
  read(1, {entry(1, false)});
  receiveReport();
  read(2, {});
  BOOST_TEST(Table_.mayTakeWork(Id_));
  Time_.advance(std::chrono::seconds(11));
  read(3, {});
  BOOST_TEST((Table_.find(Id_)->State_ == EndpointState::Gone));
}

BOOST_FIXTURE_TEST_CASE(OutageOfTheListKeepsKnownEndpoints, Fixture) {
  read(1, {entry(1, false)});
  receiveReport();
  Service_.Down_ = true;
  read(2, {});
  BOOST_TEST(!Follower_.isUp());
  BOOST_TEST(Table_.mayTakeWork(Id_));
}
