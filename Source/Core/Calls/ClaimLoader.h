#pragma once

#include "Core/Calls/ClaimRecord.h"
#include "Core/Calls/ClaimTable.h"
#include "Core/Common/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattancart {

/// One record as it was read.
struct StreamRecord {
  LogOffset Offset_ = NoOffset;
  std::string_view Body_;
};

/// A table read from the log.
struct LoadedClaims {
  ClaimTable Table_;
  std::vector<ClaimMark> Marks_;
  /// The oldest record that a reader needs who starts from the same snapshot; NoOffset if the
  /// table was read from the stream's start.
  LogOffset Snapshot_ = NoOffset;
};

/// Builds the table of claims from what the log still holds: from the stream's start, or from a
/// snapshot that leaves no gap. Looks for a snapshot near the end first. Not thread-safe.
class ClaimLoader {
public:
  enum class State : std::uint8_t {
    /// Read on from position().
    Reading,
    Loaded,
    /// The stream was trimmed and no snapshot covers what is missing.
    Gap,
    UnknownSchema,
  };

  /// Window: how many records before the end are read first. Precondition: Window is positive.
  ClaimLoader(LogOffset First, LogOffset Next, std::int64_t Window);

  /// The offset to read from.
  LogOffset position() const { return Position_; }
  State state() const { return State_; }
  /// Takes the records read from position() on, and the range that the log holds now.
  void onPageRead(const std::vector<StreamRecord> &Records, LogOffset First, LogOffset Next);
  /// Precondition: state() is Loaded. Called once.
  LoadedClaims take();

private:
  void restart(LogOffset First, LogOffset Next);
  void recordRead(const StreamRecord &Record);
  void partRead(LogOffset Offset, const ClaimSnapshotPart &Part);
  void replayKept();
  void endReached(LogOffset First, LogOffset Next);

  std::int64_t Window_;
  LogOffset Start_{0};
  LogOffset Position_{0};
  State State_ = State::Reading;
  std::optional<LoadedClaims> Loaded_;
  /// Records read before a snapshot was complete.
  std::vector<std::pair<LogOffset, ClaimRecord>> Kept_;
  struct Parts {
    LogOffset Begin_ = NoOffset;
    std::map<std::uint32_t, ClaimSnapshotPart> Parts_;
  };
  std::map<std::string, Parts> Snapshots_;
};

} // namespace rattancart
