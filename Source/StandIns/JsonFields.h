#pragma once

#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// Reads optional members of JSON objects: a missing member, or one of another type, gives the
/// default.
namespace rattancart {

std::string jsonText(const boost::json::object &Object, std::string_view Name);
std::int64_t jsonInteger(const boost::json::object &Object, std::string_view Name,
                         std::int64_t Default = 0);
double jsonNumber(const boost::json::object &Object, std::string_view Name, double Default = 0);
bool jsonBool(const boost::json::object &Object, std::string_view Name, bool Default = false);
/// Parses a text that must be an object; null if it is not.
boost::json::value parseObject(std::string_view Text);

} // namespace rattancart
