#pragma once

#include "Core/Common/Logger.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace rattancart {

/// Writes one line per event to a file descriptor, standard output by default, with a rate limit
/// for each event. A line that can't be written without blocking is dropped and counted, so logging
/// never delays the process. Not thread-safe.
class LineLogger final : public Logger {
public:
  struct Options {
    LogFormat Format_ = LogFormat::KeyValue;
    LogLevel Minimum_ = LogLevel::Info;
    /// Maximum number of lines per second for each event; also applies to warnings and errors.
    std::uint32_t LinesPerSecond_ = 200;
    int Descriptor_ = 1;
  };

  /// Precondition: Time outlives the logger.
  LineLogger(const Clock &Time, std::string Process, Options Settings);
  void log(LogEvent Event, std::initializer_list<LogField> Fields) override;

private:
  /// Lines of one event in the current second.
  struct RateWindow {
    TimePoint Since_{};
    std::uint32_t Lines_ = 0;
    std::uint64_t Dropped_ = 0;
  };

  /// Whether the event is below its rate limit. Counts the line as written or dropped.
  bool admit(LogEvent Event);
  void write(LogEvent Event, std::initializer_list<LogField> Fields);

  const Clock &Time_;
  std::string Process_;
  Options Options_;
  std::map<LogEvent, RateWindow> RateWindows_;
  /// Lines that the output did not accept.
  std::uint64_t Unwritten_ = 0;
};

} // namespace rattancart
