#pragma once

#include "Core/Settings/SettingsLog.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace rattancart {

/// The latest decisions that a process saw, in bounded memory. Not thread-safe.
class SettingsHistory {
public:
  explicit SettingsHistory(std::size_t Limit) : Limit_(Limit) {}

  void add(SettingsDecision Item);
  /// The decisions on changes at, above or below Path, the newest first, Limit at the most.
  std::vector<SettingsDecision> find(const SettingsPath &Path, std::size_t Limit) const;
  /// A change's first decision that is still kept, or null. It holds until the next add.
  const SettingsDecision *findChange(const ChangeId &Id) const;
  /// The offset of the latest decision that was dropped.
  LogOffset droppedUpTo() const { return DroppedUpTo_; }

private:
  std::size_t Limit_;
  std::deque<SettingsDecision> Items_;
  LogOffset DroppedUpTo_ = NoOffset;
};

} // namespace rattancart
