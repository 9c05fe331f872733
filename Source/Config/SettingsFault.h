#pragma once

#include "Core/Common/ErrorCode.h"

#include <string>
#include <vector>

namespace rattancart {

/// One error in a YAML file.
struct SettingsFault {
  std::string File_;
  /// Line number, counted from 1; 0 if the fault concerns no single line.
  int Line_ = 0;
  /// Path of the field, for example "http.max-body-bytes"; empty if the fault concerns no field.
  std::string Path_;
  ErrorCode Code_{};
  /// What is expected, for example "a whole number from 1 to 10".
  std::string Expected_;
};

using SettingsFaults = std::vector<SettingsFault>;

/// Formats a fault as one line: file, line, path, error number, text and what is expected.
/// Thread-safe.
std::string formatFault(const SettingsFault &Fault);

} // namespace rattancart
