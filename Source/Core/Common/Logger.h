#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/LogEvent.h"

#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace rattancart {

/// One named value of a log line.
struct LogField {
  std::string_view Name_;
  std::string Value_;

  LogField(std::string_view Name, std::string Value) : Name_(Name), Value_(std::move(Value)) {}
  LogField(std::string_view Name, std::string_view Value) : Name_(Name), Value_(Value) {}
  LogField(std::string_view Name, const char *Value) : Name_(Name), Value_(Value) {}
  template <typename T>
  requires std::is_arithmetic_v<T> LogField(std::string_view Name, T Value)
      : Name_(Name), Value_(std::to_string(Value)) {}
};

enum class LogFormat { KeyValue, Json };

/// Records numbered events with named values.
class Logger {
public:
  virtual ~Logger() = default;
  /// Records one event. Thread-safe; never fails.
  virtual void log(LogEvent Event, std::initializer_list<LogField> Fields) = 0;
};

/// Drops every event. Thread-safe.
class NullLogger final : public Logger {
public:
  void log(LogEvent, std::initializer_list<LogField>) override {}
};

/// Writes one line per event to standard error. Thread-safe: each line is a single write.
class StderrLogger final : public Logger {
public:
  /// Precondition: Time outlives the logger. Events below Minimum are dropped.
  StderrLogger(const Clock &Time, std::string Process, LogFormat Format, LogLevel Minimum);
  void log(LogEvent Event, std::initializer_list<LogField> Fields) override;

private:
  const Clock &Time_;
  std::string Process_;
  LogFormat Format_;
  LogLevel Minimum_;
};

/// The text of one log line, without the line break at its end. Values with spaces, quotes or
/// control characters are quoted and escaped. Thread-safe.
std::string formatLogLine(LogFormat Format, WallTime Time, std::string_view Process, LogEvent Event,
                          std::initializer_list<LogField> Fields);

} // namespace rattancart
