#pragma once

#include "Core/Common/Ids.h"
#include "Core/Settings/SettingsLog.h"
#include "Core/Settings/SettingsView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattancart {

/// What a replica did with an image or a record.
struct ReplicaResult {
  enum class State : std::uint8_t {
    Applied,
    /// Its offset is not higher than the replica's.
    Ignored,
    /// Records are missing before it; the replica needs an image.
    Gap,
    /// A schema version is not known; the replica keeps what it has.
    Stopped,
    /// The image can't be used.
    Malformed
  };
  State State_ = State::Applied;
  /// For records that were applied, and the one that stopped the replica.
  std::optional<SettingsDecision> Decision_;
  std::error_code Error_;
  std::string Detail_;
};

/// A process's copy of the settings, fed from any mix of sources. Its offset only rises.
/// Not thread-safe.
class SettingsReplica {
public:
  /// Takes a whole state over if it is newer. Offset must be the image's own.
  ReplicaResult applyImage(LogOffset Offset, std::string_view Image);
  /// Applies the record at Offset if it is the next one.
  ReplicaResult applyRecord(LogOffset Offset, std::string_view Body);

  /// The settings in typed form; never null.
  SettingsViewPtr view() const;
  LogOffset offset() const { return Log_.offset(); }
  std::uint64_t digest() const { return Log_.digest(); }
  /// Whether an unknown schema version was met; a newer image ends it.
  bool stopped() const { return Log_.stopped(); }
  const SettingsLog &log() const { return Log_; }

private:
  SettingsLog Log_;
  mutable SettingsViewPtr View_;
};

} // namespace rattancart
