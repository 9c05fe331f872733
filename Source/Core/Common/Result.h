#pragma once

#include <string>
#include <system_error>
#include <utility>
#include <variant>

namespace rattancart {

/// An error code, and a text for people that gives the place and the reason.
struct Error {
  std::error_code Code_;
  std::string Detail_;
};

/// A value or the error that prevented it.
template <typename T> class [[nodiscard]] Result {
public:
  Result(T Value) : Content_(std::in_place_index<0>, std::move(Value)) {}
  Result(Error Failure) : Content_(std::in_place_index<1>, std::move(Failure)) {}

  /// Whether there is a value.
  explicit operator bool() const { return Content_.index() == 0; }
  /// Precondition: there is a value.
  T &operator*() { return *std::get_if<0>(&Content_); }
  const T &operator*() const { return *std::get_if<0>(&Content_); }
  T *operator->() { return std::get_if<0>(&Content_); }
  const T *operator->() const { return std::get_if<0>(&Content_); }
  /// Precondition: there is no value.
  const Error &error() const { return *std::get_if<1>(&Content_); }

private:
  std::variant<T, Error> Content_;
};

} // namespace rattancart
