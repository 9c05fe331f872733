#pragma once

#include "Core/Common/Result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

/// A validated path in the settings tree, for example /teams/rigging/routes/briefs/timeout.
///
/// A segment has 1 to 128 characters, which are ASCII letters, digits or "._-:@~+", and is neither
/// "." nor "..". A path has at most 12 segments. Thread safety: as std::string.
class SettingsPath {
public:
  /// The root, "/".
  SettingsPath() = default;
  /// Errors: BadPath. Thread-safe.
  static Result<SettingsPath> parse(std::string_view Text);
  /// The path with this key. Precondition: Key is the key() of a path. Thread-safe.
  static SettingsPath fromKey(std::string_view Key);

  /// The path's text; the root is "/".
  std::string str() const { return Text_.empty() ? "/" : Text_; }
  /// The text with which all paths below this one start.
  std::string childPrefix() const { return Text_ + "/"; }
  /// The text by which maps are keyed: as str(), but empty for the root.
  const std::string &key() const { return Text_; }
  bool isRoot() const { return Text_.empty(); }
  /// The path's segments. They are valid as long as the path.
  std::vector<std::string_view> segments() const;
  /// The path of the first Count segments. Precondition: the path has at least as many.
  SettingsPath prefix(std::size_t Count) const;
  /// Whether this path is Other or lies below it.
  bool isAtOrBelow(const SettingsPath &Other) const;

  // The linter would check the names in the generated comparison.
  auto operator<=>(const SettingsPath &) const = default; // NOLINT
  bool operator==(const SettingsPath &) const = default;

private:
  std::string Text_;
};

/// The segments of a path's key. Precondition: Text is empty or begins with a slash. Thread-safe.
std::vector<std::string_view> splitSettingsPath(std::string_view Text);

} // namespace rattancart
