#pragma once

#include "Core/Settings/SettingsLog.h"

#include <cstddef>
#include <deque>
#include <vector>

namespace rattancart {

/// The latest decisions on changes that a process saw, limited in number. Not thread-safe.
class SettingsHistory {
public:
  explicit SettingsHistory(std::size_t Limit) : Limit_(Limit) {}

  void add(SettingsDecision Item);
  /// The decisions on changes at, above or below Path, the newest first, at most Limit.
  std::vector<SettingsDecision> find(const SettingsPath &Path, std::size_t Limit) const;
  /// The first decision on a change that is still kept, or null. Valid until the next add.
  const SettingsDecision *findChange(const ChangeId &Id) const;
  /// The offset of the latest decision that was dropped.
  LogOffset droppedUpTo() const { return DroppedUpTo_; }

private:
  std::size_t Limit_;
  std::deque<SettingsDecision> Items_;
  LogOffset DroppedUpTo_ = NoOffset;
};

} // namespace rattancart
