#pragma once

#include "Core/Common/Ids.h"
#include "Core/Settings/SettingsLog.h"
#include "Core/Settings/SettingsView.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattancart {

/// The outcome of applying an image or a record to a replica.
struct ReplicaResult {
  enum class State : std::uint8_t {
    Applied,
    /// The offset is not higher than the replica's; nothing changed.
    Ignored,
    /// Records are missing before it; the replica needs an image.
    Gap,
    /// The schema version is unknown; the replica keeps its state.
    Stopped,
    /// The image is invalid; the replica keeps its state.
    Malformed
  };
  State State_ = State::Applied;
  /// Set for records that were applied or that stopped the replica.
  std::optional<SettingsDecision> Decision_;
  std::error_code Error_;
  std::string Detail_;
};

/// A process's copy of the settings. Images and records may come from several sources in any order;
/// the replica's offset never decreases. Not thread-safe.
class SettingsReplica {
public:
  /// Replaces the state by an image if it is newer. Offset must be that of the image.
  ReplicaResult applyImage(LogOffset Offset, std::string_view Image);
  /// Applies a record if Offset is the next one.
  ReplicaResult applyRecord(LogOffset Offset, std::string_view Body);

  /// The settings in typed form; never null.
  SettingsViewPtr view() const;
  LogOffset offset() const { return Log_.offset(); }
  std::uint64_t digest() const { return Log_.digest(); }
  /// Whether a record with an unknown schema version stopped the replica. A newer image resumes it.
  bool stopped() const { return Log_.stopped(); }
  const SettingsLog &log() const { return Log_; }

private:
  SettingsLog Log_;
  mutable SettingsViewPtr View_;
};

} // namespace rattancart
