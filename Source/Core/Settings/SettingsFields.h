#pragma once

#include "Core/Settings/SettingsCompiler.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Converts the leaves of one group to their typed form. Only for the sources of this folder.
namespace rattancart {

/// The kinds of groups of leaves.
enum class SettingsGroupKind : std::uint8_t {
  Route,
  Limit,
  Model,
  Service,
  DefaultLimit,
  Operator,
  Endpoint,
  Unknown
};

/// The group to which a path belongs.
struct SettingsGroup {
  SettingsGroupKind Kind_ = SettingsGroupKind::Unknown;
  /// The number of segments of the group's own path.
  std::size_t Depth_ = 0;
};

/// The group to which a path with these segments belongs. Kind Unknown with depth 0 means that the
/// path is above the groups; with another depth, that there is no such setting.
SettingsGroup findGroup(const std::vector<std::string_view> &Segments);

/// A leaf with its name below its group, for example "match/path".
struct NamedLeaf {
  std::string Name_;
  SettingsValue Value_;
};

/// The leaves of one group.
struct LeafGroup {
  SettingsPath Path_;
  SettingsGroupKind Kind_ = SettingsGroupKind::Unknown;
  std::vector<NamedLeaf> Leaves_;
};

/// The typed form of a group, or none if there is no such group or it is not an object. Appends the
/// invalid settings to Errors.
std::optional<SettingsEntity> readGroup(const LeafGroup &Group,
                                        std::vector<InvalidSetting> &Errors);

} // namespace rattancart
