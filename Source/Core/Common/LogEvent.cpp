#include "Core/Common/LogEvent.h"

#include <algorithm>
#include <array>

namespace rattancart {

namespace {

constexpr auto Table = std::to_array<LogEventInfo>({
#define RATTANCART_EVENT(Number, Name, Level, Text) {LogEvent::Name, #Name, LogLevel::Level, Text},
#include "Core/Common/LogEvents.def"
#undef RATTANCART_EVENT
});

} // namespace

std::span<const LogEventInfo> logEventTable() { return Table; }

const LogEventInfo &logEventInfo(LogEvent Event) {
  return *std::lower_bound(
      Table.begin(), Table.end(), Event,
      [](const LogEventInfo &Info, LogEvent Wanted) { return Info.Event_ < Wanted; });
}

std::string_view logLevelName(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return "debug";
  case LogLevel::Info:
    return "info";
  case LogLevel::Warning:
    return "warning";
  case LogLevel::Error:
    return "error";
  }
  return "unknown";
}

} // namespace rattancart
