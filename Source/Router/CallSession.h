#pragma once

#include "Core/Calls/CallMachine.h"
#include "Net/Timer.h"
#include "Router/CallEndpointPicker.h"
#include "Router/RouteHandler.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace rattancart {

/// Counters of the calls to plain services.
struct CallStats {
  std::uint64_t Started_ = 0;
  std::uint64_t Done_ = 0;
  std::uint64_t NotRun_ = 0;
  std::uint64_t Unknown_ = 0;
  std::uint64_t CallersGone_ = 0;
  std::uint64_t Sends_ = 0;
  std::uint64_t Claims_ = 0;
};

/// One call to a plain service: performs the effects that its state machine decides on. Not
/// thread-safe.
class CallSession : public std::enable_shared_from_this<CallSession> {
public:
  /// OnOver is called once, when the call is over. Precondition: all references outlive the
  /// session.
  CallSession(RouterServices &Services, CallEndpointPicker &Picker, CallStats &Stats,
              RetryBudget &Budget, RoutedRequest Request, std::function<void()> OnOver);

  /// Starts the call. Precondition: called once.
  void start();
  /// The session's part of the state dump.
  boost::json::object state() const;

private:
  void performEffects(CallEffects Effects);
  void perform(const CallSend &Send);
  void perform(const CallCancelSend &Cancel);
  void perform(const CallClaim &Claim);
  void perform(const CallAbandonClaim &Abandon);
  void perform(const CallRecordAnswer &Finish);
  void perform(const CallReleaseClaim &Release);
  void perform(const CallAnswer &Answer);
  void perform(const CallForwardAnswer &Forward);
  void perform(const CallArmDeadline &Arm);
  void onSendFinished(HttpResult Result);
  void releaseEndpoint(bool Reachable, TimePoint Now);
  void recordOutcome(std::uint32_t Status, Outcome CallOutcome);
  void finishIfOver();

  RouterServices &Services_;
  CallEndpointPicker &Picker_;
  CallStats &Stats_;
  RoutedRequest Request_;
  std::function<void()> OnOver_;
  std::optional<IdempotencyKey> Key_;
  IdempotencyKey ClaimKey_;
  CallMachine Machine_;
  Timer Deadline_;
  std::set<EndpointId> Tried_;
  std::optional<PickedEndpoint> Endpoint_;
  HttpCallId HttpCall_;
  HttpResponse Response_;
  RequestEnd End_;
  bool Answered_ = false;
  bool Finished_ = false;
};

} // namespace rattancart
