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

/// One encoded record with its offset.
struct StreamRecord {
  LogOffset Offset_ = NoOffset;
  std::string_view Body_;
};

/// The state that ClaimLoader built from the log.
struct LoadedClaims {
  ClaimTable Table_;
  std::vector<TailObservation> TailObservations_;
  /// The oldest record that is needed to start from the snapshot that was used; NoOffset if the
  /// table was built from the stream's start.
  LogOffset Snapshot_ = NoOffset;
};

/// Builds the table of claims from what the log still holds: from the stream's start, or from a
/// snapshot if the log has all records after the snapshot's tail. Searches a window at the stream's
/// end for a snapshot first and widens it if there is none. Not thread-safe.
class ClaimLoader {
public:
  enum class State : std::uint8_t {
    /// The records from position() on are needed.
    Reading,
    Loaded,
    /// The stream was trimmed, and no snapshot covers the missing records.
    Gap,
    /// A record has a schema that this version can't decode.
    UnknownSchema,
  };

  /// First is the oldest offset that the log holds, Next that of the next append. Window: how many
  /// records before the end are read first. Precondition: Window is positive.
  ClaimLoader(LogOffset First, LogOffset Next, std::int64_t Window);

  /// The offset to read from.
  LogOffset position() const { return Position_; }
  State state() const { return State_; }
  /// Takes the records read from position() on. First and Next are the range that the log holds
  /// now, as for the constructor.
  void onPageRead(const std::vector<StreamRecord> &Records, LogOffset First, LogOffset Next);
  /// Moves the result out. Precondition: state() is Loaded; called once.
  LoadedClaims take();

private:
  void restart(LogOffset First, LogOffset Next);
  void processRecord(const StreamRecord &Record);
  void addSnapshotPart(LogOffset Offset, const ClaimSnapshotPart &Part);
  void replayBuffered();
  void onEndReached(LogOffset First, LogOffset Next);

  std::int64_t Window_;
  LogOffset Start_{0};
  LogOffset Position_{0};
  State State_ = State::Reading;
  std::optional<LoadedClaims> Loaded_;
  /// Records that were read before all parts of a snapshot were.
  std::vector<std::pair<LogOffset, ClaimRecord>> BufferedRecords_;
  struct PartialSnapshot {
    /// The offset of the first part that was read.
    LogOffset Begin_ = NoOffset;
    std::map<std::uint32_t, ClaimSnapshotPart> Parts_;
  };
  std::map<std::string, PartialSnapshot> Snapshots_;
};

} // namespace rattancart
