#pragma once

#include "Core/Common/ErrorCode.h"

#include <string>
#include <vector>

namespace rattancart {

/// One fault of a YAML file.
struct SettingsFault {
  std::string File_;
  /// From 1; 0 if the fault has no line.
  int Line_ = 0;
  /// The field, for example "limits.max-body-bytes".
  std::string Path_;
  ErrorCode Code_{};
  std::string Expected_;
};

using SettingsFaults = std::vector<SettingsFault>;

/// One line: file, line, path, error number, text and what is expected. Thread-safe.
std::string formatFault(const SettingsFault &Fault);

} // namespace rattancart
