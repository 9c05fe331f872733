#pragma once

#include "Gateway/GatewayContext.h"
#include "Net/HttpServer.h"
#include "Net/Timer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace rattancart {

/// A caller's request with what was decided about it on arrival.
struct RoutedRequest {
  HttpRequest Request_;
  HttpResponderPtr Responder_;
  CallerRequest Caller_;
  /// Keeps Route_, Service_ and Customer_ alive.
  ServingIndexPtr Config_;
  const ServingRoute *Route_ = nullptr;
  const ServingService *Service_ = nullptr;
  /// Null on public routes.
  const ServingCustomer *Customer_ = nullptr;
  TimePoint ArrivedAt_{};
};

/// One send of a request to an endpoint.
class Attempt : public HttpAnswerSink {
public:
  HeadVerdict onHead(const HttpResponse &Head) override;
  bool onBody(std::string_view Data) override;

  EndpointId Endpoint_;
  HttpCallId Call_;
  TimePoint SentAt_{};
  HttpResponse Head_;
  ResponseInfo Answer_;
  bool HeadSeen_ = false;
  /// False once the exchange no longer cares.
  bool Live_ = true;
  RequestId Expected_;
  const EndpointProtocol *Dialect_ = nullptr;
  std::function<void()> HeadHandler_;
  /// False if no answer can be that long.
  std::function<bool(std::string_view)> BodyHandler_;
};

using AttemptPtr = std::shared_ptr<Attempt>;

/// A caller's request from its routing to its end. Derived classes choose endpoints and pass the
/// answer on. Held by its own callbacks and by the front until it ends. Not thread-safe.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  using Ended = std::function<void(const std::shared_ptr<Exchange> &)>;

  Exchange(GatewayContext &Parts, RoutedRequest Request, Ended OnEnded);
  virtual ~Exchange() = default;
  Exchange(const Exchange &) = delete;
  Exchange &operator=(const Exchange &) = delete;

  /// Sends the request, or refuses it.
  void start();
  /// Called every few tens of ms.
  virtual void tick(TimePoint Now) = 0;
  /// An engine was found silent.
  virtual void onEngineSilent(const EndpointId & /*Engine*/) {}
  bool ended() const { return Ended_; }

protected:
  virtual void begin() = 0;
  /// Ends all that is under way at endpoints.
  virtual void abandon() = 0;
  /// The deadline has passed.
  virtual void onDeadline() = 0;
  /// What the last log line of the request says beside its outcome.
  virtual std::string endDetail() const { return "-"; }

  /// Starts a send. Options name the endpoint and the rest of what it gets.
  AttemptPtr send(const EndpointRecord &Endpoint, ForwardOptions Options, ConnectionUse Use,
                  Duration ConnectTimeout,
                  std::function<void(const AttemptPtr &, const HttpResult &)> Done);
  /// Gives an attempt up; its callbacks are not called again.
  void drop(const AttemptPtr &Sent);

  /// Answers with a status of this process and ends.
  void refuse(std::uint32_t Status, ErrorCode Reason, std::optional<Duration> RetryAfter);
  /// Logs the end, releases the caller and tells the front.
  void finish(std::string_view Outcome);
  /// The request's priority: the customer's, or the route's.
  std::uint32_t priority() const;
  /// Time left for the request.
  Duration left() const;
  /// Takes one repeat from the budget, and says so if there is none.
  bool mayRepeat();
  ForwardOptions forwardOptions() const;
  void logRepeat(LogEvent Outcome, TimePoint Now);
  void logSend(const EndpointId &Endpoint, std::string_view Detail);
  void logFailure(const Attempt &Sent, const HttpResult &Result);
  /// Between Least and Most, so that callers refused together don't come back together.
  Duration spread(Duration Least, Duration Most);

  GatewayContext &Parts_;
  RoutedRequest Routed_;
  TimePoint Deadline_{};
  std::uint32_t Sends_ = 0;

private:
  Timer DeadlineTimer_;
  Ended OnEnded_;
  bool Ended_ = false;
};

} // namespace rattancart
