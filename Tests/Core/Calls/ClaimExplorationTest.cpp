#include "Core/Calls/ClaimTable.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <ostream>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

using namespace rattancart;
namespace data = boost::unit_test::data;

// Explores all interleavings of three calls with one key, with the real ClaimTable. A and B are
// copies of one call; C is a repeat, sent only after a caller was answered not-run. Records are
// appended after any delay and up to Duplicates times, a router may stop between any two steps, and
// the key may be forgotten once both copies have arrived. A violation is a second execution, or an
// execution of A or B after the caller was answered not-run.
namespace {

/// The rule that is broken, to show that the exploration detects it.
enum class BrokenRule {
  None,
  /// Claims are eligible whatever their position.
  NoPositionCheck,
  /// A router reads its position after the call arrived.
  PositionReadLate,
  /// The holder releases the key before it answers not-run.
  ReleaseBeforeAnswer,
  /// A call that lost claims the key again with a new position.
  LoserClaimsAgain,
  /// A router answers not-run for a claim that was not decided.
  NotRunWithoutWin,
  /// Forgetting a key does not raise the table's floor.
  NoForgetFloor
};

enum class Phase : char { New, Arrived, Claimed, GaveUp, Won, Lost, NotSending, Sent, End };

struct ExploredRecord {
  /// 'c' claim, 'd' done, 'f' forget, 'r' released.
  char Kind_;
  /// Index of the call.
  std::uint8_t CallIndex_;
  std::uint8_t Tail_;
  auto operator<=>(const ExploredRecord &) const = default; // NOLINT
};

struct CallState {
  Phase Phase_ = Phase::New;
  std::uint8_t Tail_ = 0;
};

struct State {
  std::vector<ExploredRecord> Log_;
  /// Records that may still be appended.
  std::vector<ExploredRecord> InFlight_;
  std::array<CallState, 3> Calls_;
  /// The names of the calls that were executed, in order.
  std::string Executions_;
  /// Whether the caller of A or B was answered not-run.
  bool AnsweredNotRun_ = false;

  std::string key() const {
    std::string Key;
    for (const auto *Records : {&Log_, &InFlight_}) {
      for (const ExploredRecord &Each : *Records)
        Key.append({Each.Kind_, static_cast<char>(Each.CallIndex_), static_cast<char>(Each.Tail_)});
      Key += '|';
    }
    for (const CallState &Each : Calls_)
      Key.append({static_cast<char>(Each.Phase_), static_cast<char>(Each.Tail_)});
    return Key + Executions_ + (AnsweredNotRun_ ? '!' : '.');
  }
};

const IdempotencyKey Key("k");
const std::array<RequestId, 3> Ids = {RequestId("A"), RequestId("B"), RequestId("C")};

/// What the claims in the log came to, and whether and where the key's call was recorded as done.
struct Replay {
  std::array<bool, 3> Won_{};
  std::array<bool, 3> Lost_{};
  bool Done_ = false;
  std::int64_t DoneAt_ = -1;
};

class Explorer {
public:
  Explorer(BrokenRule Rule, int Duplicates) : Rule_(Rule), Duplicates_(Duplicates) {}

  /// Whether no interleaving leads to a violation.
  bool findsNoViolation(std::size_t MaxStates) {
    push(State());
    while (!Queue_.empty() && Seen_.size() < MaxStates) {
      const State Each = std::move(Queue_.front());
      Queue_.pop_front();
      if (!expand(Each))
        return false;
    }
    Complete_ = Queue_.empty();
    return true;
  }

  std::size_t states() const { return Seen_.size(); }
  /// Whether all reachable states were explored.
  bool isComplete() const { return Complete_; }
  /// Whether C was executed in some interleaving.
  bool wasRepeatExecuted() const { return RepeatExecuted_; }

private:
  void push(State Next) {
    if (Seen_.insert(Next.key()).second)
      Queue_.push_back(std::move(Next));
  }

