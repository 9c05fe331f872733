#include "StandIns/JsonFields.h"

#include <boost/json/parse.hpp>

namespace rattancart {

namespace json = boost::json;

std::string jsonText(const json::object &Object, std::string_view Name) {
  const json::value *Value = Object.if_contains(Name);
  return Value && Value->is_string() ? std::string(Value->as_string()) : std::string();
}

std::int64_t jsonInteger(const json::object &Object, std::string_view Name, std::int64_t Default) {
  const json::value *Value = Object.if_contains(Name);
  if (!Value)
    return Default;
  if (const std::int64_t *Number = Value->if_int64())
    return *Number;
  if (const double *Number = Value->if_double())
    return static_cast<std::int64_t>(*Number);
  return Default;
}

double jsonNumber(const json::object &Object, std::string_view Name, double Default) {
  const json::value *Value = Object.if_contains(Name);
  if (Value && Value->is_double())
    return Value->as_double();
  if (Value && Value->is_int64())
    return static_cast<double>(Value->as_int64());
  return Default;
}

bool jsonBool(const json::object &Object, std::string_view Name, bool Default) {
  const json::value *Value = Object.if_contains(Name);
  return Value && Value->is_bool() ? Value->as_bool() : Default;
}

json::value parseObject(std::string_view Text) {
  boost::system::error_code Failure;
  json::value Value = json::parse(json::string_view(Text.data(), Text.size()), Failure);
  if (Failure || !Value.is_object())
    return nullptr;
  return Value;
}

} // namespace rattancart
