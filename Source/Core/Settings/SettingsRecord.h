#pragma once

#include "Core/Settings/SettingsChange.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// The decoded envelope of a settings record. Only for the sources of this folder.
namespace rattancart {

struct SettingsRecord {
  enum class Kind : std::uint8_t { Change, Snapshot, Malformed, UnknownSchema };
  Kind Kind_ = Kind::Malformed;
  boost::json::object Fields_;
  std::string Detail_;
};

/// Decodes a record's envelope: its schema version and kind. The other fields are not checked.
/// Thread-safe.
SettingsRecord decodeRecord(std::string_view Body);
/// Like parseChange, for the fields of a decoded envelope.
Result<SettingsChange> parseChangeFields(const boost::json::object &Fields);

} // namespace rattancart
