#pragma once

#include "Core/Settings/SettingsTree.h"

#include <boost/json/value.hpp>

/// Conversions between settings and JSON values. Only for the sources of this folder.
namespace rattancart {

/// Like leavesFromJson, for a decoded JSON value.
Result<std::vector<SettingsLeaf>>
leavesFromValue(const SettingsPath &Path, const boost::json::value &Value, NumberStyle Style);
/// The JSON form of one leaf's value.
boost::json::value jsonOf(const SettingsValue &Value, NumberStyle Style);
/// The JSON value at Path, made of nested objects. Precondition: Leaves lie at or below Path.
boost::json::value nestedJson(const SettingsPath &Path, const std::vector<SettingsLeaf> &Leaves,
                              NumberStyle Style);

} // namespace rattancart
