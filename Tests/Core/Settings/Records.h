#pragma once

#include "Core/Settings/SettingsLog.h"

#include <fmt/format.h>

#include <cstdint>
#include <string>
#include <string_view>

/// Builders of settings records for tests.
namespace rattancart {

/// A change record. Edits is the JSON text of its edits, without the brackets of the list.
inline std::string changeRecord(std::string_view Id, std::int64_t Base, std::string_view Edits,
                                std::string_view Author = "bootstrap") {
  return fmt::format(
      R"({{"schema":1,"kind":"change","id":"{}","author":"{}","base":{},"edits":[{}]}})", Id,
      Author, Base, Edits);
}

inline std::string putEdit(std::string_view Path, std::string_view Json) {
  return fmt::format(R"({{"path":"{}","value":{}}})", Path, Json);
}

inline std::string deleteEdit(std::string_view Path) {
  return fmt::format(R"({{"path":"{}","delete":true}})", Path);
}

} // namespace rattancart
