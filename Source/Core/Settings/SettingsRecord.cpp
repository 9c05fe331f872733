#include "Core/Settings/SettingsRecord.h"

#include <boost/json/parse.hpp>

#include <fmt/format.h>

#include <utility>

namespace rattancart {

namespace json = boost::json;

SettingsRecord decodeRecord(std::string_view Body) {
  SettingsRecord Record;
  boost::system::error_code Failure;
  json::value Value = Body.size() <= MaxRecordBytes ? json::parse(Body, Failure) : json::value();
  if (Failure || !Value.is_object()) {
    Record.Detail_ = "not a JSON object";
    return Record;
  }
  Record.Fields_ = std::move(Value.as_object());
  const json::value *Schema = Record.Fields_.if_contains("schema");
  if (!Schema || !Schema->is_int64() || Schema->as_int64() < 1) {
    Record.Detail_ = "the schema version is missing";
    return Record;
  }
  if (Schema->as_int64() > SettingsSchema) {
    Record.Kind_ = SettingsRecord::Kind::UnknownSchema;
    Record.Detail_ = fmt::format("schema version {}", Schema->as_int64());
    return Record;
  }
  const json::value *Kind = Record.Fields_.if_contains("kind");
  if (Kind && *Kind == "change")
    Record.Kind_ = SettingsRecord::Kind::Change;
  else if (Kind && *Kind == "snapshot")
    Record.Kind_ = SettingsRecord::Kind::Snapshot;
  else
    Record.Detail_ = "the kind is neither change nor snapshot";
  return Record;
}

} // namespace rattancart
