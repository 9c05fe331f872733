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

// Explores every interleaving of three calls for one key over the product's table: A and B are
// copies, C is a repeat sent only after a caller was told not-run. Records are appended late and
// up to Copies times, a router may stop between any two steps, and the key may be forgotten once
// both copies have arrived.
namespace {

enum class Bent { Nothing, Position, LateRead, ReleaseFirst, ClaimAgain, NoWin, Floor };

enum class Phase : char { New, Arrived, Asked, GaveUp, Won, Lost, Telling, Sent, End };

struct Rec {
  /// 'c' claim, 'd' done, 'f' forget, 'r' released.
  char Kind_;
  std::uint8_t Who_;
  std::uint8_t Tail_;
  auto operator<=>(const Rec &) const = default; // NOLINT
};

struct CallState {
  Phase Phase_ = Phase::New;
  std::uint8_t Tail_ = 0;
};

struct State {
  std::vector<Rec> Log_;
  std::vector<Rec> Flight_;
  std::array<CallState, 3> Calls_;
  std::string Runs_;
  bool Told_ = false;

  std::string key() const {
    std::string Key;
    for (const auto *Records : {&Log_, &Flight_}) {
      for (const Rec &Each : *Records)
        Key.append({Each.Kind_, static_cast<char>(Each.Who_), static_cast<char>(Each.Tail_)});
      Key += '|';
    }
    for (const CallState &Each : Calls_)
      Key.append({static_cast<char>(Each.Phase_), static_cast<char>(Each.Tail_)});
    return Key + Runs_ + (Told_ ? '!' : '.');
  }
};

const IdempotencyKey Key("k");
const std::array<RequestId, 3> Ids = {RequestId("A"), RequestId("B"), RequestId("C")};

struct Replay {
  std::array<bool, 3> Won_{};
  std::array<bool, 3> Lost_{};
  bool Done_ = false;
  std::int64_t DoneAt_ = -1;
};

class Explorer {
public:
  Explorer(Bent Rule, int Copies) : Rule_(Rule), Copies_(Copies) {}

