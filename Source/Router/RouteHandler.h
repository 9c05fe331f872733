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
  /// The status that the caller got; 0 if it went away or was cut off.
  std::uint32_t Status_ = 0;
  Outcome Outcome_ = Outcome::Unknown;
  /// Tokens that were produced; 0 for plain calls.
  std::uint32_t Tokens_ = 0;
};

/// A request with the route that matched it.
struct RoutedRequest {
  RequestId Id_;
  HttpRequest Http_;
  /// The view that was in force when the request arrived; fixed for its life.
  SettingsViewPtr View_;
  /// Points into View_.
  const Route *Route_ = nullptr;
  CustomerId Customer_;
  TimePoint ArrivedAt_{};
  TimePoint Deadline_{};
  /// The tail of the claims stream that this router knew at the arrival.
  LogOffset ClaimPosition_{0};
  HttpResponderPtr Responder_;
  /// Called once when the request is over; gives its admission back.
  std::function<void(const RequestEnd &)> Finished_;
};

/// What a claim came to.
struct ClaimReply {
  enum class State : std::uint8_t {
    /// This call holds the key and may send.
    Won,
    /// Another call holds the key and has not finished.
    Lost,
    /// The claim's position is older than the key's floor.
    NotEligible,
    /// The key's call finished; Status_ and Body_ hold its answer.
    Done,
    /// No claim was appended, or its outcome can't be known now.
    Unavailable,
  };
  State State_ = State::Unavailable;
  LogOffset Offset_ = NoOffset;
  std::uint32_t Status_ = 0;
  std::string Body_;
};

/// Orders claims through a control process. Not thread-safe.
class ClaimClient {
public:
  virtual ~ClaimClient() = default;
  /// Whether claims can be ordered now, as far as is known.
  virtual bool available() const = 0;
  /// Makes one claim. Reply may be called several times: Lost first and Done later, for as long
  /// as the claim is followed. It is never called from within claim.
  virtual void claim(const RequestId &Call, const IdempotencyKey &Key, LogOffset Position,
                     std::function<void(const ClaimReply &)> Reply) = 0;
  /// Stops following a claim. A win that arrives later is released by the implementation.
  virtual void abandon(const RequestId &Call) = 0;
  /// Records the holder's answer.
  virtual void finish(const RequestId &Call, const IdempotencyKey &Key, std::uint32_t Status,
                      std::string Body) = 0;
  /// Gives the key back. Precondition: the caller was told not-run.
  virtual void release(const RequestId &Call, const IdempotencyKey &Key) = 0;
};

/// What request handlers use of the router. References outlive the handlers.
struct RouterServices {
  boost::asio::io_context &Loop_;
  const Clock &Clock_;
  Logger &Log_;
  HttpClient &Client_;
  /// Engines and services as the router knows them now.
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
  /// Takes over a request; answers through its responder.
  virtual void handle(RoutedRequest Request) = 0;
  /// Requests not yet answered.
  virtual std::size_t inFlight() const = 0;
  /// The handler's part of the state dump.
  virtual boost::json::object state() const = 0;
  /// Called when the endpoint table or the settings view changed.
  virtual void onViewChanged() {}
};

/// Sends a whole answer with the outcome headers.
void sendAnswer(HttpResponder &Responder, const RequestId &Id, const CallerAnswer &Answer);

} // namespace rattancart
