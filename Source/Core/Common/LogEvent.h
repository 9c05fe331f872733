#pragma once

#include <span>
#include <string_view>

namespace rattancart {

enum class LogLevel { Debug, Info, Warning, Error };

/// Numbered log events. docs/EVENTS.md lists them; a test compares the two.
/// Ranges: 1xxx process, 2xxx settings, 3xxx caller requests, 4xxx calls and claims,
/// 5xxx pipelines, 6xxx platform and membership, 7xxx connections, 8xxx administration,
/// 9xxx stand-ins and tools.
enum class LogEvent {
#define RATTANCART_EVENT(Number, Name, Level, Text) Name = Number,
#include "Core/Common/LogEvents.def"
#undef RATTANCART_EVENT
};

/// One row of the catalogue of log events.
struct LogEventInfo {
  LogEvent Event_;
  std::string_view Name_;
  LogLevel Level_;
  std::string_view Text_;
};

/// All log events by number. Thread-safe.
std::span<const LogEventInfo> logEventTable();
/// The row of Event. Precondition: Event is in the catalogue. Thread-safe.
const LogEventInfo &logEventInfo(LogEvent Event);
/// The level's name in lower case. Thread-safe.
std::string_view logLevelName(LogLevel Level);

} // namespace rattancart
