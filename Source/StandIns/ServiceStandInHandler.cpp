#include "StandIns/ServiceStandInHandler.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <utility>

namespace rattancart {

namespace json = boost::json;

namespace {

ServiceCall parseCall(HttpRequest Request) {
  ServiceCall Call;
  Call.Method_ = Request.Method_;
  Call.Path_ = std::string(Request.path());
  Call.Key_ = IdempotencyKey(std::string(Request.Headers_.get("idempotency-key")));
  Call.Call_ = RequestId(std::string(Request.Headers_.get("x-rattancart-call")));
  const std::string_view Fence = Request.Headers_.get("x-rattancart-fence");
  std::int64_t Number = 0;
  if (std::from_chars(Fence.data(), Fence.data() + Fence.size(), Number).ec == std::errc())
    Call.Fence_ = FencingNumber(Number);
  Call.Body_ = std::move(Request.Body_);
  return Call;
}

} // namespace

ServiceStandInHandler::ServiceStandInHandler(boost::asio::io_context &Loop, Logger &Log,
                                             const Clock &Time, ServiceIdentity Identity,
                                             ServiceConfig Config, ServiceFaults Faults)
    : StandInHandler(Loop, Log), Time_(Time), Identity_(std::move(Identity)), Faults_(Faults),
      Config_(Config), Model_(Config), History_(Identity_.HistoryLimit_, Identity_.HistoryFile_) {}

EventOrigin ServiceStandInHandler::origin() const {
  return {Identity_.Id_, Identity_.Incarnation_, Time_.wallNow()};
}

void ServiceStandInHandler::leave() {
  const bool WasLeaving = std::exchange(Faults_.Leaving_, true);
  recordLeaving(WasLeaving);
}

bool ServiceStandInHandler::setFaultText(const std::string &Text) {
  const bool WasLeaving = Faults_.Leaving_;
  if (!applyFaults(Faults_, Text))
    return false;
  recordLeaving(WasLeaving);
  return true;
}

void ServiceStandInHandler::recordLeaving(bool WasLeaving) {
  if (Faults_.Leaving_ != WasLeaving)
    History_.add(leavingLine(origin(), Faults_.Leaving_));
}

void ServiceStandInHandler::serve(HttpRequest Request, HttpResponderPtr Responder) {
  if (Request.path() == "/v1/load")
    return deliver(Responder, jsonAnswer(200, loadText()));
  if (chance(Faults_.FailPercent_))
    return deliver(Responder, jsonAnswer(500, "{\"error\":\"failed before execution\"}\n"));
  const ServiceCall Call = parseCall(std::move(Request));
  if (Faults_.Leaving_)
    History_.add(newWorkLine(origin(), Call.Call_));
  const ServiceAnswer Answer = Model_.call(Call);
  if (Answer.Executed_)
    record(Call);
  answer(Responder, Answer);
}

void ServiceStandInHandler::answer(const HttpResponderPtr &Responder, const ServiceAnswer &Answer) {
  if (Answer.Executed_ && chance(Faults_.FailAfterPercent_))
    return deliver(Responder, jsonAnswer(500, "{\"error\":\"failed after execution\"}\n"));
  if (Faults_.LoseAnswers_ > 0) {
    --Faults_.LoseAnswers_;
    return Responder->abort();
  }
  if (Faults_.CutAnswers_ == 0)
    return deliver(Responder, jsonAnswer(Answer.Status_, Answer.Body_));
  --Faults_.CutAnswers_;
  Responder->startChunked(jsonAnswer(Answer.Status_, {}));
  Responder->sendChunk(std::string_view(Answer.Body_).substr(0, Answer.Body_.size() / 2));
  // The delay lets the first half be sent before the connection closes.
  after(std::chrono::milliseconds(5), [Responder] { Responder->abort(); });
}

bool ServiceStandInHandler::chance(std::uint32_t Percent) {
  return Percent > 0 && Random_() % 100 < Percent;
}

void ServiceStandInHandler::record(const ServiceCall &Call) {
  json::object Line{{"kind", "execution"},
                    {"sequence", History_.nextSequence()},
                    {"service", Identity_.Id_.str()},
                    {"incarnation", Identity_.Incarnation_.value()},
                    {"at", microsecondsSinceEpoch(Time_.wallNow())},
                    {"method", Call.Method_},
                    {"path", Call.Path_},
                    {"body", Call.Body_},
                    {"key", Call.Key_.str()},
                    {"call", Call.Call_.str()}};
  if (Call.Fence_)
    Line["fence"] = Call.Fence_->value();
  History_.add(json::serialize(Line));
}

std::string ServiceStandInHandler::loadText() {
  const json::object Report{{"id", Identity_.Id_.str()},
                            {"service", Identity_.Service_.str()},
                            {"incarnation", Identity_.Incarnation_.value()},
                            {"leaving", Faults_.Leaving_},
                            {"active", waitingRequests()},
                            {"queued", 0},
                            {"batch_slots", 1},
                            {"sequence", ++LoadSequence_},
                            {"checks_fencing", Config_.ChecksFencing_},
                            {"deduplicates", Config_.Deduplicates_}};
  return json::serialize(Report) + "\n";
}

} // namespace rattancart
