#pragma once

#include "Core/Settings/SettingsChange.h"
#include "Core/Settings/SettingsTree.h"

#include <span>
#include <vector>

namespace rattancart {

/// The edits that make Present equal to Wanted at and below each of Scopes. A group of leaves that
/// exists in only one of the trees becomes one edit; otherwise each leaf that differs becomes one.
/// Precondition: no scope lies at or below another. Thread-safe.
std::vector<SettingsEdit> diffSettings(const SettingsTree &Present, const SettingsTree &Wanted,
                                       std::span<const SettingsPath> Scopes);

} // namespace rattancart
