#pragma once

#include "Core/Common/ErrorCode.h"
#include "Core/Common/Ids.h"
#include "Core/Common/Result.h"
#include "Core/Settings/SettingsChange.h"
#include "Core/Settings/SettingsCompiler.h"
#include "Core/Settings/SettingsTree.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

/// The outcome of one record of the settings stream.
struct SettingsDecision {
  enum class Kind : std::uint8_t {
    Accepted,
    Rejected,
    Snapshot,
    /// Another copy of a change that was decided before; it has no effect.
    Duplicate,
    /// The schema version of this or an earlier record is unknown. This record was not applied, and
    /// no later one will be.
    Stopped
  };
  Kind Kind_ = Kind::Rejected;
  LogOffset Offset_ = NoOffset;
  /// The fields up to Base_, and Paths_, are set only for changes that could be decoded.
  ChangeId Change_;
  OperatorId Author_;
  LogOffset Base_ = NoOffset;
  /// Why the record was not accepted.
  std::error_code Error_;
  std::string Detail_;
  std::vector<SettingsPath> Paths_;
  /// Snapshots only: the last offset that the image includes.
  LogOffset Covered_ = NoOffset;
};

/// The outcome of a change, stored in the state.
struct DecidedChange {
  LogOffset Offset_ = NoOffset;
  LogOffset Base_ = NoOffset;
  /// No error if the change was accepted.
  std::error_code Error_;
};

/// Features of the state machine that tests disable to show that their checks detect it.
struct SettingsLogFeatures {
  /// Later changes whose base is lower than a snapshot's covered offset are rejected.
  bool EnforceFloor_ = true;
  /// An image contains the floor.
  bool FloorInImage_ = true;
  /// An image contains the revisions of deleted paths.
  bool TombstonesInImage_ = true;
  /// An image contains the outcomes of decided changes.
  bool IdsInImage_ = true;
};

/// The deterministic state machine over the records of the stream "settings". The outcome of a
/// record depends only on the record and those before it, so all readers reach the same decisions.
/// Not thread-safe.
class SettingsLog {
public:
  explicit SettingsLog(SettingsLogFeatures Features = {}) : Features_(Features) {}
  /// Restores the state from an image that image() returned. Errors: MalformedRecord,
  /// UnknownSchema, BadPath, InvalidValue.
  static Result<SettingsLog> fromImage(std::string_view Image, SettingsLogFeatures Features = {});

  /// Applies the next record. Precondition: Offset is offset().next().
  SettingsDecision apply(LogOffset Offset, std::string_view Body);
  /// The whole state as JSON text.
  std::string image() const;
  /// A hash of the whole state; equal for equal states.
  std::uint64_t digest() const;

  /// The offset of the last record that was applied.
  LogOffset offset() const { return Offset_; }
  /// The offset of the last change that was accepted.
  LogOffset revision() const { return Revision_; }
  /// Changes with a base below this offset are rejected.
  LogOffset floor() const { return Floor_; }
  /// Whether a record with an unknown schema version was read; no record is applied after it.
  bool stopped() const { return Stopped_; }
  const SettingsTree &tree() const { return Tree_; }
  const SettingsCompiler &compiler() const { return Compiler_; }
  /// The outcome of the first copy of a change, if it is still stored.
  std::optional<DecidedChange> findChange(const ChangeId &Id) const;
  /// The last offset at which Path, an ancestor or a descendant of it was edited, as far as it is
  /// still stored; otherwise NoOffset.
  LogOffset revisionOf(const SettingsPath &Path) const;

private:
  friend struct SettingsImageCodec;
  SettingsDecision decide(LogOffset Offset, const SettingsChange &Change);
  /// Why a change must be rejected regardless of its values, if it must.
  std::optional<Error> findRejectionReason(LogOffset Offset, const SettingsChange &Change) const;
  std::optional<Error> applyEdits(const SettingsChange &Change);
  void setRevision(const SettingsPath &Path, LogOffset Offset);
  void raiseFloor(LogOffset Covered);

  SettingsLogFeatures Features_;
  LogOffset Offset_ = NoOffset;
  LogOffset Revision_ = NoOffset;
  LogOffset Floor_ = NoOffset;
  bool Stopped_ = false;
  SettingsTree Tree_;
  SettingsCompiler Compiler_;
  /// The offset at which each path was last edited, including deleted paths. An edit removes the
  /// entries below its path.
  std::map<std::string, LogOffset, std::less<>> Revisions_;
  /// Decided changes whose base is not below the floor. Another copy of any other change is
  /// rejected for its base.
  std::map<ChangeId, DecidedChange> DecidedChanges_;
};

/// A snapshot record with the image of Log. Thread-safe.
std::string formatSnapshot(const SettingsLog &Log);
/// The image in a snapshot record, for SettingsLog::fromImage. Errors: MalformedRecord,
/// UnknownSchema. Thread-safe.
Result<std::string> imageOfSnapshot(std::string_view Body);

} // namespace rattancart
