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
  /// As a list of one string, which no decoder rounds; for images.
  Exact,
};

/// The settings by path. A path has either a value or other paths below it. Not thread-safe.
class SettingsTree {
public:
  /// The leaves that one edit took out and put in.
  struct Replaced {
    SettingsPath Path_;
    std::vector<SettingsLeaf> Removed_;
  };

  /// Puts Leaves in place of all leaves at and below Path. Precondition: each lies there.
  /// Returns what restore needs.
  Replaced replace(const SettingsPath &Path, const std::vector<SettingsLeaf> &Leaves);
  /// Takes a replace back. Precondition: no later replace is still in effect.
  void restore(const Replaced &Old);
  /// Calls Visit for each leaf at and below Path, ordered by path text.
  void
  forEach(const SettingsPath &Path,
          const std::function<void(const std::string &Key, const SettingsValue &)> &Visit) const;
  /// The leaves at and below Path.
  std::vector<SettingsLeaf> leaves(const SettingsPath &Path) const;
  /// Whether there is a leaf at or below Path.
  bool contains(const SettingsPath &Path) const;
  /// The names right below Path, in order.
  std::vector<std::string> children(const SettingsPath &Path) const;
  /// What stands at Path as JSON text: a scalar, or nested objects; "{}" where nothing stands.
  std::string toJson(const SettingsPath &Path, NumberStyle Style) const;
  std::size_t size() const { return Leaves_.size(); }

private:
  std::map<std::string, SettingsValue, std::less<>> Leaves_;
};

/// The leaves that a JSON text stands for when it is put at Path. Objects become paths; lists and
/// null are not allowed, but for the lists of NumberStyle::Exact where that style is asked for.
/// Errors: BadPath, InvalidValue. Thread-safe.
Result<std::vector<SettingsLeaf>> leavesFromJson(const SettingsPath &Path, std::string_view Json,
                                                 NumberStyle Style);

} // namespace rattancart
