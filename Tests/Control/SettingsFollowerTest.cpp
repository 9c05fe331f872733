#include "Control/SettingsFollower.h"
#include "Tests/Control/FakeLog.h"
#include "Tests/Core/Settings/Records.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace rattancart;

namespace {

class EventCounter final : public Logger {
public:
  void log(LogEvent Event, std::initializer_list<LogField>) override { ++Counts_[Event]; }
  int count(LogEvent Event) const {
    const auto Found = Counts_.find(Event);
    return Found == Counts_.end() ? 0 : Found->second;
  }

private:
  std::map<LogEvent, int> Counts_;
};

struct OffsetListener final : SettingsListener {
  void onSettingsRecord(LogOffset Offset, std::string_view) override { Records_.push_back(Offset); }
  void onSettingsImage() override { ++Images_; }
  std::vector<LogOffset> Records_;
  int Images_ = 0;
};

/// Followers of one fake log.
struct Fixture {
  Fixture() {
    Options_.SnapshotRecords_ = 8;
    Options_.Self_ = InstanceId("c0");
  }

  SettingsFollower &add(const std::string &Name = "c0") {
    Options_.Self_ = InstanceId(Name);
    Followers_.push_back(std::make_unique<SettingsFollower>(
        SettingsFollower::Services{Log_, Time_, Later_, Events_, Random_}, Options_, Listener_));
    Followers_.back()->start();
    return *Followers_.back();
  }

  void run(int Seconds) { Later_.run(std::chrono::seconds(Seconds)); }

  /// Appends Count valid changes, one after the other.
  void appendChanges(int Count) {
    for (int I = 0; I < Count; ++I)
      Log_.add(changeRecord(fmt::format("x{}", Log_.next().value()), Log_.next().value() - 1,
                            putEdit("/endpoints/e/drain", I % 2 == 0 ? "true" : "false")));
  }

  ManualClock Time_;
  ManualScheduler Later_{Time_};
  std::mt19937_64 Random_{11};
  FakeLog Log_{Later_, Random_};
  EventCounter Events_;
  OffsetListener Listener_;
  SettingsFollowerOptions Options_;
  std::vector<std::unique_ptr<SettingsFollower>> Followers_;
};

bool hasSnapshot(const FakeLog &Log) {
  for (const LogRecord &Record : Log.all())
    if (imageOfSnapshot(Record.Body_))
      return true;
  return false;
}

} // namespace

BOOST_AUTO_TEST_CASE(AnEmptyLogIsReady) {
  Fixture Test;
  SettingsFollower &Follower = Test.add();
  BOOST_TEST(!Follower.ready());
  Test.run(1);
  BOOST_TEST(Follower.ready());
  BOOST_TEST((Follower.replica().offset() == NoOffset));
}

BOOST_AUTO_TEST_CASE(ATrimmedLogIsReadFromASnapshot) {
  Fixture Test;
  SettingsFollower &First = Test.add("c0");
  Test.appendChanges(40);
  Test.run(60);
  BOOST_REQUIRE(hasSnapshot(Test.Log_));
  Test.Log_.Faults_.Retain_ = 12;
  Test.appendChanges(5);
  Test.run(1);
  BOOST_REQUIRE(Test.Log_.First_ > LogOffset(0));
  SettingsFollower &Late = Test.add("c1");
  Test.run(2);
  BOOST_TEST(Late.ready());
  BOOST_TEST(Late.replica().digest() == First.replica().digest());
  BOOST_TEST(Test.Listener_.Images_ >= 1);
}

BOOST_AUTO_TEST_CASE(AGapIsReportedAndNeverSkipped) {
  Fixture Test;
  Test.Log_.Faults_.Retain_ = 5;
  Test.appendChanges(20);
  SettingsFollower &Follower = Test.add();
  Test.run(30);
  BOOST_TEST(!Follower.ready());
  BOOST_TEST((Follower.replica().offset() == NoOffset));
  BOOST_TEST(Test.Events_.count(LogEvent::SettingsGap) == 1);
  // A peer's record doesn't fill the gap before it; a peer's image does.
  BOOST_TEST((Follower.offerRecord(LogOffset(0), Test.Log_.all()[0].Body_).State_ ==
              ReplicaResult::State::Gap));
  SettingsLog Whole;
  for (std::size_t I = 0; I < 18; ++I)
    Whole.apply(Test.Log_.all()[I].Offset_, Test.Log_.all()[I].Body_);
  BOOST_TEST(
      (Follower.offerImage(Whole.offset(), Whole.image()).State_ == ReplicaResult::State::Applied));
  BOOST_TEST(Follower.ready());
  Test.run(10);
  BOOST_TEST((Follower.replica().offset() >= LogOffset(19)));
}

BOOST_AUTO_TEST_CASE(AFollowerBehindTheTrimmedLogLoadsASnapshot) {
  Fixture Test;
  SettingsFollower &Behind = Test.add("c0");
  Test.appendChanges(2);
  Test.run(2);
  Test.Log_.Faults_.Down_ = true;
  Test.run(30);
  BOOST_TEST(!Behind.platformUp());
  // Another reader continues in the meantime and writes snapshots.
  SettingsLog Other;
  for (int Round = 0; Round < 3; ++Round) {
    Test.appendChanges(8);
    while (Other.offset().next() < Test.Log_.next()) {
      const LogRecord &Record =
          Test.Log_.all()[static_cast<std::size_t>(Other.offset().value() + 1)];
      Other.apply(Record.Offset_, Record.Body_);
    }
    Test.Log_.Faults_.Retain_ = 6;
    Test.Log_.add(formatSnapshot(Other));
  }
  Test.Log_.Faults_.Down_ = false;
  Test.run(10);
  BOOST_TEST(Behind.platformUp());
  BOOST_TEST((Behind.replica().offset().next() == Test.Log_.next()));
  BOOST_TEST(Test.Events_.count(LogEvent::PlatformLost) == 1);
  BOOST_TEST(Test.Events_.count(LogEvent::PlatformBack) == 1);
}

