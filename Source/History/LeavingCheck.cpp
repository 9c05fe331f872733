#include "History/HistoryCheck.h"

#include <algorithm>
#include <map>

namespace rattancart::history {

namespace {

/// A leaving endpoint may get new work for this long after it first showed that it is leaving.
constexpr EventTime GracePeriod = std::chrono::seconds(5);

/// New work that arrived at an endpoint, accepted or refused.
struct Arrival {
  EndpointId Endpoint_;
  Incarnation Incarnation_{0};
  EventTime At_{};
  std::size_t Line_ = 0;
};

class LeavingCheck final : public HistoryCheck {
public:
  std::string_view name() const override { return "leaving"; }

  std::optional<Violation> run(const History &Events) const override {
    const std::vector<Arrival> Arrivals = arrivals(Events);
    for (const LeavingEvent &Leaving : Events.LeavingEvents_) {
      if (!Leaving.Leaving_)
        continue;
      const EventTime Until = leavingEnd(Leaving, Events);
      for (const Arrival &Work : Arrivals)
        if (Work.Endpoint_ == Leaving.Endpoint_ && Work.Incarnation_ == Leaving.Incarnation_ &&
            Work.At_ > Leaving.At_ + GracePeriod && Work.At_ < Until)
          return violation("new work went to a leaving endpoint", {Leaving.Line_, Work.Line_});
    }
    return std::nullopt;
  }

private:
  static std::vector<Arrival> arrivals(const History &Events) {
    std::vector<Arrival> All;
    for (const WorkEvent &Work : Events.WorkEvents_)
      All.push_back({Work.Endpoint_, Work.Incarnation_, Work.At_, Work.Line_});
    for (const ExecutionEvent &Execution : Events.Executions_)
      All.push_back({Execution.Service_, Execution.Incarnation_, Execution.At_, Execution.Line_});
    for (const LayerRunEvent &Run : Events.LayerRuns_)
      if (Run.Position_ == 0 && !Run.Imported_)
        All.push_back({Run.Engine_, Run.Incarnation_, Run.At_, Run.Line_});
    return All;
  }

  /// When the endpoint was live again after Leaving; EventTime::max() if never.
  static EventTime leavingEnd(const LeavingEvent &Leaving, const History &Events) {
    EventTime Until = EventTime::max();
    for (const LeavingEvent &Other : Events.LeavingEvents_)
      if (Other.Endpoint_ == Leaving.Endpoint_ && !Other.Leaving_ && Other.At_ > Leaving.At_)
        Until = std::min(Until, Other.At_);
    return Until;
  }
};

class ShutdownCheck final : public HistoryCheck {
public:
  std::string_view name() const override { return "shutdown"; }

  std::optional<Violation> run(const History &Events) const override {
    for (const CallEvent &Call : Events.Calls_) {
      if (Call.Outcome_ != "cut")
        continue;
      for (const ShutdownEvent &Begin : Events.Shutdowns_)
        if (Begin.Begins_ && isDuring(Call, Begin, Events))
          return violation("a graceful shutdown cut off a request", {Begin.Line_, Call.Line_});
    }
    return std::nullopt;
  }

private:
  /// Whether the call ended during the shutdown, at the process that shut down or at an unknown
  /// one.
  static bool isDuring(const CallEvent &Call, const ShutdownEvent &Begin, const History &Events) {
    if (!Call.Process_.empty() && Call.Process_ != Begin.Process_)
      return false;
    EventTime End = EventTime::max();
    for (const ShutdownEvent &Other : Events.Shutdowns_)
      if (!Other.Begins_ && Other.Process_ == Begin.Process_ && Other.At_ >= Begin.At_)
        End = std::min(End, Other.At_);
    return Call.At_ >= Begin.At_ && Call.At_ <= End;
  }
};

} // namespace

HistoryCheckPtr makeLeavingCheck() { return std::make_unique<LeavingCheck>(); }
HistoryCheckPtr makeShutdownCheck() { return std::make_unique<ShutdownCheck>(); }

} // namespace rattancart::history
