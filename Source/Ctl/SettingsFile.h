#pragma once

#include "Config/SettingsFault.h"
#include "Core/Settings/SettingsPath.h"
#include "Core/Settings/SettingsTree.h"

#include <map>
#include <string>
#include <vector>

namespace rattancart {

/// Operators' settings as a YAML file holds them.
struct SettingsFile {
  SettingsTree Tree_;
  /// The paths of two segments that the file names, for example /teams/rigging. Applying the file
  /// makes all that lies there equal to the file.
  std::vector<SettingsPath> Scopes_;
  /// The line of each path, from 1.
  std::map<SettingsPath, int> Lines_;
};

/// Reads and checks a file of settings. The result counts only if Faults stays empty.
SettingsFile loadSettingsFile(const std::string &File, SettingsFaults &Faults);
/// As loadSettingsFile, from a text; File is named in faults.
SettingsFile parseSettingsText(const std::string &Text, const std::string &File,
                               SettingsFaults &Faults);
/// The YAML text of a tree, which parseSettingsText reads back.
std::string settingsYaml(const SettingsTree &Tree, const SettingsPath &Path);

} // namespace rattancart
