#pragma once

#include "Core/Common/ErrorCode.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace rattancart {

/// What is known about whether a caller's request ran.
enum class Outcome : std::uint8_t {
  /// It ran, and the answer is its result.
  Done,
  /// It did not run and never will.
  NotRun,
  /// It may or may not have run.
  Unknown,
};

/// The outcome's name in the answer header.
inline std::string_view outcomeName(Outcome Value) {
  switch (Value) {
  case Outcome::Done:
    return "done";
  case Outcome::NotRun:
    return "not-run";
  case Outcome::Unknown:
    break;
  }
  return "unknown";
}

/// A complete answer to a caller that the core code created.
struct CallerAnswer {
  std::uint32_t Status_ = 200;
  Outcome Outcome_ = Outcome::Done;
  /// Set if the router itself refused the request.
  std::error_code Error_;
  std::string Detail_;
  std::string ContentType_ = "application/json";
  std::string Body_;
};

} // namespace rattancart
