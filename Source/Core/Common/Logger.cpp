#include "Core/Common/Logger.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <utility>

namespace rattancart {

namespace {

bool needsQuotes(std::string_view Value) {
  return Value.empty() || std::any_of(Value.begin(), Value.end(), [](unsigned char C) {
           return C <= ' ' || C == '"' || C == '\\' || C == '=' || C == 0x7f;
         });
}

std::string quote(std::string_view Value) {
  std::string Out = "\"";
  for (unsigned char C : Value) {
    if (C == '"' || C == '\\') {
      Out += '\\';
      Out += static_cast<char>(C);
    } else if (C < ' ' || C == 0x7f) {
      fmt::format_to(std::back_inserter(Out), "\\u{:04x}", C);
    } else {
      Out += static_cast<char>(C);
    }
  }
  Out += '"';
  return Out;
}

std::string formatTime(WallTime Time) {
  const auto Millis = Time.time_since_epoch().count() % 1000;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                     fmt::gmtime(std::chrono::system_clock::to_time_t(Time)), Millis);
}

} // namespace

std::string formatLogLine(LogFormat Format, WallTime Time, std::string_view Process, LogEvent Event,
                          std::initializer_list<LogField> Fields) {
  const LogEventInfo &Info = logEventInfo(Event);
  const int Number = static_cast<int>(Event);
  std::string Line;
  auto Out = std::back_inserter(Line);
  if (Format == LogFormat::Json) {
    fmt::format_to(Out, R"({{"time":"{}","level":"{}","event":{},"name":"{}","process":{})",
                   formatTime(Time), logLevelName(Info.Level_), Number, Info.Name_, quote(Process));
    for (const LogField &Field : Fields)
      fmt::format_to(Out, ",{}:{}", quote(Field.Name_), quote(Field.Value_));
    Line += '}';
    return Line;
  }
  fmt::format_to(Out, "time={} level={} event={} name={} process={}", formatTime(Time),
                 logLevelName(Info.Level_), Number, Info.Name_, Process);
  for (const LogField &Field : Fields)
    fmt::format_to(Out, " {}={}", Field.Name_,
                   needsQuotes(Field.Value_) ? quote(Field.Value_) : Field.Value_);
  return Line;
}

StderrLogger::StderrLogger(const Clock &Time, std::string Process, LogFormat Format,
                           LogLevel Minimum)
    : Time_(Time), Process_(std::move(Process)), Format_(Format), Minimum_(Minimum) {}

void StderrLogger::log(LogEvent Event, std::initializer_list<LogField> Fields) {
  if (logEventInfo(Event).Level_ < Minimum_)
    return;
  std::string Line = formatLogLine(Format_, Time_.wallNow(), Process_, Event, Fields);
  Line += '\n';
  std::fwrite(Line.data(), 1, Line.size(), stderr);
}

} // namespace rattancart
