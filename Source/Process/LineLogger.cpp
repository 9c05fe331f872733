#include "Process/LineLogger.h"

#include <fcntl.h>
#include <unistd.h>

#include <utility>

namespace rattancart {

LineLogger::LineLogger(const Clock &Time, std::string Process, Options Settings)
    : Time_(Time), Process_(std::move(Process)), Options_(Settings) {
  const int Flags = fcntl(Options_.Descriptor_, F_GETFL);
  if (Flags >= 0)
    fcntl(Options_.Descriptor_, F_SETFL, Flags | O_NONBLOCK);
}

bool LineLogger::admit(LogEvent Event) {
  RateWindow &Window = RateWindows_[Event];
  const TimePoint Now = Time_.now();
  if (Now - Window.Since_ >= std::chrono::seconds(1)) {
    const std::uint64_t Dropped = std::exchange(Window.Dropped_, 0);
    Window.Since_ = Now;
    Window.Lines_ = 0;
    if (Dropped > 0)
      write(LogEvent::LinesDropped,
            {{"event", static_cast<int>(Event)}, {"lines", Dropped}, {"unwritten", Unwritten_}});
  }
  if (Window.Lines_ < Options_.LinesPerSecond_) {
    ++Window.Lines_;
    return true;
  }
  ++Window.Dropped_;
  return false;
}

void LineLogger::log(LogEvent Event, std::initializer_list<LogField> Fields) {
  if (logEventInfo(Event).Level_ >= Options_.Minimum_ && admit(Event))
    write(Event, Fields);
}

void LineLogger::write(LogEvent Event, std::initializer_list<LogField> Fields) {
  std::string Line = formatLogLine(Options_.Format_, Time_.wallNow(), Process_, Event, Fields);
  Line += '\n';
  if (::write(Options_.Descriptor_, Line.data(), Line.size()) != static_cast<ssize_t>(Line.size()))
    ++Unwritten_;
}

} // namespace rattancart
