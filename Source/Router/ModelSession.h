#pragma once

#include "Core/Common/CallerAnswer.h"
#include "Net/Timer.h"
#include "Router/ModelHandler.h"
#include "Router/ModelStepCodec.h"

#include <boost/json/object.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>

namespace rattancart {

/// One model request in flight: performs the effects that its state machine decides on. Not
/// thread-safe.
class ModelSession : public std::enable_shared_from_this<ModelSession> {
public:
  /// Precondition: Shared outlives the session; Spec belongs to the request's view.
  ModelSession(ModelHandlerContext &Shared, RoutedRequest Request, TokenSequence Prompt,
               const ModelSpec &Spec);

  /// Starts the request. OnOver is called once, when the request is over.
  void start(std::function<void()> OnOver);
  /// Ends the attempt if an endpoint of its chain is gone or was restarted.
  void checkEndpoints();
  boost::json::object state() const;

private:
  void dispatch(ModelEvent Event);
  void handlePendingEvents();
  void performEffects(const std::vector<ModelEffect> &Effects);
  void perform(const PlanChain &Effect);
  void perform(const SendStep &Effect);
  void perform(const CancelAttempt &Effect);
  void perform(const RetryConnection &Effect);
  void perform(const SuspectEndpoint &Effect);
  void perform(const DeliverToken &Effect);
  void perform(const FinishAnswer &Effect);
  void perform(const FailRequest &Effect);
  void planChain(const std::vector<EndpointId> &Excluded);
  void onStepResult(const StepCall &Call, HttpResult Exchange);
  void recordStaleSteps(std::uint64_t Before);
  void finish();

  ModelHandlerContext &Shared_;
  RoutedRequest Request_;
  const ModelSpec &Spec_;
  StepContext Context_;
  ModelRequest Machine_;
  std::function<void()> OnOver_;
  Timer DeadlineTimer_;
  Timer PlanTimer_;
  std::deque<ModelEvent> PendingEvents_;
  bool Dispatching_ = false;
  bool Streaming_ = false;
  bool StepSent_ = false;
  /// Its status is 0 until an answer was sent completely.
  RequestEnd End_;
  std::optional<HttpCallId> HttpCall_;
  TimePoint StepStartedAt_{};
};

} // namespace rattancart
