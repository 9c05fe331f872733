#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstdint>
#include <optional>

namespace rattancart {

/// What the era that an answer of the store names says about the answer.
enum class EraFinding : std::uint8_t {
  /// The answer is of the era that is known, or it names none.
  Current,
  /// The store has returned from a copy since the last answer. Whatever was learned from it before
  /// may be gone, and positions in its logs may have been given out again.
  Returned,
  /// The store gave the answer before it returned from the copy.
  Outdated,
};

/// Decides from the eras that the store names in its answers when it has returned from a copy. Not
/// thread-safe.
///
/// An era that is higher than the known one means a return, by however much it rose: several
/// returns may come between two answers. A lower one in the answer to a call that began before the
/// return was known is outdated. In the answer to a later call it is a return too: the store
/// numbers its eras anew, and following it is safe, while ignoring its answers for good is not. An
/// answer that names no era says nothing about it.
class StoreEraTracker {
public:
  /// An answer to a call that began at CallBegan arrived at Now, with the era that it names, if it
  /// names one.
  EraFinding onAnswer(std::optional<StoreEra> Named, TimePoint CallBegan, TimePoint Now);
  /// The era of the last return, or that of the first answer; nothing if none was named yet.
  std::optional<StoreEra> current() const { return Current_; }

private:
  std::optional<StoreEra> Current_;
  /// When the current era became known.
  TimePoint KnownSince_{};
};

} // namespace rattancart
