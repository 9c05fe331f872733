#pragma once

#include "Gateway/GatewayContext.h"
#include "Gateway/PeerForwarding.h"
#include "Net/HttpServer.h"
#include "Net/Timer.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace rattancart {

/// A caller's request with the route, service and customer found for it on arrival.
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
  /// Set if another gateway forwarded the request. It is not forwarded again.
  PeerResponderPtr Peer_;

  /// How urgent the request is; see ServingIndex::priority. Precondition: all members are set.
  std::uint32_t priority() const;
};

/// One send of a request to an endpoint.
class Attempt : public HttpResponseSink {
public:
  HeadDecision onHead(const HttpResponse &Head) override;
  bool onBody(std::string_view Data) override;

  EndpointId Endpoint_;
  HttpCallId Call_;
  TimePoint SentAt_{};
  /// When the retry budget allowed the send; nothing for the first send of a request.
  std::optional<TimePoint> RetryTakenAt_;
  RetryPurpose RetryPurpose_ = RetryPurpose::AfterLoss;
  HttpResponse Head_;
  ResponseInfo Info_;
  bool HeadSeen_ = false;
  /// Set by the head handler if nothing of the response may be passed on, and by the body handler
  /// if the body is not what the head announces. The attempt then ends with MalformedResponse.
  bool Rejected_ = false;
  /// Another endpoint, which has the address now, refused the request.
  bool AddressTaken_ = false;
  /// The gateway that the request was forwarded to; nothing if it was sent to an endpoint.
  std::optional<NetAddress> Peer_;
  /// What that gateway answered in place of an endpoint.
  PeerRefusal Refusal_ = PeerRefusal::None;
  /// False once the attempt has ended or the exchange has cancelled it.
  bool Live_ = true;
  RequestId Expected_;
  const EndpointProtocol *Protocol_ = nullptr;
  /// Called with the head of the response, before HeadHandler_.
  std::function<void()> InfoHandler_;
  std::function<void()> HeadHandler_;
  /// Returns false if the response exceeds a limit or is malformed.
  std::function<bool(std::string_view)> BodyHandler_;
};

using AttemptPtr = std::shared_ptr<Attempt>;

/// Handles one caller's request from its routing to its end. Derived classes choose endpoints and
/// pass the response on. Kept alive by its callbacks and by the request handler until it ends.
/// Not thread-safe.
class Exchange : public std::enable_shared_from_this<Exchange> {
public:
  using Ended = std::function<void(const std::shared_ptr<Exchange> &)>;

  Exchange(GatewayContext &Context, RoutedRequest Request, Ended OnEnded);
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
  /// Ends the exchange, because the process ends. The caller is answered unless a stream has begun.
  void shutDown();

protected:
  virtual void begin() = 0;
  /// Cancels all attempts that are under way.
  virtual void cancelAttempts() = 0;
  /// Ends the exchange before its response is complete, for this reason.
  virtual void endEarly(ErrorCode Reason) = 0;
  /// Text of the field "detail" in the last log line of the request.
  virtual std::string endDetail() const { return "-"; }

  /// Whether an attempt whose connection has opened may still be handed to it.
  virtual bool mayStillBeSent(const Attempt & /*Sent*/) const { return true; }
  /// Sends the request to an endpoint. Done is called when the attempt ends, unless it is
  /// cancelled.
  AttemptPtr send(const EndpointRecord &Endpoint, ForwardOptions Options, ConnectionUse Use,
                  Duration ConnectTimeout,
                  std::function<void(const AttemptPtr &, const HttpResult &)> Done);
  /// Whether the request is forwarded rather than sent to an endpoint: this process reaches none.
  bool usesPeer() const;
  /// The gateway for the next send, preferably one that was not tried; nothing if there is none.
  std::optional<NetAddress> choosePeer() const;
  /// Forwards the request to another gateway, like send().
  AttemptPtr sendToPeer(const NetAddress &Peer, ForwardOptions Options, ConnectionUse Use,
                        std::function<void(const AttemptPtr &, const HttpResult &)> Done);
  /// Records how a forwarded attempt failed.
  void notePeerFailure(const Attempt &Sent, const HttpResult &Result);
  /// Passes the answer of another gateway on, which no endpoint gave, and ends the exchange.
  void sendPeerRefusal(const Attempt &Sent, std::string Body);
  /// Cancels an attempt; its callbacks are not called again.
  void cancelAttempt(const AttemptPtr &Sent);

