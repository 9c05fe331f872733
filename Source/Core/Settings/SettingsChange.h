#pragma once

#include "Core/Common/Ids.h"
#include "Core/Common/Result.h"
#include "Core/Settings/SettingsPath.h"
#include "Core/Settings/SettingsTree.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

/// The schema version that this program writes, and the highest that it reads.
inline constexpr std::int64_t SettingsSchema = 1;
/// The platform's limit for the size of one record, in bytes.
inline constexpr std::size_t MaxRecordBytes = 4UL * 1024 * 1024;

/// Replaces all leaves at and below a path; an edit without leaves deletes them.
struct SettingsEdit {
  SettingsPath Path_;
  std::vector<SettingsLeaf> Leaves_;
};

/// An atomic change of the settings that an operator publishes.
struct SettingsChange {
  ChangeId Id_;
  OperatorId Author_;
  /// The log offset up to which the author had read the settings.
  LogOffset Base_ = NoOffset;
  /// At least one edit; no edit's path lies at or below that of another.
  std::vector<SettingsEdit> Edits_;
};

/// Decodes a change record. Errors: MalformedRecord, UnknownSchema, BadPath, InvalidValue.
/// Thread-safe.
Result<SettingsChange> parseChange(std::string_view Body);
/// Encodes a change as a record. Thread-safe.
std::string formatChange(const SettingsChange &Change);

} // namespace rattancart
