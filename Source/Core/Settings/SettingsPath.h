#pragma once

#include "Core/Common/Result.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

/// A validated place in the settings tree, for example /teams/rigging/routes/briefs/timeout.
///
/// A segment has 1 to 128 characters out of letters, digits and "._-:@~+", and is neither "." nor
/// "..". Thread safety: as std::string.
class SettingsPath {
public:
  /// The root, "/".
  SettingsPath() = default;
  /// Errors: BadPath. Thread-safe.
  static Result<SettingsPath> parse(std::string_view Text);
  /// The path with that key. Precondition: Key is the key() of a path. Thread-safe.
  static SettingsPath fromKey(std::string_view Key);

  /// The path's text; the root is "/".
  std::string str() const { return Text_.empty() ? "/" : Text_; }
  /// The text that all paths below this one start with.
  std::string childPrefix() const { return Text_ + "/"; }
  /// The text without the root's slash, as SettingsTree keys its leaves.
  const std::string &key() const { return Text_; }
  bool isRoot() const { return Text_.empty(); }
  /// The path's segments. They hold for as long as the path does.
  std::vector<std::string_view> segments() const;
  /// The path that Count leading segments make. Precondition: there are as many.
  SettingsPath prefix(std::size_t Count) const;
  /// Whether this path is Other or lies below it.
  bool isAtOrBelow(const SettingsPath &Other) const;

  // The linter reads the generated comparison's own names.
  auto operator<=>(const SettingsPath &) const = default; // NOLINT
  bool operator==(const SettingsPath &) const = default;

private:
  std::string Text_;
};

/// The segments of a path's text. Thread-safe.
std::vector<std::string_view> splitSettingsPath(std::string_view Text);

} // namespace rattancart
