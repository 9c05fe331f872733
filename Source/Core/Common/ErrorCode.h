#pragma once

#include <span>
#include <string_view>
#include <system_error>

namespace rattancart {

/// Numbered result codes. docs/ERRORS.md lists them; a test compares the two.
/// Ranges: 1xx process settings, 2xx operators' settings, 3xx caller requests,
/// 4xx calls and claims, 5xx pipelines, 6xx platform, 7xx network and frames, 8xx control,
/// 9xx command line and tools.
enum class ErrorCode {
#define RATTANCART_ERROR(Number, Name, Exit, Text) Name = Number,
#include "Core/Common/ErrorCodes.def"
#undef RATTANCART_ERROR
};

/// One row of the table of result codes.
struct ErrorInfo {
  ErrorCode Code_;
  std::string_view Name_;
  /// The exit code of a program that ends with this error.
  int ExitCode_;
  std::string_view Text_;
};

/// All result codes by number. Thread-safe.
std::span<const ErrorInfo> errorTable();
/// The row of Code. Thread-safe.
const ErrorInfo &errorInfo(ErrorCode Code);
/// The category of rattancart's codes. Thread-safe.
const std::error_category &errorCategory();
/// Lets ErrorCode convert to std::error_code. Thread-safe.
std::error_code make_error_code(ErrorCode Code);

} // namespace rattancart

template <> struct std::is_error_code_enum<rattancart::ErrorCode> : std::true_type {};
