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
/// The platform's bound for one record, in bytes.
inline constexpr std::size_t MaxRecordBytes = 4UL * 1024 * 1024;

/// Replaces what stands at and below a path. Without leaves it deletes.
struct SettingsEdit {
  SettingsPath Path_;
  std::vector<SettingsLeaf> Leaves_;
};

/// One atomic change of the settings, as an operator publishes it.
struct SettingsChange {
  ChangeId Id_;
  OperatorId Author_;
  /// The last log offset that the author had read.
  LogOffset Base_ = NoOffset;
  /// At least one; no path lies at or below another.
  std::vector<SettingsEdit> Edits_;
};

/// Decodes a change record. Errors: MalformedRecord, UnknownSchema, BadPath, InvalidValue.
/// Thread-safe.
Result<SettingsChange> parseChange(std::string_view Body);
/// The text of a change's record. Thread-safe.
std::string formatChange(const SettingsChange &Change);

} // namespace rattancart
