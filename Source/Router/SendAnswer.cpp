#include "Core/Common/CallerAnswer.h"
#include "Router/RouteHandler.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace rattancart {

namespace {

std::string errorBody(const CallerAnswer &Answer) {
  boost::json::object Body;
  Body["error"] = Answer.Error_.value();
  Body["message"] = Answer.Error_.message();
  if (!Answer.Detail_.empty())
    Body["detail"] = Answer.Detail_;
  return boost::json::serialize(Body) + "\n";
}

} // namespace

void sendAnswer(HttpResponder &Responder, const RequestId &Id, const CallerAnswer &Answer) {
  HttpResponse Response;
  Response.Status_ = Answer.Status_;
  Response.Headers_.add("Content-Type", Answer.ContentType_);
  Response.Headers_.add("x-rattancart-outcome", std::string(outcomeName(Answer.Outcome_)));
  Response.Headers_.add("x-rattancart-request", Id.str());
  if (Answer.Error_)
    Response.Headers_.add("x-rattancart-error", std::to_string(Answer.Error_.value()));
  if (Answer.Status_ == 503 || Answer.Status_ == 429)
    Response.Headers_.add("Retry-After", "1");
  Response.Body_ = Answer.Error_ ? errorBody(Answer) : Answer.Body_;
  Responder.send(std::move(Response));
}

} // namespace rattancart
