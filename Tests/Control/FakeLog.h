#pragma once

#include "Control/SettingsScheduler.h"
#include "Core/Common/Clock.h"
#include "Core/Common/ErrorCode.h"
#include "LogClient/HttpLogClient.h"

#include <fmt/format.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace rattancart {

/// Runs handlers in the order of their due times and advances the clock itself.
class ManualScheduler final : public Scheduler {
public:
  explicit ManualScheduler(ManualClock &Time) : Time_(Time) {}

  void after(Duration Delay, std::function<void()> Handler) override {
    Queue_.emplace(std::pair{Time_.now() + Delay, Next_++}, std::move(Handler));
  }

  /// Advances the time by Span and runs the handlers that fall due on the way.
  void run(Duration Span) {
    const TimePoint End = Time_.now() + Span;
    while (!Queue_.empty() && Queue_.begin()->first.first <= End) {
      auto Node = Queue_.extract(Queue_.begin());
      Time_.advance(std::max(Duration::zero(), Node.key().first - Time_.now()));
      Node.mapped()();
    }
    Time_.advance(End - Time_.now());
  }

private:
  ManualClock &Time_;
  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> Queue_;
  std::uint64_t Next_ = 0;
};

/// A log with one stream in memory and random faults. Keeps trimmed records so that tests can read
/// them.
class FakeLog final : public LogService {
public:
  struct Faults {
    bool Down_ = false;
    /// Percentage of the appends, as AppendLate_, AppendTwice_ and RefuseConnections_ are.
    int LoseAnswers_ = 0;
    int AppendLate_ = 0;
    /// The minimum delay of a late append, in seconds.
    int MinLateSeconds_ = 1;
    int AppendTwice_ = 0;
    int RefuseConnections_ = 0;
    /// The number of records that retention keeps; 0 keeps all.
    std::size_t Retain_ = 0;
    Duration MaxDelay_ = std::chrono::milliseconds(5);
  };

  FakeLog(Scheduler &Later, std::mt19937_64 &Random) : Later_(Later), Random_(Random) {}

  void append(const std::string &, std::string Body,
              std::function<void(Result<LogOffset>)> Done) override {
    if (chance(Faults_.RefuseConnections_) || Faults_.Down_)
      return answer<LogOffset>(Done, Error{ErrorCode::PlatformUnreachable, "refused"});
    if (chance(Faults_.AppendLate_)) {
      Later_.after(std::chrono::seconds(Faults_.MinLateSeconds_ + draw(20)),
                   [this, Body = std::move(Body)] { add(Body); });
      return answer<LogOffset>(Done, Error{ErrorCode::AppendUnknown, "late"});
    }
    Later_.after(delay(), [this, Body = std::move(Body), Done] {
      const LogOffset Offset = add(Body);
      if (chance(Faults_.AppendTwice_))
        Later_.after(std::chrono::seconds(draw(30)), [this, Body] { add(Body); });
      if (chance(Faults_.LoseAnswers_))
        answer<LogOffset>(Done, Error{ErrorCode::AppendUnknown, "lost"});
      else
        answer<LogOffset>(Done, Offset);
    });
  }

  void read(const std::string &, LogOffset From, std::size_t Max, Duration Wait,
            std::function<void(Result<LogPage>)> Done) override {
    ++Reads_;
    Later_.after(delay(), [this, From, Max, Wait, Done] {
      if (!Faults_.Down_ && From.value() >= next().value() && Wait > Duration::zero()) {
        const std::uint64_t Id = NextWaiter_++;
        Waiters_.emplace(Id, Waiter{From, Max, Done});
        Later_.after(Wait, [this, Id] { wake(Id); });
        return;
      }
      Done(page(From, Max));
    });
  }

  /// Appends at once and without faults, like another program.
  LogOffset add(const std::string &Body) {
    const LogOffset Offset = next();
    All_.push_back({Offset, Body});
    if (Faults_.Retain_ != 0 && All_.size() > Faults_.Retain_)
      First_ =
          std::max(First_, LogOffset(next().value() - static_cast<std::int64_t>(Faults_.Retain_)));
    std::vector<std::uint64_t> Ready;
    for (const auto &[Id, Item] : Waiters_)
      Ready.push_back(Id);
    for (const std::uint64_t Id : Ready)
      Later_.after(delay(), [this, Id] { wake(Id); });
    return Offset;
  }

  LogOffset next() const { return LogOffset(static_cast<std::int64_t>(All_.size())); }
  const std::vector<LogRecord> &all() const { return All_; }

  Faults Faults_;
  LogOffset First_{0};
  std::uint64_t Reads_ = 0;

private:
  struct Waiter {
    LogOffset From_;
    std::size_t Max_;
    std::function<void(Result<LogPage>)> Done_;
  };

  int draw(int Below) { return static_cast<int>(Random_() % static_cast<std::uint64_t>(Below)); }
  bool chance(int Percent) { return Percent > 0 && draw(100) < Percent; }
  Duration delay() { return Faults_.MaxDelay_ * draw(100) / 100; }

  template <typename T> void answer(std::function<void(Result<T>)> Done, Result<T> Value) {
    Later_.after(delay(), [Done = std::move(Done), Value = std::move(Value)] { Done(Value); });
  }

  void wake(std::uint64_t Id) {
    auto Node = Waiters_.extract(Id);
    if (Node)
      Node.mapped().Done_(page(Node.mapped().From_, Node.mapped().Max_));
  }

  Result<LogPage> page(LogOffset From, std::size_t Max) const {
    if (Faults_.Down_)
      return Error{ErrorCode::PlatformUnreachable, "down"};
    if (From < First_)
      return Error{ErrorCode::OffsetTrimmed,
                   fmt::format(R"({{"first":{},"next":{}}})", First_.value(), next().value())};
    LogPage Page{First_, next(), {}};
    for (std::size_t I = static_cast<std::size_t>(From.value());
         I < All_.size() && Page.Records_.size() < Max; ++I)
      Page.Records_.push_back(All_[I]);
    return Page;
  }

  Scheduler &Later_;
  std::mt19937_64 &Random_;
  std::vector<LogRecord> All_;
  std::map<std::uint64_t, Waiter> Waiters_;
  std::uint64_t NextWaiter_ = 0;
};

} // namespace rattancart
