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

/// What one record of the settings stream came to.
struct SettingsDecision {
  enum class Kind : std::uint8_t {
    Accepted,
    Rejected,
    Snapshot,
    /// A later copy of a change that was decided before; it has no effect.
    Duplicate,
    /// The record's schema version is not known. Nothing was applied, and nothing will be.
    Stopped
  };
  Kind Kind_ = Kind::Rejected;
  LogOffset Offset_ = NoOffset;
  /// Changes only, and not if the record can't be decoded.
  ChangeId Change_;
  OperatorId Author_;
  LogOffset Base_ = NoOffset;
  /// Why a change was rejected.
  std::error_code Error_;
  std::string Detail_;
  std::vector<SettingsPath> Paths_;
  /// Snapshots only: the last offset that the image includes.
  LogOffset Covered_ = NoOffset;
};

/// A change's outcome as the state remembers it.
struct DecidedChange {
  LogOffset Offset_ = NoOffset;
  LogOffset Base_ = NoOffset;
  /// No error if it was accepted.
  std::error_code Error_;
};

/// The parts of the state machine that a test may leave out to show that its check sees it.
struct SettingsPolicy {
  /// A snapshot's covered offset is a floor for later changes.
  bool KeepFloor_ = true;
  bool FloorInImage_ = true;
  /// An image carries the revisions of deleted paths.
  bool TombstonesInImage_ = true;
  /// An image carries the ids of decided changes.
  bool IdsInImage_ = true;
};

/// The pure state machine over the records of the stream "settings". What a record comes to
/// depends only on the records before it, so all readers decide alike. Not thread-safe.
class SettingsLog {
public:
  explicit SettingsLog(SettingsPolicy Policy = {}) : Policy_(Policy) {}
  /// The state that image() gave. Errors: MalformedRecord, UnknownSchema, InvalidValue.
  static Result<SettingsLog> fromImage(std::string_view Image, SettingsPolicy Policy = {});

  /// Applies the next record. Precondition: Offset is offset().next().
  SettingsDecision apply(LogOffset Offset, std::string_view Body);
  /// The whole state as JSON text.
  std::string image() const;
  /// A hash of the whole state; equal for equal states.
  std::uint64_t digest() const;

  /// The last record that was applied.
  LogOffset offset() const { return Offset_; }
  /// The last record that changed the tree.
  LogOffset revision() const { return Revision_; }
  /// Changes with an older base are rejected.
  LogOffset floor() const { return Floor_; }
  /// Whether an unknown schema version was met.
  bool stopped() const { return Stopped_; }
  const SettingsTree &tree() const { return Tree_; }
  const SettingsCompiler &compiler() const { return Compiler_; }
  /// A change's first outcome, if it is still remembered.
  std::optional<DecidedChange> findChange(const ChangeId &Id) const;
  /// The last offset at which Path, an ancestor or a descendant of it changed, as far as kept.
  LogOffset revisionOf(const SettingsPath &Path) const;

private:
  friend struct SettingsImageCodec;
  SettingsDecision decide(LogOffset Offset, const SettingsChange &Change);
  std::optional<Error> refusal(LogOffset Offset, const SettingsChange &Change) const;
  std::optional<Error> applyEdits(const SettingsChange &Change);
  void setRevision(const SettingsPath &Path, LogOffset Offset);
  void raiseFloor(LogOffset Covered);

  SettingsPolicy Policy_;
  LogOffset Offset_ = NoOffset;
  LogOffset Revision_ = NoOffset;
  LogOffset Floor_ = NoOffset;
  bool Stopped_ = false;
  SettingsTree Tree_;
  SettingsCompiler Compiler_;
  /// Where each path was last edited, deleted paths included. An edit drops what lies below it.
  std::map<std::string, LogOffset, std::less<>> Revisions_;
  /// Changes whose second copy would not be rejected for its base.
  std::map<ChangeId, DecidedChange> Decided_;
};

/// The record that carries a snapshot of Log. Thread-safe.
std::string formatSnapshot(const SettingsLog &Log);
/// The image in a snapshot record, as fromImage reads it. Errors: MalformedRecord, UnknownSchema.
/// Thread-safe.
Result<std::string> imageOfSnapshot(std::string_view Body);

} // namespace rattancart
