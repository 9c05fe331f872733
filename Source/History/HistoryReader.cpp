#include "History/HistoryReader.h"

#include "Core/Common/ErrorCode.h"
#include "StandIns/JsonFields.h"

#include <boost/json/object.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace rattancart::history {

namespace json = boost::json;

namespace {

std::uint32_t count(const json::object &Line, std::string_view Name) {
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(jsonInteger(Line, Name), 0, UINT32_MAX));
}

EventTime time(const json::object &Line, std::string_view Name) {
  return EventTime(jsonInteger(Line, Name));
}

Incarnation incarnation(const json::object &Line) {
  return Incarnation(static_cast<std::uint64_t>(jsonInteger(Line, "incarnation")));
}

CallEvent parseCall(const json::object &Line) {
  CallEvent Event;
  Event.Request_ = RequestId(jsonText(Line, "request"));
  Event.Caller_ = jsonText(Line, "caller");
  Event.Key_ = IdempotencyKey(jsonText(Line, "key"));
  Event.Prompt_ = jsonText(Line, "prompt");
  Event.Version_ = ModelVersion(jsonText(Line, "version"));
  Event.Text_ = jsonText(Line, "text");
  Event.Outcome_ = jsonText(Line, "outcome");
  Event.Status_ = count(Line, "status");
  Event.Truncated_ = jsonBool(Line, "truncated");
  Event.Idempotent_ = jsonBool(Line, "idempotent");
  Event.Started_ = time(Line, "started");
  Event.Process_ = jsonText(Line, "process");
  return Event;
}

LayerRunEvent parseLayerRun(const json::object &Line, bool Imported) {
  LayerRunEvent Event;
  Event.Request_ = RequestId(jsonText(Line, "request"));
  Event.Attempt_ = AttemptNumber(count(Line, "attempt"));
  Event.Position_ = count(Line, "position");
  Event.Count_ = count(Line, "count");
  Event.Layers_ = {count(Line, "layer_begin"), count(Line, "layer_end")};
  Event.LayerCount_ = count(Line, "layer_count");
  Event.Version_ = ModelVersion(jsonText(Line, "version"));
  Event.Incarnation_ = incarnation(Line);
  Event.Engine_ = EndpointId(jsonText(Line, "engine"));
  Event.Sequence_ = static_cast<std::uint64_t>(jsonInteger(Line, "sequence"));
  Event.Imported_ = Imported;
  return Event;
}

ExecutionEvent parseExecution(const json::object &Line) {
  ExecutionEvent Event;
  Event.Call_ = RequestId(jsonText(Line, "call"));
  Event.Key_ = IdempotencyKey(jsonText(Line, "key"));
  Event.Incarnation_ = incarnation(Line);
  Event.Service_ = EndpointId(jsonText(Line, "service"));
  Event.Method_ = jsonText(Line, "method");
  Event.Path_ = jsonText(Line, "path");
  return Event;
}

SettingsAppliedEvent parseApplied(const json::object &Line) {
  SettingsAppliedEvent Event;
  Event.Process_ = jsonText(Line, "process");
  Event.Incarnation_ = incarnation(Line);
  Event.Offset_ = LogOffset(jsonInteger(Line, "offset", NoOffset.value()));
  Event.Digest_ = jsonText(Line, "digest");
  return Event;
}

/// Adds an event after setting the fields of EventBase.
template <typename Event>
void add(std::vector<Event> &To, Event Item, const json::object &Line, std::size_t Index) {
  Item.Line_ = Index;
  Item.At_ = time(Line, "at");
  To.push_back(std::move(Item));
}

void addEvent(const json::object &Line, std::size_t Index, History &Into) {
  const std::string Kind = jsonText(Line, "kind");
  if (Kind == "call")
    return add(Into.Calls_, parseCall(Line), Line, Index);
  if (Kind == "layers" || Kind == "import")
    return add(Into.LayerRuns_, parseLayerRun(Line, Kind == "import"), Line, Index);
  if (Kind == "execution")
    return add(Into.Executions_, parseExecution(Line), Line, Index);
  if (Kind == "leaving" || Kind == "live")
    return add(Into.LeavingEvents_,
               {{}, EndpointId(jsonText(Line, "endpoint")), incarnation(Line), Kind == "leaving"},
               Line, Index);
  if (Kind == "work")
    return add(Into.WorkEvents_,
               {{},
                EndpointId(jsonText(Line, "endpoint")),
                incarnation(Line),
                RequestId(jsonText(Line, "request"))},
               Line, Index);
  if (Kind == "shutdown")
    return add(Into.Shutdowns_, {{}, jsonText(Line, "process"), jsonText(Line, "phase") != "end"},
               Line, Index);
  if (Kind == "applied")
    return add(Into.AppliedSettings_, parseApplied(Line), Line, Index);
  if (Kind == "decision")
    return add(Into.Decisions_,
               {{},
                jsonText(Line, "process"),
                ChangeId(jsonText(Line, "change")),
                jsonBool(Line, "accepted")},
               Line, Index);
}

} // namespace

std::error_code readLines(std::string_view Text, History &Into, std::string &Detail) {
  std::size_t Number = 0;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find('\n'), Text.size());
    const std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(std::min(Text.size(), End + 1));
    ++Number;
    if (Line.find_first_not_of(" \t\r") == std::string_view::npos)
      continue;
    const json::value Value = parseObject(Line);
    if (!Value.is_object()) {
      Detail = fmt::format("line {} is not a JSON object", Number);
      return ErrorCode::MalformedBody;
    }
    Into.Lines_.emplace_back(Line);
    addEvent(Value.as_object(), Into.Lines_.size() - 1, Into);
  }
  return {};
}

} // namespace rattancart::history