  /// Whether no interleaving breaks a promise.
  bool holds(std::size_t MaxStates) {
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
  bool isComplete() const { return Complete_; }
  bool hasRepeatRun() const { return RepeatRan_; }

private:
  void push(State Next) {
    if (Seen_.insert(Next.key()).second)
      Queue_.push_back(std::move(Next));
  }

  Replay replay(const State &From) const {
    ClaimTable Table;
    Replay Seen;
    for (std::size_t At = 0; At < From.Log_.size(); ++At) {
      const LogOffset Offset(static_cast<std::int64_t>(At));
      const Rec &Each = From.Log_[At];
      applyTo(Table, Offset, Each);
      if (Each.Kind_ == 'd' && !Seen.Done_) {
        Seen.DoneAt_ = Offset.value();
        Seen.Done_ = true;
      }
      if (Each.Kind_ == 'f')
        Seen.Done_ = false;
      if (Each.Kind_ != 'c')
        continue;
      const auto Who = static_cast<std::size_t>(Each.Who_);
      const bool IsWin =
          Table.verdictOf(Ids[Who], Key, LogOffset(Each.Tail_)).State_ == ClaimVerdict::State::Won;
      (IsWin ? Seen.Won_ : Seen.Lost_)[Who] = true;
    }
    for (std::size_t Who = 0; Who < 3; ++Who)
      Seen.Lost_[Who] = Seen.Lost_[Who] && !Seen.Won_[Who];
    return Seen;
  }

  void applyTo(ClaimTable &Table, LogOffset Offset, const Rec &Each) const {
    ClaimRecord Record;
    if (Each.Kind_ == 'f') {
      // Who_ carries the end of the dropped part, Tail_ the floor.
      Record.Forget_ = ClaimForget{LogOffset(Each.Who_), LogOffset(Each.Tail_)};
      Table.apply(Offset, Record);
      if (Rule_ != Bent::Floor)
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
    Item.Call_ = Ids[static_cast<std::size_t>(Each.Who_)];
    Item.Key_ = Key;
    Item.Position_ = Rule_ == Bent::Position ? Offset : LogOffset(Each.Tail_);
    Record.Items_ = {std::move(Item)};
    Table.apply(Offset, Record);
  }

  void go(const State &From, std::size_t Who, Phase To, char Kind = 0, int Count = 0) {
    State Next = From;
    Next.Calls_[Who].Phase_ = To;
    for (int Each = 0; Each < Count; ++Each)
      Next.Flight_.push_back({Kind, static_cast<std::uint8_t>(Who), From.Calls_[Who].Tail_});
    std::sort(Next.Flight_.begin(), Next.Flight_.end());
    push(std::move(Next));
  }
  void goTold(State From, std::size_t Who, Phase To, bool Told) {
    From.Told_ = From.Told_ || Told;
    go(From, Who, To);
  }
  void arrive(State From, std::size_t Who) {
    From.Calls_[Who].Tail_ = static_cast<std::uint8_t>(From.Log_.size());
    go(From, Who, Phase::Arrived);
  }

  bool expand(const State &From) {
    const Replay Seen = replay(From);
    RepeatRan_ = RepeatRan_ || From.Runs_.find('C') != std::string::npos;
    for (std::size_t Who = 0; Who < 3; ++Who)
      if (!expandCall(From, Seen, Who))
        return false;
    for (std::size_t At = 0; At < From.Flight_.size(); ++At) {
      if (At > 0 && From.Flight_[At - 1] == From.Flight_[At])
        continue;
      State Next = From;
      Next.Log_.push_back(From.Flight_[At]);
      Next.Flight_.erase(Next.Flight_.begin() + static_cast<std::ptrdiff_t>(At));
      push(std::move(Next));
    }
    forget(From, Seen);
    return true;
  }

  void forget(const State &From, const Replay &Seen) {
    const bool WasForgotten = std::any_of(From.Log_.begin(), From.Log_.end(),
                                          [](const Rec &Each) { return Each.Kind_ == 'f'; });
    const bool HaveArrived =
        From.Calls_[0].Phase_ != Phase::New && From.Calls_[1].Phase_ != Phase::New;
    if (!Seen.Done_ || WasForgotten || !HaveArrived)
      return;
    // The lowest floor that the window's rule allows: past what the copies knew.
    const auto Floor =
        static_cast<std::uint8_t>(std::max(From.Calls_[0].Tail_, From.Calls_[1].Tail_) + 1);
    State Next = From;
    Next.Log_.push_back({'f', static_cast<std::uint8_t>(Seen.DoneAt_ + 1), Floor});
    push(std::move(Next));
  }

  bool expandCall(const State &From, const Replay &Seen, std::size_t Who) {
    const bool IsCopy = Who < 2;
    const bool Tells = IsCopy;
    switch (From.Calls_[Who].Phase_) {
    case Phase::New:
      if (IsCopy != From.Told_)
        arrive(From, Who);
      return true;
    case Phase::Arrived:
      if (Rule_ == Bent::LateRead &&
          From.Calls_[Who].Tail_ != static_cast<std::uint8_t>(From.Log_.size()))
        arrive(From, Who);
      go(From, Who, Phase::Asked, 'c', Copies_);
      return true;
    case Phase::Asked:
      goTold(From, Who, Phase::GaveUp, Tells && Rule_ == Bent::NoWin);
      if (Seen.Won_[Who])
        go(From, Who, Phase::Won);
      else if (Seen.Lost_[Who])
        go(From, Who, Phase::Lost);
      return true;
    case Phase::GaveUp:
      if (Seen.Won_[Who])
        go(From, Who, Phase::End, 'r', Copies_);
      return true;
    case Phase::Won:
      return expandHolder(From, Who, Tells);
    case Phase::Telling:
      if (Rule_ == Bent::ReleaseFirst)
        goTold(From, Who, Phase::End, Tells);
      else
        go(From, Who, Phase::End, 'r', Copies_);
      return true;
    case Phase::Sent:
      go(From, Who, Phase::End, 'd', 1);
      return true;
    case Phase::Lost:
      if (Rule_ == Bent::ClaimAgain)
        arrive(From, Who);
      return true;
    case Phase::End:
      break;
    }
    return true;
  }

  bool expandHolder(const State &From, std::size_t Who, bool Tells) {
    if (!From.Runs_.empty() || (From.Told_ && Who < 2))
      return false;
    State Running = From;
    Running.Runs_ += "ABC"[Who];
    go(Running, Who, Phase::Sent);
    if (Rule_ == Bent::ReleaseFirst)
      go(From, Who, Phase::Telling, 'r', Copies_);
    else
      goTold(From, Who, Phase::Telling, Tells);
    return true;
  }

  Bent Rule_;
  int Copies_;
  std::unordered_set<std::string> Seen_;
  std::deque<State> Queue_;
  bool Complete_ = false;
  bool RepeatRan_ = false;
};

struct Case {
  const char *Name_;
  Bent Rule_;
  int Copies_;
};
std::ostream &operator<<(std::ostream &Out, const Case &C) {
  return Out << C.Name_ << ", copies " << C.Copies_;
}

/// How often a record may be appended where the bent rule shows.
const Case BentRules[] = {
    {"no position rule", Bent::Position, 2},
    {"position read after arrival", Bent::LateRead, 1},
    {"release before telling", Bent::ReleaseFirst, 1},
    {"a loser claims again", Bent::ClaimAgain, 1},
    {"not-run without a read win", Bent::NoWin, 1},
    {"no floor at forgetting", Bent::Floor, 2},
};

constexpr std::size_t MaxStates = 6'000'000;

} // namespace

BOOST_DATA_TEST_CASE(RulesHoldInEveryInterleaving, data::make({1, 2}), Copies) {
  Explorer All(Bent::Nothing, Copies);
  BOOST_TEST(All.holds(MaxStates));
  BOOST_TEST(All.isComplete());
  BOOST_TEST(All.hasRepeatRun());
  BOOST_TEST_MESSAGE("copies " << Copies << ": " << All.states() << " states");
}

BOOST_DATA_TEST_CASE(BentRuleIsCaught, data::make(BentRules), C) {
  Explorer All(C.Rule_, C.Copies_);
  BOOST_TEST(!All.holds(MaxStates));
  BOOST_TEST_MESSAGE(C << ": " << All.states() << " states");
}
