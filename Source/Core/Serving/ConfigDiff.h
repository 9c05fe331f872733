#pragma once

#include "Core/Serving/ServingConfig.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

enum class DifferenceKind : std::uint8_t { Added, Removed, Changed };

/// "added", "removed" or "changed". Thread-safe.
std::string_view differenceName(DifferenceKind Kind);

/// A difference between two configurations. Contains no key.
struct ConfigDifference {
  DifferenceKind Kind_;
  /// The entry, such as "route r1".
  std::string Subject_;
  /// The field of the entry, such as "timeout"; empty if the whole entry was added or removed.
  std::string Field_;
  /// The value before; all fields for a whole entry; unset if added.
  std::optional<std::string> Before_;
  /// The value after; all fields for a whole entry; unset if removed.
  std::optional<std::string> After_;
};

/// The differences from Before to After: version, limits, routes, services and customers. Entries
/// are compared by name, so their order is no difference. Entries that Before has come first, in
/// its order, then added ones in the order of After. Thread-safe.
std::vector<ConfigDifference> diffConfigs(const ServingConfig &Before, const ServingConfig &After);

} // namespace rattancart
