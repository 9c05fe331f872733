#pragma once

#include "Gateway/Exchange.h"

#include <set>
#include <vector>

namespace rattancart {

/// A request to a plain service, answered by the complete response of one endpoint.
///
/// A non-idempotent request runs at most once: it uses a new connection, so that its outcome is
/// unknown only if the response is lost, and goes to another endpoint only if the first did not run
/// it. An idempotent request is also sent to a second endpoint when the first fails or is slow.
/// Not thread-safe.
class CallExchange final : public Exchange {
public:
  using Exchange::Exchange;
  void tick(TimePoint Now) override;

protected:
  void begin() override;
  void cancelAttempts() override;
  void endEarly(ErrorCode Reason) override;

private:
  struct CallAttempt {
    AttemptPtr Attempt_;
    std::string Body_;
  };
  using CallAttemptPtr = std::shared_ptr<CallAttempt>;

  /// Chooses an endpoint that is not in Excluded; null if there is none.
  const EndpointRecord *chooseEndpoint(const std::set<EndpointId> &Excluded) const;
  /// Chooses an endpoint that was not tried, preferably one whose slow start allows it; null if
  /// there is none.
  const EndpointRecord *chooseAllowedEndpoint();
  /// Chooses an endpoint whose limit leaves room for the request; null if there is none.
  const EndpointRecord *admitToEndpoint();
  /// Whether there is a further endpoint, and sends and time are left for the request.
  bool canSendNext() const;
  /// False if canSendNext is.
  bool sendNext();
  /// Forwards the request to another gateway; false if there is none.
  bool sendToNextPeer();
  void collectBody(CallAttempt &Item);
  /// A forwarded attempt did not end with an endpoint's answer that may be passed on.
  void onPeerFailure(const CallAttemptPtr &Item, const HttpResult &Result);
  void onDone(const CallAttemptPtr &Item, const HttpResult &Result);
  void onFailure(const CallAttemptPtr &Item, const HttpResult &Result);
  /// Whether the attempt ended with a complete response that may be passed on.
  bool isComplete(const CallAttempt &Item, const HttpResult &Result) const;
  bool isRetryable() const { return Routed_.Route_->Kind_ == RequestKind::Idempotent; }
  void sendResponse(const CallAttempt &Item);
  void giveUp();

  std::vector<CallAttemptPtr> Pending_;
  /// Endpoints that the request was sent to, or whose limit leaves no room for it.
  std::set<EndpointId> Tried_;
  /// The limit of an endpoint left no room for the request.
  bool LimitReached_ = false;
  /// Number of sends that an endpoint runs or may have run.
  std::uint32_t PossibleRuns_ = 0;
  /// A complete error response of an endpoint, passed on if no other endpoint succeeds.
  CallAttemptPtr Failure_;
  /// A send may have run, and its response was lost or must not reach the caller.
  bool OutcomeUnknown_ = false;
};

} // namespace rattancart
