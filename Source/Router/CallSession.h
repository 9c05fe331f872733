#pragma once

#include "Core/Calls/CallMachine.h"
#include "Net/Timer.h"
#include "Router/CallEndpoints.h"
#include "Router/RouteHandler.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace rattancart {

/// Counters of plain calls.
struct CallStats {
  std::uint64_t Begun_ = 0;
  std::uint64_t Done_ = 0;
  std::uint64_t NotRun_ = 0;
  std::uint64_t Unknown_ = 0;
  std::uint64_t CallersGone_ = 0;
  std::uint64_t Sends_ = 0;
  std::uint64_t Claims_ = 0;
};

/// One plain call: carries out what its machine decides. Not thread-safe.
class CallSession : public std::enable_shared_from_this<CallSession> {
public:
  /// Precondition: all references outlive the session.
  CallSession(RouterServices &Services, CallEndpoints &Endpoints, CallStats &Stats,
              RetryBudget &Permit, RoutedRequest Request, std::function<void()> Over);

  /// Starts the call. Precondition: called once.
  void start();
  /// The session's part of the state dump.
  boost::json::object state() const;

private:
  void run(CallEffects Effects);
  void carryOut(const CallSend &Send);
  void carryOut(const CallCancelSend &Cancel);
  void carryOut(const CallClaim &Claim);
  void carryOut(const CallAbandonClaim &Abandon);
  void carryOut(const CallRecordAnswer &Finish);
  void carryOut(const CallReleaseClaim &Release);
  void carryOut(const CallAnswer &Answer);
  void carryOut(const CallForwardAnswer &Forward);
  void carryOut(const CallArmDeadline &Arm);
  void sent(HttpResult Result);
  void endSend(bool Reachable, TimePoint Now);
  void answered(std::uint32_t Status, Outcome What);
  void finishIfOver();

  RouterServices &Services_;
  CallEndpoints &Endpoints_;
  CallStats &Stats_;
  RoutedRequest Request_;
  std::function<void()> Over_;
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