  /// Applies all records of the log to a ClaimTable.
  Replay replay(const State &From) const {
    ClaimTable Table;
    Replay Seen;
    for (std::size_t At = 0; At < From.Log_.size(); ++At) {
      const LogOffset Offset(static_cast<std::int64_t>(At));
      const ExploredRecord &Each = From.Log_[At];
      applyTo(Table, Offset, Each);
      if (Each.Kind_ == 'd' && !Seen.Done_) {
        Seen.DoneAt_ = Offset.value();
        Seen.Done_ = true;
      }
      if (Each.Kind_ == 'f')
        Seen.Done_ = false;
      if (Each.Kind_ != 'c')
        continue;
      const auto Call = static_cast<std::size_t>(Each.CallIndex_);
      const bool IsWin = Table.decisionFor(Ids[Call], Key, LogOffset(Each.Tail_)).State_ ==
                         ClaimDecision::State::Won;
      (IsWin ? Seen.Won_ : Seen.Lost_)[Call] = true;
    }
    for (std::size_t Call = 0; Call < 3; ++Call)
      Seen.Lost_[Call] = Seen.Lost_[Call] && !Seen.Won_[Call];
    return Seen;
  }

  void applyTo(ClaimTable &Table, LogOffset Offset, const ExploredRecord &Each) const {
    ClaimRecord Record;
    if (Each.Kind_ == 'f') {
      // For a forget record, CallIndex_ is ClaimForget::Before_ and Tail_ is the floor.
      Record.Forget_ = ClaimForget{LogOffset(Each.CallIndex_), LogOffset(Each.Tail_)};
      Table.apply(Offset, Record);
      if (Rule_ != BrokenRule::NoForgetFloor)
        return;
      ClaimImage Image = Table.image();
      Image.Floor_ = LogOffset(0);
      Table = ClaimTable(std::move(Image));
      return;
    }
    ClaimItem Item;
    Item.Kind_ = Each.Kind_ == 'c'   ? ClaimItem::Kind::Claim
                 : Each.Kind_ == 'd' ? ClaimItem::Kind::Done
                                     : ClaimItem::Kind::Released;
    Item.Call_ = Ids[static_cast<std::size_t>(Each.CallIndex_)];
    Item.Key_ = Key;
    Item.Position_ = Rule_ == BrokenRule::NoPositionCheck ? Offset : LogOffset(Each.Tail_);
    Record.Items_ = {std::move(Item)};
    Table.apply(Offset, Record);
  }

  /// Moves a call to a phase and puts Count records of Kind for it in flight.
  void enter(const State &From, std::size_t Call, Phase To, char Kind = 0, int Count = 0) {
    State Next = From;
    Next.Calls_[Call].Phase_ = To;
    for (int Each = 0; Each < Count; ++Each)
      Next.InFlight_.push_back({Kind, static_cast<std::uint8_t>(Call), From.Calls_[Call].Tail_});
    std::sort(Next.InFlight_.begin(), Next.InFlight_.end());
    push(std::move(Next));
  }
  void enterAfterAnswer(State From, std::size_t Call, Phase To, bool NotRunAnswered) {
    From.AnsweredNotRun_ = From.AnsweredNotRun_ || NotRunAnswered;
    enter(From, Call, To);
  }
  void arrive(State From, std::size_t Call) {
    From.Calls_[Call].Tail_ = static_cast<std::uint8_t>(From.Log_.size());
    enter(From, Call, Phase::Arrived);
  }

  /// Adds all states that can follow; false if a violation is found.
  bool expand(const State &From) {
    const Replay Seen = replay(From);
    RepeatExecuted_ = RepeatExecuted_ || From.Executions_.find('C') != std::string::npos;
    for (std::size_t Call = 0; Call < 3; ++Call)
      if (!expandCall(From, Seen, Call))
        return false;
    for (std::size_t At = 0; At < From.InFlight_.size(); ++At) {
      if (At > 0 && From.InFlight_[At - 1] == From.InFlight_[At])
        continue;
      State Next = From;
      Next.Log_.push_back(From.InFlight_[At]);
      Next.InFlight_.erase(Next.InFlight_.begin() + static_cast<std::ptrdiff_t>(At));
      push(std::move(Next));
    }
    forget(From, Seen);
    return true;
  }

  void forget(const State &From, const Replay &Seen) {
    const bool WasForgotten =
        std::any_of(From.Log_.begin(), From.Log_.end(),
                    [](const ExploredRecord &Each) { return Each.Kind_ == 'f'; });
    const bool HaveArrived =
        From.Calls_[0].Phase_ != Phase::New && From.Calls_[1].Phase_ != Phase::New;
    if (!Seen.Done_ || WasForgotten || !HaveArrived)
      return;
    // The lowest floor that the deduplication window allows: above the positions of both copies.
    const auto Floor =
        static_cast<std::uint8_t>(std::max(From.Calls_[0].Tail_, From.Calls_[1].Tail_) + 1);
    State Next = From;
    Next.Log_.push_back({'f', static_cast<std::uint8_t>(Seen.DoneAt_ + 1), Floor});
    push(std::move(Next));
  }

