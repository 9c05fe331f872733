#include "History/HistoryCheck.h"

#include <algorithm>
#include <map>

namespace rattancart::history {

namespace {

/// A leaving endpoint may get new work for this long after the first sign.
constexpr EventTime Grace = std::chrono::seconds(5);

/// New work at an endpoint.
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
    for (const LeavingEvent &Sign : Events.Leavings_) {
      if (!Sign.Leaving_)
        continue;
      const EventTime Until = endOf(Sign, Events);
      for (const Arrival &Work : Arrivals)
        if (Work.Endpoint_ == Sign.Endpoint_ && Work.Incarnation_ == Sign.Incarnation_ &&
            Work.At_ > Sign.At_ + Grace && Work.At_ < Until)
          return violation("new work went to a leaving endpoint", {Sign.Line_, Work.Line_});
    }
    return std::nullopt;
  }

private:
  static std::vector<Arrival> arrivals(const History &Events) {
    std::vector<Arrival> All;
    for (const WorkEvent &Work : Events.Works_)
      All.push_back({Work.Endpoint_, Work.Incarnation_, Work.At_, Work.Line_});
    for (const ExecutionEvent &Execution : Events.Executions_)
      All.push_back({Execution.Service_, Execution.Incarnation_, Execution.At_, Execution.Line_});
    for (const LayerRunEvent &Run : Events.LayerRuns_)
      if (Run.Position_ == 0 && !Run.Imported_)
        All.push_back({Run.Engine_, Run.Incarnation_, Run.At_, Run.Line_});
    return All;
  }

  /// When an endpoint said that it was live again.
  static EventTime endOf(const LeavingEvent &Sign, const History &Events) {
    EventTime Until = EventTime::max();
    for (const LeavingEvent &Other : Events.Leavings_)
      if (Other.Endpoint_ == Sign.Endpoint_ && !Other.Leaving_ && Other.At_ > Sign.At_)
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
        if (Begin.Begins_ && during(Call, Begin, Events))
          return violation("a graceful shutdown cut off a request", {Begin.Line_, Call.Line_});
    }
    return std::nullopt;
  }

private:
  static bool during(const CallEvent &Call, const ShutdownEvent &Begin, const History &Events) {
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
