#include "Control/SettingsFollower.h"
#include "Tests/Control/FakeLog.h"
#include "Tests/Core/Settings/Records.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace rattancart;

// Property: whatever faults the log and the processes have, every answer to an operator agrees with
// the log, the offsets that a process applies only rise, and once the faults end all processes have
// the same state.
namespace {

constexpr int DefaultSchedules = 300;
constexpr int Steps = 120;

/// The number of schedules; RATTANCART_SETTINGS_SCHEDULES sets it for a longer run.
int scheduleCount() {
  const char *Text = std::getenv("RATTANCART_SETTINGS_SCHEDULES");
  return Text ? std::atoi(Text) : DefaultSchedules;
}

/// A fault that a test injects to show that the check notices it.
enum class InjectedFault { None, AnswerBeforeReadingBack };

/// One control process: its follower, and a check that its offsets only rise.
class Process final : public SettingsListener {
public:
  Process(SettingsFollower::Services Used, const SettingsFollowerOptions &Options)
      : Follower_(Used, Options, *this) {
    Follower_.start();
  }

  void onSettingsRecord(LogOffset Offset, std::string_view) override { checkOffset(Offset); }
  void onSettingsImage() override { checkOffset(Follower_.replica().offset()); }

  bool offsetsRose() const { return OffsetsRose_; }
  SettingsFollower &follower() { return Follower_; }

private:
  void checkOffset(LogOffset Offset) {
    OffsetsRose_ = OffsetsRose_ && Offset > Last_ && Offset == Follower_.replica().offset();
    Last_ = Offset;
  }

  bool OffsetsRose_ = true;
  LogOffset Last_ = NoOffset;
  SettingsFollower Follower_;
};

struct AnsweredChange {
  std::string Change_;
  SubmitOutcome Outcome_;
};

class Schedule {
public:
  Schedule(std::uint64_t Seed, InjectedFault Fault) : Random_(Seed), Fault_(Fault) {
    Options_.SnapshotRecords_ = 12;
    Options_.SnapshotTurn_ = std::chrono::seconds(2);
    Options_.PageRecords_ = 7;
    Log_.Faults_ = {false, 20, 15, 1, 15, 10, 0, std::chrono::milliseconds(400)};
    for (int I = 0; I < 3; ++I)
      Processes_.push_back(makeProcess());
  }

  /// The first violation, if there is one.
  std::optional<std::string> run() {
    for (int Step = 0; Step < Steps; ++Step) {
      takeRandomStep();
      Later_.run(std::chrono::milliseconds(Random_() % 2000));
      for (const std::unique_ptr<Process> &Item : Processes_)
        if (!Item->offsetsRose())
          return "an offset did not rise";
    }
    Trimmed_ = Log_.First_ > LogOffset(0);
    Log_.Faults_.Down_ = false;
    Log_.Faults_.AppendLate_ = 0;
    Log_.Faults_.AppendTwice_ = 0;
    Later_.run(std::chrono::seconds(90));
    return compare();
  }

  std::map<SubmitOutcome::State, int> Answers_;
  int Images_ = 0;
  bool Trimmed_ = false;

private:
  std::unique_ptr<Process> makeProcess() {
    Options_.Self_ = InstanceId(fmt::format("c{}", Started_++));
    return std::make_unique<Process>(
        SettingsFollower::Services{Log_, Time_, Later_, Logger_, Random_}, Options_);
  }

  void takeRandomStep() {
    Process &Chosen = *Processes_[Random_() % Processes_.size()];
    if (Log_.Faults_.Down_ && Random_() % 3 == 0)
      Log_.Faults_.Down_ = false;
    switch (Random_() % 12) {
    case 0:
      Log_.Faults_.Down_ = Random_() % 2 == 0;
      return;
    case 1:
      // A process is restarted; the answers that it still owes are lost.
      Processes_[Random_() % Processes_.size()] = makeProcess();
      return;
    case 2:
      Log_.Faults_.Retain_ = 40;
      return;
    case 3:
    case 4:
      return offerImageToPeer(Chosen);
    default:
      return submit(Chosen);
    }
  }

  /// A process offers its image to another one, as peers do.
  void offerImageToPeer(Process &From) {
    Process &To = *Processes_[Random_() % Processes_.size()];
    if (!From.follower().ready())
      return;
    const SettingsLog &State = From.follower().replica().log();
    if (To.follower().offerImage(State.offset(), State.image()).State_ ==
        ReplicaResult::State::Applied)
      ++Images_;
  }

