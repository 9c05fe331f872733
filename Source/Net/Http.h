#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

struct HttpHeader {
  std::string Name_;
  std::string Value_;
};

/// Header fields in order of arrival. Names are case-insensitive.
class HttpHeaders {
public:
  /// Adds a field; existing fields of the same name stay.
  void add(std::string Name, std::string Value);
  /// Replaces all fields of that name by one.
  void set(std::string Name, std::string Value);
  /// The value of the first field of that name, or an empty string.
  std::string_view get(std::string_view Name) const;
  /// Whether there is a field of that name.
  bool has(std::string_view Name) const;
  /// Removes all fields of that name.
  void remove(std::string_view Name);
  const std::vector<HttpHeader> &all() const { return Fields_; }

private:
  std::vector<HttpHeader> Fields_;
};

struct HttpRequest {
  std::string Method_ = "GET";
  /// Path and query, for example "/v1/state?full=1".
  std::string Target_ = "/";
  HttpHeaders Headers_;
  std::string Body_;

  /// The target without its query.
  std::string_view path() const;
  /// The value of a query parameter, or an empty string. Percent encoding is not decoded.
  std::string_view query(std::string_view Name) const;
};

struct HttpResponse {
  std::uint32_t Status_ = 200;
  HttpHeaders Headers_;
  std::string Body_;
};

} // namespace rattancart
