#include "Watch/LoadReportJson.h"

#include "Core/Common/ErrorCode.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <string>

namespace rattancart {

namespace {

namespace json = boost::json;

std::uint64_t count(const json::object &Report, std::string_view Name) {
  const json::value *Value = Report.if_contains(Name);
  if (!Value)
    return 0;
  boost::system::error_code Failure;
  const double Number = Value->to_number<double>(Failure);
  return Failure || Number < 0 ? 0 : static_cast<std::uint64_t>(std::min(Number, 1e15));
}

std::string text(const json::object &Report, std::string_view Name) {
  const json::value *Value = Report.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->as_string()) : std::string();
}

Duration micros(const json::object &Report, std::string_view Name) {
  const std::uint64_t Value = std::min<std::uint64_t>(count(Report, Name), 3'600'000'000);
  return std::chrono::microseconds(static_cast<std::int64_t>(Value));
}

void readEngine(const json::object &Report, Endpoint &Record) {
  Record.Model_ = ModelId(text(Report, "model"));
  Record.Version_ = ModelVersion(text(Report, "version"));
  Record.Layers_ = {static_cast<std::uint32_t>(count(Report, "layer_begin")),
                    static_cast<std::uint32_t>(count(Report, "layer_end"))};
  Record.Load_.StepTime_ = micros(Report, "step_us");
  Record.Load_.PrefillTime_ = micros(Report, "prefill_us_per_token");
  Record.Load_.BatchSlots_ =
      std::max<std::uint32_t>(1, static_cast<std::uint32_t>(count(Report, "batch_slots")));
  Record.Load_.LinkBytesPerSecond_ = static_cast<double>(count(Report, "link_bytes_per_second"));
  Record.Load_.LinkDelay_ = micros(Report, "link_delay_us");
}

} // namespace

Result<Endpoint> parseLoadReport(std::string_view Body, const Endpoint &Known) {
  boost::system::error_code Failure;
  const json::value Parsed = json::parse(Body, Failure);
  if (Failure || !Parsed.is_object())
    return Error{ErrorCode::MalformedResponse, "the load report is not a JSON object"};
  const json::object &Report = Parsed.as_object();
  if (text(Report, "id") != Known.Id_.str())
    return Error{ErrorCode::MalformedResponse, "the load report has the id of another endpoint"};
  if (count(Report, "incarnation") == 0 || count(Report, "sequence") == 0)
    return Error{ErrorCode::MalformedResponse, "the load report lacks incarnation or sequence"};

  Endpoint Record = Known;
  Record.Incarnation_ = Incarnation(count(Report, "incarnation"));
  Record.LoadSequence_ = count(Report, "sequence");
  Record.Silent_ = false;
  const json::value *Leaving = Report.if_contains("leaving");
  Record.State_ = Leaving && Leaving->is_bool() && Leaving->as_bool() ? EndpointState::Leaving
                                                                      : EndpointState::Live;
  Record.Load_.Active_ = static_cast<std::uint32_t>(count(Report, "active"));
  Record.Load_.Queued_ = static_cast<std::uint32_t>(count(Report, "queued"));
  if (Record.Kind_ == EndpointKind::Engine)
    readEngine(Report, Record);
  return Record;
}

} // namespace rattancart
