#pragma once

#include "Core/Settings/SettingsChange.h"
#include "Core/Settings/SettingsTree.h"

#include <span>
#include <vector>

namespace rattancart {

/// The edits that make Present equal to Wanted at and below each of Scopes. A group of leaves
/// that only one of them has becomes one edit; otherwise an edit is one leaf.
/// Precondition: no scope lies below another. Thread-safe.
std::vector<SettingsEdit> diffSettings(const SettingsTree &Present, const SettingsTree &Wanted,
                                       std::span<const SettingsPath> Scopes);

} // namespace rattancart
