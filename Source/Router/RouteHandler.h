#pragma once

#include "Core/Common/CallerAnswer.h"
#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"
#include "Core/Common/Logger.h"
#include "Core/Membership/EndpointTable.h"
#include "Core/Settings/SettingsView.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace rattancart {

/// How a routed request ended.
struct RequestEnd {
  /// The status that the caller got; 0 if it went away or was disconnected.
  std::uint32_t Status_ = 0;
  Outcome Outcome_ = Outcome::Unknown;
  /// The number of tokens produced; 0 for plain services.
  std::uint32_t Tokens_ = 0;
};

/// A request with the route that matched it.
struct RoutedRequest {
  RequestId Id_;
  HttpRequest Http_;
  /// The settings that were in force when the request arrived; they hold until it is over.
  SettingsViewPtr View_;
  /// Points into View_.
  const Route *Route_ = nullptr;
  CustomerId Customer_;
  TimePoint ArrivedAt_{};
  TimePoint Deadline_{};
  /// The tail of the claims stream that this router knew when the request arrived.
  LogOffset ClaimPosition_{0};
  HttpResponderPtr Responder_;
  /// Called once when the request is over; gives back its place in the admission control.
  std::function<void(const RequestEnd &)> OnFinished_;
};

/// The result of a claim.
struct ClaimReply {
  enum class State : std::uint8_t {
    /// This call holds the key and may send.
    Won,
    /// Another call holds the key and has not finished.
    Lost,
    /// The claim's position is below the key's floor, so the claim can't win.
    NotEligible,
    /// The call that held the key finished; Status_ and Body_ are its answer.
    Done,
    /// No claim was appended, or its result can't be known now.
    Unavailable,
  };
  State State_ = State::Unavailable;
  LogOffset Offset_ = NoOffset;
  std::uint32_t Status_ = 0;
  std::string Body_;
};

/// Makes claims on idempotency keys through a control process. Not thread-safe.
class ClaimClient {
public:
  virtual ~ClaimClient() = default;
  /// Whether claims can be made now, as far as is known.
  virtual bool available() const = 0;
  /// Makes one claim. Reply may be called several times while the claim is followed: with Lost
  /// first and with Done later. It is never called from within claim.
  virtual void claim(const RequestId &Call, const IdempotencyKey &Key, LogOffset Position,
                     std::function<void(const ClaimReply &)> Reply) = 0;
  /// Stops following a claim. The implementation releases a win that arrives later.
  virtual void abandon(const RequestId &Call) = 0;
  /// Records the answer of the call that holds the key.
  virtual void finish(const RequestId &Call, const IdempotencyKey &Key, std::uint32_t Status,
                      std::string Body) = 0;
  /// Releases the key. Precondition: the caller was answered that the call did not run.
  virtual void release(const RequestId &Call, const IdempotencyKey &Key) = 0;
};

/// The parts of the router that request handlers use. All references outlive the handlers.
struct RouterServices {
  boost::asio::io_context &Loop_;
  const Clock &Clock_;
  Logger &Log_;
  HttpClient &Client_;
  /// The engines and services that the router knows now.
  EndpointTable &Endpoints_;
  ClaimClient &Claims_;
  std::mt19937_64 &Random_;
  DataCenterId DataCenter_;
  InstanceId Instance_;
};

/// Serves the requests of one kind of route.
class RouteHandler {
public:
  virtual ~RouteHandler() = default;
  /// Takes over a request and answers it through its responder.
  virtual void handle(RoutedRequest Request) = 0;
  /// The number of requests that are not over.
  virtual std::size_t inFlight() const = 0;
  /// The handler's part of the state dump.
  virtual boost::json::object state() const = 0;
  /// Called when the endpoint table or the settings view changed.
  virtual void onViewChanged() {}
};

/// Sends a complete answer with the outcome headers.
void sendAnswer(HttpResponder &Responder, const RequestId &Id, const CallerAnswer &Answer);

} // namespace rattancart