  bool expandCall(const State &From, const Replay &Seen, std::size_t Call) {
    const bool IsCopy = Call < 2;
    const bool MayAnswerNotRun = IsCopy;
    switch (From.Calls_[Call].Phase_) {
    case Phase::New:
      if (IsCopy != From.AnsweredNotRun_)
        arrive(From, Call);
      return true;
    case Phase::Arrived:
      if (Rule_ == BrokenRule::PositionReadLate &&
          From.Calls_[Call].Tail_ != static_cast<std::uint8_t>(From.Log_.size()))
        arrive(From, Call);
      enter(From, Call, Phase::Claimed, 'c', Duplicates_);
      return true;
    case Phase::Claimed:
      enterAfterAnswer(From, Call, Phase::GaveUp,
                       MayAnswerNotRun && Rule_ == BrokenRule::NotRunWithoutWin);
      if (Seen.Won_[Call])
        enter(From, Call, Phase::Won);
      else if (Seen.Lost_[Call])
        enter(From, Call, Phase::Lost);
      return true;
    case Phase::GaveUp:
      if (Seen.Won_[Call])
        enter(From, Call, Phase::End, 'r', Duplicates_);
      return true;
    case Phase::Won:
      return expandHolder(From, Call, MayAnswerNotRun);
    case Phase::NotSending:
      if (Rule_ == BrokenRule::ReleaseBeforeAnswer)
        enterAfterAnswer(From, Call, Phase::End, MayAnswerNotRun);
      else
        enter(From, Call, Phase::End, 'r', Duplicates_);
      return true;
    case Phase::Sent:
      enter(From, Call, Phase::End, 'd', 1);
      return true;
    case Phase::Lost:
      if (Rule_ == BrokenRule::LoserClaimsAgain)
        arrive(From, Call);
      return true;
    case Phase::End:
      break;
    }
    return true;
  }

  bool expandHolder(const State &From, std::size_t Call, bool MayAnswerNotRun) {
    if (!From.Executions_.empty() || (From.AnsweredNotRun_ && Call < 2))
      return false;
    State Running = From;
    Running.Executions_ += "ABC"[Call];
    enter(Running, Call, Phase::Sent);
    if (Rule_ == BrokenRule::ReleaseBeforeAnswer)
      enter(From, Call, Phase::NotSending, 'r', Duplicates_);
    else
      enterAfterAnswer(From, Call, Phase::NotSending, MayAnswerNotRun);
    return true;
  }

  BrokenRule Rule_;
  int Duplicates_;
  std::unordered_set<std::string> Seen_;
  std::deque<State> Queue_;
  bool Complete_ = false;
  bool RepeatExecuted_ = false;
};

struct Case {
  const char *Name_;
  BrokenRule Rule_;
  int Duplicates_;
};
std::ostream &operator<<(std::ostream &Out, const Case &C) {
  return Out << C.Name_ << ", duplicates " << C.Duplicates_;
}

/// With the fewest duplicates of a record that show the violation.
const Case BrokenRules[] = {
    {"no position rule", BrokenRule::NoPositionCheck, 2},
    {"position read after arrival", BrokenRule::PositionReadLate, 1},
    {"release before the not-run answer", BrokenRule::ReleaseBeforeAnswer, 1},
    {"a loser claims again", BrokenRule::LoserClaimsAgain, 1},
    {"not-run without a read win", BrokenRule::NotRunWithoutWin, 1},
    {"no floor at forgetting", BrokenRule::NoForgetFloor, 2},
};

constexpr std::size_t MaxStates = 6'000'000;

} // namespace

BOOST_DATA_TEST_CASE(NoInterleavingExecutesACallTwice, data::make({1, 2}), Duplicates) {
  Explorer Exploration(BrokenRule::None, Duplicates);
  BOOST_TEST(Exploration.findsNoViolation(MaxStates));
  BOOST_TEST(Exploration.isComplete());
  BOOST_TEST(Exploration.wasRepeatExecuted());
  BOOST_TEST_MESSAGE("duplicates " << Duplicates << ": " << Exploration.states() << " states");
}

BOOST_DATA_TEST_CASE(BrokenRuleIsDetected, data::make(BrokenRules), C) {
  Explorer Exploration(C.Rule_, C.Duplicates_);
  BOOST_TEST(!Exploration.findsNoViolation(MaxStates));
  BOOST_TEST_MESSAGE(C << ": " << Exploration.states() << " states");
}
