#include "StandIns/EventLines.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace rattancart {

namespace json = boost::json;

namespace {

json::object line(const char *Kind, const EventOrigin &Origin) {
  return {{"kind", Kind},
          {"endpoint", Origin.Endpoint_.str()},
          {"incarnation", Origin.Incarnation_.value()},
          {"at", microsecondsSinceEpoch(Origin.At_)}};
}

} // namespace

std::int64_t microsecondsSinceEpoch(WallTime At) {
  return std::chrono::duration_cast<std::chrono::microseconds>(At.time_since_epoch()).count();
}

std::string leavingLine(const EventOrigin &Origin, bool Leaving) {
  return json::serialize(line(Leaving ? "leaving" : "live", Origin));
}

std::string newWorkLine(const EventOrigin &Origin, const RequestId &Request) {
  json::object Line = line("work", Origin);
  Line["request"] = Request.str();
  return json::serialize(Line);
}

} // namespace rattancart