  void submit(Process &To) {
    const std::string Id = fmt::format("s{}", NextChange_++);
    const LogOffset Known = To.follower().replica().offset();
    const std::string Path = fmt::format("/teams/t/limits/c{}", Random_() % 3);
    const std::string Edit = Random_() % 4 == 0
                                 ? deleteEdit(Path)
                                 : putEdit(Path + "/concurrent", fmt::format("{}", Random_() % 9));
    const std::int64_t Back = static_cast<std::int64_t>(Random_() % 4);
    const std::int64_t Base = std::max<std::int64_t>(-1, Known.value() - Back);
    const SettingsChange Change = *parseChange(changeRecord(Id, Base, Edit));
    if (Fault_ == InjectedFault::AnswerBeforeReadingBack) {
      // The injected fault: a confirmed append is reported as an accepted change.
      Log_.append("settings", formatChange(Change), [this, Id](const Result<LogOffset> &Offset) {
        if (Offset)
          AnsweredChanges_.push_back(
              {Id, {SubmitOutcome::State::Accepted, ChangeId(Id), *Offset, {}}});
      });
      return;
    }
    To.follower().submit(Change, [this, Id](const SubmitOutcome &Outcome) {
      ++Answers_[Outcome.State_];
      AnsweredChanges_.push_back({Id, Outcome});
    });
  }

  /// Compares the answers and the processes with one reader of the whole log.
  std::optional<std::string> compare() {
    SettingsLog Whole;
    std::map<std::string, LogOffset> Accepted;
    for (const LogRecord &Record : Log_.all()) {
      const SettingsDecision Outcome = Whole.apply(Record.Offset_, Record.Body_);
      if (Outcome.Kind_ == SettingsDecision::Kind::Accepted &&
          !Accepted.emplace(Outcome.Change_.str(), Outcome.Offset_).second)
        return "a change took effect twice";
    }
    for (const AnsweredChange &Item : AnsweredChanges_) {
      if (Item.Outcome_.State_ == SubmitOutcome::State::Unknown)
        continue;
      const auto Found = Accepted.find(Item.Change_);
      const bool InForce = Found != Accepted.end();
      if (InForce != (Item.Outcome_.State_ == SubmitOutcome::State::Accepted))
        return "the answer for " + Item.Change_ + " does not agree with the log";
      if (InForce && Found->second != Item.Outcome_.Offset_)
        return "the revision of " + Item.Change_ + " does not agree with the log";
    }
    for (const std::unique_ptr<Process> &Item : Processes_) {
      const SettingsReplica &Replica = Item->follower().replica();
      if (!Item->follower().ready() || Replica.offset() != Whole.offset())
        return fmt::format("a process is at {}, the log at {}", Replica.offset().value(),
                           Whole.offset().value());
      if (Replica.digest() != Whole.digest())
        return "a process has another state";
    }
    return std::nullopt;
  }

  std::mt19937_64 Random_;
  InjectedFault Fault_;
  ManualClock Time_;
  ManualScheduler Later_{Time_};
  FakeLog Log_{Later_, Random_};
  NullLogger Logger_;
  SettingsFollowerOptions Options_;
  std::vector<std::unique_ptr<Process>> Processes_;
  int Started_ = 0;
  int NextChange_ = 0;
  std::vector<AnsweredChange> AnsweredChanges_;
};

} // namespace

BOOST_AUTO_TEST_CASE(AnswersAgreeWithTheLog) {
  std::map<SubmitOutcome::State, int> Answers;
  int Images = 0;
  int Trimmed = 0;
  for (int Seed = 1; Seed <= scheduleCount(); ++Seed) {
    Schedule Run(static_cast<std::uint64_t>(Seed), InjectedFault::None);
    const std::optional<std::string> Violation = Run.run();
    BOOST_REQUIRE_MESSAGE(!Violation, "seed " << Seed << ": " << *Violation);
    for (const auto &[State, Count] : Run.Answers_)
      Answers[State] += Count;
    Images += Run.Images_;
    Trimmed += Run.Trimmed_ ? 1 : 0;
  }
  BOOST_TEST_MESSAGE(scheduleCount()
                     << " schedules, " << Answers[SubmitOutcome::State::Accepted] << " accepted, "
                     << Answers[SubmitOutcome::State::Rejected] << " rejected, "
                     << Answers[SubmitOutcome::State::Unknown] << " unknown, " << Images
                     << " images from peers, " << Trimmed << " logs trimmed");
  BOOST_TEST(Answers.size() == 3U);
  BOOST_TEST(Images > 0);
  BOOST_TEST(Trimmed > 0);
}

BOOST_AUTO_TEST_CASE(AnswersBeforeReadingBackAreDetected) {
  bool Caught = false;
  for (int Seed = 1; Seed <= DefaultSchedules && !Caught; ++Seed)
    Caught = Schedule(static_cast<std::uint64_t>(Seed), InjectedFault::AnswerBeforeReadingBack)
                 .run()
                 .has_value();
  BOOST_TEST(Caught);
}
