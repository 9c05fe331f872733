#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"
#include "Net/HttpServer.h"
#include "StandIns/Site/ActivityLog.h"

#include <list>
#include <memory>
#include <optional>
#include <string>

namespace rattancart {

/// How a desk answers its next calls.
enum class DeskFault : std::uint8_t {
  None,
  /// Answers 503 and states in X-Not-Executed that the call did not run.
  Refuses,
  /// Runs the call and answers 500.
  Fails,
  /// Runs the call and closes the connection without an answer.
  LosesAnswer,
  /// Runs the call and never answers.
  Hangs,
  /// Answers without the X-Response-Stamp header, which names the instance that answered.
  OmitsStamp,
  /// Answers with a body that has no length and ends with the connection.
  UntilClose,
  /// Does the same as UntilClose, but resets the connection within the body.
  ResetsBody,
  /// Does the same as ResetsBody, in a chunked answer that is closed before its last chunk.
  CutsChunks,
  /// Answers with X-Response-Stamp and a body that continues until the caller closes the
  /// connection or MaxEndlessBytes have been sent.
  EndlessBody,
};

/// A stand-in for a plain service that takes bookings and lookups. All desks of a site record into
/// one activity log. Not thread-safe.
class FakeDesk final : public HttpHandler {
public:
  /// Precondition: Loop, Time, Log and Activity outlive the desk.
  FakeDesk(boost::asio::io_context &Loop, const Clock &Time, Logger &Log, std::string Id,
           std::string DataCenter, ActivityLog &Activity);

  std::error_code listen() { return Server_->listen(NetAddress("127.0.0.1:0")); }
  NetAddress address() const { return Server_->address(); }
  const std::string &id() const { return Id_; }
  const std::string &dataCenter() const { return DataCenter_; }
  void setFault(DeskFault Fault) { Fault_ = Fault; }
  /// Names this limit, in requests a second, in all answers, or none.
  void setLimit(std::optional<double> PerSecond) { Limit_ = PerSecond; }

  void handle(HttpRequest Request, HttpResponderPtr Responder) override;

private:
  /// Sends an answer whose end is not known from its head, whole or only its first half.
  void sendUnframed(HttpResponse Answer, HttpResponderPtr Responder);
  void abortWhenWritten(HttpResponderPtr Responder);
  /// Sends the next chunk of a body without an end once the previous one has left the queue, and
  /// schedules itself again.
  void sendEndlessBody(const HttpResponderPtr &Responder);

  boost::asio::io_context &Loop_;
  const Clock &Time_;
  std::string Id_;
  std::string DataCenter_;
  ActivityLog &Activity_;
  std::unique_ptr<HttpServer> Server_;
  std::list<HttpResponderPtr> Unanswered_;
  DeskFault Fault_ = DeskFault::None;
  std::optional<double> Limit_;
};

} // namespace rattancart
