#include "StandIns/Site/FakeDesk.h"

#include "StandIns/StandInHandler.h"

#include <boost/asio/post.hpp>

#include <fmt/format.h>

#include <utility>

namespace rattancart {

FakeDesk::FakeDesk(boost::asio::io_context &Loop, const Clock &Time, Logger &Log, std::string Id,
                   std::string DataCenter, ActivityLog &Activity)
    : Loop_(Loop), Time_(Time), Id_(std::move(Id)), DataCenter_(std::move(DataCenter)),
      Activity_(Activity),
      Server_(std::make_unique<HttpServer>(Loop, HttpServerOptions{}, *this, Log)) {}

void FakeDesk::handle(HttpRequest Request, HttpResponderPtr Responder) {
  const std::string Id(Request.Headers_.get("X-Attempt-Id"));
  const bool Booking = Request.Method_ == "POST";
  Activity_.Arrivals_.push_back({Id, Id_, Time_.now()});
  HttpResponse Answer;
  Answer.Headers_.add("X-Attempt-Id", Id);
  Answer.Headers_.add("Content-Type", "application/json");
  if (Limit_)
    Answer.Headers_.add("Server-Limit", fmt::format("{}", *Limit_));
  if (Request.Headers_.get("X-Expect-Instance") != Id_ || Fault_ == DeskFault::Refuses) {
    Answer.Status_ = Fault_ == DeskFault::Refuses ? 503 : 421;
    Answer.Headers_.add("X-Not-Executed", "1");
    return Responder->send(std::move(Answer));
  }
  Activity_.Executions_[Id].push_back(Id_);
  if (Booking)
    Activity_.Bookings_.insert(Id);
  if (Fault_ == DeskFault::LosesAnswer)
    return Responder->abort();
  if (Fault_ == DeskFault::Hangs) {
    Unanswered_.push_back(std::move(Responder));
    return;
  }
  if (Fault_ != DeskFault::OmitsStamp)
    Answer.Headers_.add("X-Response-Stamp", Id_);
  Answer.Status_ = Fault_ == DeskFault::Fails ? 500 : 200;
  if (Fault_ == DeskFault::EndlessBody) {
    Responder->startChunked(std::move(Answer));
    return sendEndlessBody(Responder);
  }
  Answer.Body_ =
      fmt::format("{{\"desk\":\"{}\",\"bookings\":{}}}", Id_, Activity_.Bookings_.size());
  if (Fault_ == DeskFault::UntilClose || Fault_ == DeskFault::ResetsBody ||
      Fault_ == DeskFault::CutsChunks)
    return sendUnframed(std::move(Answer), std::move(Responder));
  Responder->send(std::move(Answer));
}

void FakeDesk::sendUnframed(HttpResponse Answer, HttpResponderPtr Responder) {
  const std::string Body = std::move(Answer.Body_);
  if (Fault_ == DeskFault::CutsChunks)
    Responder->startChunked(std::move(Answer));
  else
    Responder->startUntilClose(std::move(Answer));
  if (Fault_ == DeskFault::UntilClose) {
    Responder->sendChunk(Body);
    return Responder->finishChunked();
  }
  Responder->sendChunk(Body.substr(0, Body.size() / 2));
  abortWhenWritten(std::move(Responder));
}

void FakeDesk::abortWhenWritten(HttpResponderPtr Responder) {
  if (Responder->queuedBytes() == 0)
    return Responder->abort();
  boost::asio::post(Loop_, [this, Responder = std::move(Responder)]() mutable {
    abortWhenWritten(std::move(Responder));
  });
}

void FakeDesk::sendEndlessBody(const HttpResponderPtr &Responder) {
  if (!Responder->isOpen() || Activity_.EndlessBytesSent_ > MaxEndlessBytes)
    return Responder->abort();
  if (Responder->queuedBytes() == 0) {
    Responder->sendChunk(std::string(EndlessChunkBytes, 'x'));
    Activity_.EndlessBytesSent_ += EndlessChunkBytes;
  }
  boost::asio::post(Loop_, [this, Responder] { sendEndlessBody(Responder); });
}

} // namespace rattancart
