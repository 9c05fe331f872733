#pragma once

#include "Config/SettingsFault.h"
#include "Core/Settings/SettingsPath.h"
#include "Core/Settings/SettingsTree.h"

#include <map>
#include <string>
#include <vector>

namespace rattancart {

/// The settings in a YAML file.
struct SettingsFile {
  SettingsTree Tree_;
  /// The paths of two segments in the file, for example /teams/rigging. Applying the file makes the
  /// settings at and below these paths equal to the file, and changes no others.
  std::vector<SettingsPath> Scopes_;
  /// The line of each path in the file, from 1.
  std::map<SettingsPath, int> Lines_;
};

/// Reads and checks a file of settings. Adds what is wrong to Faults; if there is any fault, the
/// result must not be used.
SettingsFile loadSettingsFile(const std::string &File, SettingsFaults &Faults);
/// As loadSettingsFile, from a text; File is the file name in faults.
SettingsFile parseSettingsText(const std::string &Text, const std::string &File,
                               SettingsFaults &Faults);
/// The settings at and below Path as YAML text. For the root path, parseSettingsText reads it back.
std::string settingsYaml(const SettingsTree &Tree, const SettingsPath &Path);

} // namespace rattancart