  /// Sends an error response of the gateway and ends the exchange.
  void refuse(std::uint32_t Status, ErrorCode Reason, std::optional<Duration> RetryAfter);
  /// Ends the exchange: logs the outcome and calls the callback given to the constructor.
  void finish(std::string_view Outcome);
  std::uint32_t priority() const { return Routed_.priority(); }
  /// Time until the deadline of the request.
  Duration timeLeft() const;
  /// Whether a permission that was given at this time, to send something, may still be used. After
  /// a pause of the process it may have run out. Connections open sooner.
  bool isPermissionValid(TimePoint GivenAt) const;
  /// Whether the limit that the endpoint names lets the request be sent to it. Call it once for
  /// each endpoint that the request would be sent to. A lower priority value is preferred.
  bool tryAdmit(const EndpointRecord &Endpoint, std::uint32_t Priority);
  /// Tells the slow start of the endpoint what became of a request that was sent there at SentAt.
  void noteAnswer(const EndpointId &Endpoint, EndpointAnswer Answer, TimePoint SentAt);
  /// The same for an answer, or the first event of one, that arrives now.
  void noteAnswered(const EndpointId &Endpoint, TimePoint SentAt);
  /// Takes one retry from the retry budget of the service; false if the budget is spent. Cause is
  /// written to the log, a denial only once for each cause. Precondition: Cause is a literal.
  bool tryTakeRetry(std::string_view Cause, RetryPurpose Purpose = RetryPurpose::AfterLoss);
  ForwardOptions forwardOptions() const;
  void logRetry(LogEvent Outcome, std::string_view Cause, TimePoint Now);
  void logSend(const EndpointId &Endpoint, std::string_view Detail);
  void logFailure(const Attempt &Sent, const HttpResult &Result);
  /// A random duration from Least to Most, so that callers refused together don't retry together.
  Duration randomDuration(Duration Least, Duration Most);

  GatewayContext &Context_;
  RoutedRequest Routed_;
  TimePoint Deadline_{};
  std::uint32_t Sends_ = 0;

private:
  AttemptPtr makeAttempt(EndpointId Endpoint);
  void dispatch(const AttemptPtr &Sent, const NetAddress &Address, HttpRequest Request,
                ConnectionUse Use, Duration ConnectTimeout,
                std::function<void(const AttemptPtr &, const HttpResult &)> Done);
  /// Called when the connection of an attempt is open, before any byte is handed to it. Returns
  /// whether the request may be handed over.
  bool mayHandOver(const Attempt &Sent);
  /// Records what the head of a response says about the endpoint that the request was sent to.
  /// Run is the newest run of the endpoint that was known then.
  void onResponseInfo(Attempt &Sent, const EndpointListing &SentTo, Incarnation Run);
  /// Whether the endpoint's limit still lets an attempt be handed over that was admitted long ago.
  bool mayHandOverLate(const Attempt &Sent);

  /// Causes for which a denied retry has been logged. A waiting stream asks every few tens of ms.
  std::set<std::string_view> LoggedDenials_;
  /// The last retry that was taken from the retry budget.
  std::optional<TimePoint> RetryTakenAt_;
  RetryPurpose RetryPurpose_ = RetryPurpose::AfterLoss;
  /// Gateways that the request was forwarded to.
  std::set<NetAddress> TriedPeers_;
  Timer DeadlineTimer_;
  Ended OnEnded_;
  bool Ended_ = false;
};

} // namespace rattancart
