#pragma once

#include "Core/Settings/SettingsTree.h"

#include <boost/json/value.hpp>

/// JSON forms that the sources of this folder share. Not for other folders.
namespace rattancart {

/// As leavesFromJson, from a decoded value.
Result<std::vector<SettingsLeaf>>
leavesFromValue(const SettingsPath &Path, const boost::json::value &Value, NumberStyle Style);
/// The JSON form of one leaf's value.
boost::json::value jsonOf(const SettingsValue &Value, NumberStyle Style);
/// Nested objects of Leaves, which lie at or below Path.
boost::json::value nestedJson(const SettingsPath &Path, const std::vector<SettingsLeaf> &Leaves,
                              NumberStyle Style);

} // namespace rattancart
