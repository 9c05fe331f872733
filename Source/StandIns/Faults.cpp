#include "StandIns/Faults.h"

#include "StandIns/JsonFields.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace rattancart {

namespace json = boost::json;

namespace {

/// Sets fields from a JSON object; a field that the object lacks keeps its value.
class FaultReader {
public:
  explicit FaultReader(const json::object &Object) : Object_(Object) {}

  void visit(std::string_view Name, bool &Value) const { Value = jsonBool(Object_, Name, Value); }
  void visit(std::string_view Name, std::uint32_t &Value) const {
    const std::int64_t Number = jsonInteger(Object_, Name, Value);
    Value = static_cast<std::uint32_t>(std::clamp<std::int64_t>(Number, 0, UINT32_MAX));
  }
  void visit(std::string_view Name, std::size_t &Value) const {
    const auto Present = static_cast<std::int64_t>(Value);
    Value =
        static_cast<std::size_t>(std::max<std::int64_t>(0, jsonInteger(Object_, Name, Present)));
  }
  void visit(std::string_view Name, double &Value) const {
    Value = std::max(0.0, jsonNumber(Object_, Name, Value));
  }
  void visit(std::string_view Name, Duration &Value) const {
    if (Object_.contains(Name))
      Value = std::chrono::milliseconds(std::max<std::int64_t>(0, jsonInteger(Object_, Name)));
  }
  void visit(std::string_view Name, std::vector<std::string> &Value) const {
    const json::value *List = Object_.if_contains(Name);
    if (!List || !List->is_array())
      return;
    Value.clear();
    for (const json::value &Item : List->as_array())
      if (Item.is_string())
        Value.emplace_back(Item.as_string());
  }

private:
  const json::object &Object_;
};

/// Writes fields to a JSON object.
class FaultWriter {
public:
  void visit(std::string_view Name, bool Value) { Object_[Name] = Value; }
  void visit(std::string_view Name, std::uint32_t Value) { Object_[Name] = Value; }
  void visit(std::string_view Name, std::size_t Value) { Object_[Name] = Value; }
  void visit(std::string_view Name, double Value) { Object_[Name] = Value; }
  void visit(std::string_view Name, Duration Value) {
    Object_[Name] = std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
  }
  void visit(std::string_view Name, const std::vector<std::string> &Value) {
    Object_[Name] = json::array(Value.begin(), Value.end());
  }
  std::string text() const { return json::serialize(Object_) + "\n"; }

private:
  json::object Object_;
};

template <typename Visitor, typename Faults> void visitCommon(Visitor &Fields, Faults &Common) {
  Fields.visit("down", Common.Down_);
  Fields.visit("hang", Common.Hang_);
  Fields.visit("delay_ms", Common.Delay_);
}

template <typename Visitor, typename Faults> void visitPlatform(Visitor &Fields, Faults &All) {
  visitCommon(Fields, All.Common_);
  Fields.visit("lose_append_answers", All.LoseAppendAnswers_);
  Fields.visit("duplicate_appends", All.DuplicateAppends_);
  Fields.visit("fail_appends", All.FailAppends_);
  Fields.visit("list_lag_ms", All.ListLag_);
  Fields.visit("list_backwards", All.ListBackwards_);
  Fields.visit("retain_records", All.RetainRecords_);
  Fields.visit("appends_per_second", All.AppendsPerSecond_);
  Fields.visit("streams", All.Streams_);
}

template <typename Visitor, typename Faults> void visitEngine(Visitor &Fields, Faults &All) {
  visitCommon(Fields, All.Common_);
  Fields.visit("drop_step_answers", All.DropStepAnswers_);
  Fields.visit("fail_steps", All.FailSteps_);
  Fields.visit("duplicate_step_answers", All.DuplicateStepAnswers_);
  Fields.visit("cross_answers", All.CrossAnswers_);
  Fields.visit("load_lag_ms", All.LoadLag_);
  Fields.visit("event_lag_ms", All.EventLag_);
  Fields.visit("event_gap_percent", All.EventGapPercent_);
  Fields.visit("leaving", All.Leaving_);
  Fields.visit("cut_after_steps", All.CutAfterSteps_);
  Fields.visit("speed_factor", All.SpeedFactor_);
}

template <typename Visitor, typename Faults> void visitService(Visitor &Fields, Faults &All) {
  visitCommon(Fields, All.Common_);
  Fields.visit("fail_percent", All.FailPercent_);
  Fields.visit("fail_after_percent", All.FailAfterPercent_);
  Fields.visit("lose_answers", All.LoseAnswers_);
  Fields.visit("cut_answers", All.CutAnswers_);
  Fields.visit("leaving", All.Leaving_);
}

} // namespace

bool PlatformFaults::appliesTo(std::string_view Stream) const {
  return Streams_.empty() || std::find(Streams_.begin(), Streams_.end(), Stream) != Streams_.end();
}

bool applyFaults(PlatformFaults &Faults, std::string_view Text) {
  const json::value Value = parseObject(Text);
  if (!Value.is_object())
    return false;
  FaultReader Reader(Value.as_object());
  visitPlatform(Reader, Faults);
  return true;
}

bool applyFaults(EngineFaults &Faults, std::string_view Text) {
  const json::value Value = parseObject(Text);
  if (!Value.is_object())
    return false;
  FaultReader Reader(Value.as_object());
  visitEngine(Reader, Faults);
  if (Faults.SpeedFactor_ <= 0)
    Faults.SpeedFactor_ = 1;
  return true;
}

bool applyFaults(ServiceFaults &Faults, std::string_view Text) {
  const json::value Value = parseObject(Text);
  if (!Value.is_object())
    return false;
  FaultReader Reader(Value.as_object());
  visitService(Reader, Faults);
  return true;
}

std::string describeFaults(const PlatformFaults &Faults) {
  FaultWriter Writer;
  visitPlatform(Writer, Faults);
  return Writer.text();
}

std::string describeFaults(const EngineFaults &Faults) {
  FaultWriter Writer;
  visitEngine(Writer, Faults);
  return Writer.text();
}

std::string describeFaults(const ServiceFaults &Faults) {
  FaultWriter Writer;
  visitService(Writer, Faults);
  return Writer.text();
}

} // namespace rattancart
