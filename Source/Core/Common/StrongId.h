#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace rattancart {

/// A textual identifier that can't be mixed up with one of another kind.
/// Thread safety: as std::string.
template <typename Tag> class StringId {
public:
  StringId() = default;
  explicit StringId(std::string Value) : Value_(std::move(Value)) {}

  /// The identifier's text.
  const std::string &str() const { return Value_; }
  /// Whether the identifier has no text.
  bool empty() const { return Value_.empty(); }

  // The linter checks the names inside the generated comparison.
  auto operator<=>(const StringId &) const = default; // NOLINT
  bool operator==(const StringId &) const = default;

private:
  std::string Value_;
};

/// A number that can't be mixed up with one of another kind.
template <typename Tag, typename Rep = std::uint64_t> class StrongNumber {
public:
  using RepType = Rep;

  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(Rep Value) : Value_(Value) {}

  /// The plain number.
  constexpr Rep value() const { return Value_; }
  /// The number that follows.
  constexpr StrongNumber next() const { return StrongNumber(Value_ + 1); }

  // The linter checks the names inside the generated comparison.
  constexpr auto operator<=>(const StrongNumber &) const = default; // NOLINT
  constexpr bool operator==(const StrongNumber &) const = default;

private:
  Rep Value_{};
};

} // namespace rattancart

template <typename Tag> struct std::hash<rattancart::StringId<Tag>> {
  std::size_t operator()(const rattancart::StringId<Tag> &Id) const noexcept {
    return std::hash<std::string>{}(Id.str());
  }
};

template <typename Tag, typename Rep> struct std::hash<rattancart::StrongNumber<Tag, Rep>> {
  std::size_t operator()(const rattancart::StrongNumber<Tag, Rep> &Number) const noexcept {
    return std::hash<Rep>{}(Number.value());
  }
};
