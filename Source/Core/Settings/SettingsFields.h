#pragma once

#include "Core/Settings/SettingsCompiler.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Typed reading of the leaves of one group, for the sources of this folder.
namespace rattancart {

/// Where a group of leaves stands.
enum class SettingsKind : std::uint8_t {
  Route,
  Limit,
  Model,
  Service,
  DefaultLimit,
  Operator,
  Endpoint,
  Unknown
};

struct SettingsPlace {
  SettingsKind Kind_ = SettingsKind::Unknown;
  /// How many segments the group's own path has.
  std::size_t Depth_ = 0;
};

/// The group that a path with these segments belongs to. Kind Unknown with depth 0: the path is
/// one above the groups; with another depth: there is no such setting.
SettingsPlace placeOf(const std::vector<std::string_view> &Segments);

/// A leaf's name below its group, for example "match/path".
struct NamedLeaf {
  std::string Name_;
  SettingsValue Value_;
};

/// The leaves of one group.
struct LeafGroup {
  SettingsPath Path_;
  SettingsKind Kind_ = SettingsKind::Unknown;
  std::vector<NamedLeaf> Leaves_;
};

/// The typed form of a group; appends to Faults what is wrong.
std::optional<SettingsEntity> readGroup(const LeafGroup &Group,
                                        std::vector<InvalidSetting> &Faults);

} // namespace rattancart
