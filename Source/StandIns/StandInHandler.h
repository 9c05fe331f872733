#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"
#include "Core/Common/Logger.h"
#include "Net/HttpServer.h"
#include "StandIns/Faults.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <string>
#include <utility>

namespace rattancart {

/// The fields of the instance list entry of a stand-in that change while it runs.
struct EntryChange {
  bool Leaving_ = false;
  Incarnation Incarnation_{0};
};

/// Base of the HTTP handlers of the stand-ins. Serves /healthz, /faults and /v1/history, which no
/// fault affects, and applies the common faults to all other requests. /healthz reports how many
/// requests wait for a delay or a hang to end. Not thread-safe.
class StandInHandler : public HttpHandler {
public:
  /// Precondition: Loop and Log outlive the handler.
  StandInHandler(boost::asio::io_context &Loop, Logger &Log) : Loop_(Loop), Log_(Log) {}

  void handle(HttpRequest Request, HttpResponderPtr Responder) final;
  /// Starts a graceful end: no new work is taken.
  virtual void leave() = 0;
  /// Whether all work is finished.
  virtual bool isIdle() const = 0;
  /// Sets the address at which others reach the stand-in.
  virtual void setAddress(const NetAddress &Address) { (void)Address; }
  /// Sets a handler that is called when the entry in the instance list has to change: an order
  /// made the stand-in leave, or it is a new incarnation after it was down.
  void onEntryChanged(std::function<void(const EntryChange &)> Handler) {
    EntryChanged_ = std::move(Handler);
  }

protected:
  virtual void serve(HttpRequest Request, HttpResponderPtr Responder) = 0;
  virtual const CommonFaults &commonFaults() const = 0;
  virtual std::string faultText() const = 0;
  /// Sets faults from a text; false if the text is no JSON object.
  virtual bool setFaultText(const std::string &Text) = 0;
  virtual std::string historyText(std::uint64_t From) const;

  /// Sends an answer; holds it while the stand-in hangs, and closes the connection instead while it
  /// is down.
  void deliver(const HttpResponderPtr &Responder, HttpResponse Response);
  /// Calls Handler after Delay, at once if it is zero.
  void after(Duration Delay, std::function<void()> Handler);
  void notifyEntryChanged(const EntryChange &Change) const;
  /// Requests that wait for a delay or a hang to end.
  std::size_t waitingRequests() const { return DelayedRequests_ + HeldRequests_.size(); }

  boost::asio::io_context &Loop_;
  Logger &Log_;

private:
  struct HeldRequest {
    HttpRequest Request_;
    HttpResponderPtr Responder_;
  };
  struct HeldAnswer {
    HttpResponderPtr Responder_;
    HttpResponse Response_;
  };
  void serveFaults(const HttpRequest &Request, HttpResponder &Responder);
  void dispatch(HttpRequest Request, HttpResponderPtr Responder);
  void releaseHeld();

  std::size_t DelayedRequests_ = 0;
  std::deque<HeldRequest> HeldRequests_;
  std::deque<HeldAnswer> HeldAnswers_;
  std::function<void(const EntryChange &)> EntryChanged_;
};

/// An answer with a JSON body.
HttpResponse jsonAnswer(std::uint32_t Status, std::string Body);

} // namespace rattancart
