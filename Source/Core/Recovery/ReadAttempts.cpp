#include "Core/Recovery/ReadAttempts.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

/// The silence before the second attempt. With the time that the store holds a read and the time of
/// an answer, it is shorter than the time within which a configuration must be in force, so that a
/// lost connection delays none.
constexpr Duration FirstSilence = std::chrono::milliseconds(500);
/// The silence before each later one.
constexpr Duration LaterSilence = std::chrono::milliseconds(1000);
/// Attempts that may be under way at a time.
constexpr std::size_t MaxAttempts = 4;
/// A silence this long counts as a failed call, and as the loss of an answer that had begun. The
/// store answers in 4 ms, and in 50 times that while it is slow.
constexpr Duration SilenceLimit = std::chrono::milliseconds(1200);

} // namespace

std::size_t ReadAttempts::begin(TimePoint Now, Duration Wait) {
  Attempts_.push_back({Now, Now + Wait});
  return Attempts_.size() - 1;
}

void ReadAttempts::onProgress(std::size_t Number, TimePoint At) {
  Attempts_[Number].Receiving_ = true;
  Attempts_[Number].SilentSince_ = At;
}

bool ReadAttempts::onFailed(std::size_t Number) {
  Attempts_[Number].Ended_ = true;
  return !std::exchange(Attempts_[Number].Reported_, true);
}

TimePoint ReadAttempts::silentAt(const Attempt &Each) { return Each.SilentSince_ + SilenceLimit; }

std::size_t ReadAttempts::underWay() const {
  return static_cast<std::size_t>(std::count_if(Attempts_.begin(), Attempts_.end(),
                                                [](const Attempt &Each) { return !Each.Ended_; }));
}

std::optional<std::size_t> ReadAttempts::replaced() const {
  if (underWay() < MaxAttempts)
    return std::nullopt;
  std::size_t Newest = Attempts_.size() - 1;
  while (Attempts_[Newest].Ended_)
    --Newest;
  return Newest;
}

TimePoint ReadAttempts::furtherDueAt() const {
  if (underWay() == 0)
    return TimePoint::max();
  // An answer that has begun to arrive needs no second one, unless it stops.
  TimePoint Due{};
  for (const Attempt &Each : Attempts_)
    if (!Each.Ended_ && Each.Receiving_)
      Due = std::max(Due, silentAt(Each));
  return std::max(Due, Attempts_.back().SilentSince_ +
                           (Attempts_.size() == 1 ? FirstSilence : LaterSilence));
}

bool ReadAttempts::isFurtherDue(TimePoint Now) const { return Now >= furtherDueAt(); }

std::optional<std::size_t> ReadAttempts::takeSilent(TimePoint Now) {
  for (std::size_t I = 0; I < Attempts_.size(); ++I)
    if (Attempt &Each = Attempts_[I]; !Each.Ended_ && !Each.Reported_ && Now >= silentAt(Each)) {
      Each.Reported_ = true;
      return I;
    }
  return std::nullopt;
}

TimePoint ReadAttempts::nextCheckAt() const {
  TimePoint Next = furtherDueAt();
  for (const Attempt &Each : Attempts_)
    if (!Each.Ended_ && !Each.Reported_)
      Next = std::min(Next, silentAt(Each));
  return Next;
}

} // namespace rattancart
