#pragma once

#include "Core/Settings/SettingsView.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace rattancart {

/// The properties of a request that decide its route. The strings must outlive the call that takes
/// the query.
struct RouteQuery {
  /// The Host header, with or without a port.
  std::string_view Host_;
  std::string_view Method_;
  /// The target without its query.
  std::string_view Path_;
};

/// Finds the route of a request.
///
/// Of the routes that match, one that names the request's host is preferred over one for any host,
/// then the one with the longest path prefix, then one that names the method. A prefix matches
/// whole path segments: "/a" matches "/a" and "/a/b" but not "/ab"; a "/" at its end is ignored.
/// Among routes that are equal in all of these the first in the view is chosen. Hosts are compared
/// without case. Immutable, thus thread-safe.
class RouteTable {
public:
  /// Precondition: View is not null.
  explicit RouteTable(SettingsViewPtr View);

  /// The request's route, or null. The pointer is valid as long as the table's view. Thread-safe.
  const Route *match(const RouteQuery &Query) const;
  /// The view that the table was built from. Thread-safe.
  const SettingsViewPtr &view() const { return View_; }

private:
  struct TextHash {
    using is_transparent = void; // NOLINT
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>{}(Text);
    }
  };
  template <typename T>
  using TextMap = std::unordered_map<std::string, T, TextHash, std::equal_to<>>;

  /// The routes of one host.
  struct HostRoutes {
    /// Indexes into the view's routes, by path prefix and method. An empty method matches all.
    TextMap<TextMap<std::uint32_t>> Prefixes_;
    std::size_t LongestPrefix_ = 0;
  };

  const Route *matchPath(const HostRoutes &Host, const RouteQuery &Query) const;
  const Route *matchMethod(const TextMap<std::uint32_t> &Methods, std::string_view Method) const;

  SettingsViewPtr View_;
  TextMap<HostRoutes> Hosts_;
};

} // namespace rattancart
