#pragma once

#include "Core/Settings/SettingsChange.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// The decoded envelope of a settings record, for the sources of this folder.
namespace rattancart {

struct SettingsRecord {
  enum class Kind : std::uint8_t { Change, Snapshot, Malformed, UnknownSchema };
  Kind Kind_ = Kind::Malformed;
  boost::json::object Fields_;
  std::string Detail_;
};

/// Decodes a record's envelope; the rest is checked by kind. Thread-safe.
SettingsRecord decodeRecord(std::string_view Body);
/// As parseChange, from the envelope's fields.
Result<SettingsChange> parseChangeFields(const boost::json::object &Fields);

} // namespace rattancart
