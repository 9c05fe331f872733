#pragma once

#include "Core/Common/Result.h"
#include "Core/Settings/SettingsPath.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

/// The value of one leaf of the settings tree.
struct SettingsValue {
  enum class Type : std::uint8_t { Bool, Integer, Number, Text };
  Type Type_ = Type::Text;
  /// The text itself, "true" or "false", or the number in its shortest decimal form.
  std::string Text_;

  bool operator==(const SettingsValue &) const = default;
};

/// A leaf with its full path.
struct SettingsLeaf {
  SettingsPath Path_;
  SettingsValue Value_;

  bool operator==(const SettingsLeaf &) const = default;
};

/// How numbers with a fraction are written as JSON.
enum class NumberStyle {
  /// As JSON numbers, for people and tools.
  Plain,
  /// As a list of one string, which decoders don't round; for images and records.
  Exact,
};

/// The settings by path. A path either has a value or has other paths below it. Not thread-safe.
class SettingsTree {
public:
  /// The leaves that replace has removed, as restore needs them.
  struct ReplacedLeaves {
    SettingsPath Path_;
    std::vector<SettingsLeaf> Removed_;
  };

  /// Replaces all leaves at and below Path by Leaves. Precondition: each of Leaves lies at or below
  /// Path. Returns the removed leaves, for restore.
  ReplacedLeaves replace(const SettingsPath &Path, const std::vector<SettingsLeaf> &Leaves);
  /// Undoes a replace. Precondition: all later ones have been undone.
  void restore(const ReplacedLeaves &Old);
  /// Calls Visit for each leaf at and below Path, ordered by path text.
  void
  forEach(const SettingsPath &Path,
          const std::function<void(const std::string &Key, const SettingsValue &)> &Visit) const;
  /// The leaves at and below Path.
  std::vector<SettingsLeaf> leaves(const SettingsPath &Path) const;
  /// Whether there is a leaf at or below Path.
  bool contains(const SettingsPath &Path) const;
  /// The names directly below Path, in order.
  std::vector<std::string> children(const SettingsPath &Path) const;
  /// The settings at and below Path as JSON text: a scalar or nested objects; "{}" if there are
  /// none.
  std::string toJson(const SettingsPath &Path, NumberStyle Style) const;
  std::size_t size() const { return Leaves_.size(); }

private:
  std::map<std::string, SettingsValue, std::less<>> Leaves_;
};

/// Converts the JSON text of the settings at Path to leaves. Objects become paths. Lists and null
/// are not allowed, except for the lists of NumberStyle::Exact if Style is that.
/// Errors: BadPath, InvalidValue. Thread-safe.
Result<std::vector<SettingsLeaf>> leavesFromJson(const SettingsPath &Path, std::string_view Json,
                                                 NumberStyle Style);

} // namespace rattancart