BOOST_AUTO_TEST_CASE(AnUnknownSchemaStopsTheFollower) {
  Fixture Test;
  SettingsFollower &Follower = Test.add();
  Test.appendChanges(2);
  Test.Log_.add(R"({"schema":2,"kind":"change"})");
  Test.appendChanges(30);
  Test.run(60);
  BOOST_TEST((Follower.replica().offset() == LogOffset(1)));
  BOOST_TEST(Follower.ready());
  BOOST_TEST(Test.Events_.count(LogEvent::UnknownSchemaMet) == 1);
  BOOST_TEST(Test.Events_.count(LogEvent::SettingsGap) == 0);
  BOOST_TEST(!hasSnapshot(Test.Log_));
  BOOST_TEST(Follower.state().at("stopped_at_unknown_schema").as_bool());
}

BOOST_AUTO_TEST_CASE(AnOutageIsNotPolledWithoutPause) {
  Fixture Test;
  SettingsFollower &Follower = Test.add();
  Test.run(1);
  Test.Log_.Faults_.Down_ = true;
  const std::uint64_t Before = Test.Log_.Reads_;
  Test.run(600);
  BOOST_TEST(Test.Log_.Reads_ - Before < 700U);
  BOOST_TEST(Test.Log_.Reads_ - Before > 200U);
  BOOST_TEST(Follower.ready());
}

BOOST_AUTO_TEST_CASE(OneOfManyWritesADueSnapshot) {
  Fixture Test;
  const std::vector<std::string> Names{"c0", "c1", "c2", "c3"};
  for (const std::string &Name : Names)
    Test.add(Name).setPeers(Names);
  Test.run(1);
  for (int Round = 0; Round < 10; ++Round) {
    Test.appendChanges(8);
    Test.run(40);
  }
  const int Written = Test.Events_.count(LogEvent::SnapshotWritten);
  BOOST_TEST(Written >= 9);
  BOOST_TEST(Written <= 14);
}

BOOST_AUTO_TEST_CASE(AnIdleLogKeepsAFreshSnapshot) {
  Fixture Test;
  Test.appendChanges(1);
  Test.add();
  Test.run(3600 * 2);
  const int Written = Test.Events_.count(LogEvent::SnapshotWritten);
  BOOST_TEST(Written >= 7);
  BOOST_TEST(Written <= 10);
}

BOOST_AUTO_TEST_CASE(ARepeatedSubmitIsAnsweredFromTheFirst) {
  Fixture Test;
  SettingsFollower &Follower = Test.add();
  Test.run(1);
  const SettingsChange Change =
      *parseChange(changeRecord("1", -1, putEdit("/endpoints/e/drain", "true")));
  std::vector<SubmitOutcome> Outcomes;
  for (int I = 0; I < 2; ++I) {
    Follower.submit(Change, [&](const SubmitOutcome &Outcome) { Outcomes.push_back(Outcome); });
    BOOST_TEST(Outcomes.size() == static_cast<std::size_t>(I));
    Test.run(1);
  }
  BOOST_REQUIRE(Outcomes.size() == 2U);
  BOOST_TEST((Outcomes[1].State_ == SubmitOutcome::State::Accepted));
  BOOST_TEST((Outcomes[1].Offset_ == Outcomes[0].Offset_));
  BOOST_TEST((Test.Log_.next() == LogOffset(1)));
}

// Guards against a late copy of an accepted change being reported as rejected by a process that had
// not seen the first copy. Found by schedule 2839 of the schedule test.
BOOST_AUTO_TEST_CASE(ALateCopyDoesNotHideAnAcceptedOne) {
  Fixture Test;
  SettingsFollower &FromLog = Test.add("c0");
  Test.run(1);
  const std::string Change = changeRecord("a", -1, putEdit("/endpoints/e/drain", "true"));
  Test.Log_.add(Change);
  SettingsLog State;
  State.apply(LogOffset(0), Change);
  const std::string Snapshot = formatSnapshot(State);
  Test.Log_.add(Snapshot);
  State.apply(LogOffset(1), Snapshot);
  Test.run(1);
  Test.Log_.Faults_.Down_ = true;
  SettingsFollower &FromImage = Test.add("c1");
  FromImage.offerImage(LogOffset(1), State.image());
  for (SettingsFollower *Follower : {&FromLog, &FromImage}) {
    const ReplicaResult Copy = Follower->offerRecord(LogOffset(2), Change);
    BOOST_TEST(Copy.Decision_->Error_ == make_error_code(ErrorCode::BaseTooOld));
  }
  BOOST_TEST((FromLog.findChange(ChangeId("a")).State_ == SubmitOutcome::State::Accepted));
  BOOST_TEST((FromImage.findChange(ChangeId("a")).State_ == SubmitOutcome::State::Unknown));
}
