#include "StandIns/ServiceModel.h"

#include "StandIns/JsonFields.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace rattancart {

namespace json = boost::json;

namespace {

constexpr std::string_view BookingPath = "/bookings/";

ServiceAnswer answer(std::uint32_t Status, const json::object &Body, bool Executed) {
  return {Status, json::serialize(Body) + "\n", Executed};
}

} // namespace

ServiceAnswer ServiceModel::call(const ServiceCall &Call) {
  if (Config_.ChecksFencing_ && Call.Fence_ && !Call.Key_.empty()) {
    FencingNumber &Highest = Fences_.try_emplace(Call.Key_, *Call.Fence_).first->second;
    if (*Call.Fence_ < Highest)
      return answer(409, {{"fence", Highest.value()}}, false);
    Highest = *Call.Fence_;
  }
  const bool Repeatable = Config_.Deduplicates_ && !Call.Key_.empty();
  if (Repeatable) {
    const auto It = Results_.find(Call.Key_);
    if (It != Results_.end())
      return It->second;
  }
  ServiceAnswer Answer = execute(Call);
  if (Repeatable) {
    ServiceAnswer Kept = Answer;
    Kept.Executed_ = false;
    Results_.emplace(Call.Key_, std::move(Kept));
  }
  return Answer;
}

ServiceAnswer ServiceModel::execute(const ServiceCall &Call) {
  const bool Post = Call.Method_ == "POST";
  if (Post && Call.Path_ == "/bookings") {
    const json::value Body = parseObject(Call.Body_);
    if (Body.is_object())
      Bookings_.add(jsonText(Body.as_object(), "lift"));
    return create("b", Call.Body_);
  }
  if (Post && Call.Path_ == "/reminders")
    return create("r", Call.Body_);
  if (Post && Call.Path_ == "/orders")
    return create("o", Call.Body_);
  if (Call.Method_ == "GET" && Call.Path_.starts_with(BookingPath))
    return lookUp(Call.Path_.substr(BookingPath.size()));
  return answer(200, {{"method", Call.Method_}, {"path", Call.Path_}}, true);
}

ServiceAnswer ServiceModel::create(std::string_view Prefix, const std::string &Body) {
  const json::value Given = parseObject(Body);
  json::object Answer;
  if (Given.is_object())
    Answer = Given.as_object();
  const std::string_view Name = Prefix == "b" ? "booking" : Prefix == "r" ? "reminder" : "order";
  Answer[json::string_view(Name.data(), Name.size())] = fmt::format("{}{}", Prefix, NextId_++);
  return answer(201, Answer, true);
}

ServiceAnswer ServiceModel::lookUp(const std::string &Lift) const {
  const std::uint32_t Count = Bookings_.count(Lift);
  return answer(200, {{"lift", Lift}, {"booked", Count > 0}, {"count", Count}}, true);
}

} // namespace rattancart
