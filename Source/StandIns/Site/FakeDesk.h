#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"
#include "Net/HttpServer.h"
#include "StandIns/Site/ActivityLog.h"

#include <list>
#include <memory>
#include <string>

namespace rattancart {

/// What a desk does with its next calls.
enum class DeskFault : std::uint8_t {
  None,
  /// Refuses with the word that nothing ran.
  Refuses,
  /// Runs the call and answers 500.
  Fails,
  /// Runs the call and closes the connection without an answer.
  LosesAnswer,
  /// Runs the call and never answers.
  Hangs,
  /// Answers without a signature.
  OmitsStamp,
  /// Answers with a signed body that goes on until the caller closes.
  EndlessBody,
};

/// A plain service that books and looks up; all desks of a site share one ledger.
/// Not thread-safe.
class FakeDesk final : public HttpHandler {
public:
  /// Precondition: all arguments outlive the front.
  FakeDesk(boost::asio::io_context &Loop, Logger &Log, std::string Id, std::string DataCenter,
           ActivityLog &Ledger);

  std::error_code listen() { return Server_->listen(NetAddress("127.0.0.1:0")); }
  NetAddress address() const { return Server_->address(); }
  const std::string &id() const { return Id_; }
  const std::string &dataCenter() const { return DataCenter_; }
  void setFault(DeskFault Fault) { Fault_ = Fault; }

  void handle(HttpRequest Request, HttpResponderPtr Responder) override;

private:
  /// Sends more of an endless body.
  void goOn(const HttpResponderPtr &Responder);

  boost::asio::io_context &Loop_;
  std::string Id_;
  std::string DataCenter_;
  ActivityLog &Ledger_;
  std::unique_ptr<HttpServer> Server_;
  std::list<HttpResponderPtr> Unanswered_;
  DeskFault Fault_ = DeskFault::None;
};

} // namespace rattancart
