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

/// One model request in flight: carries out the effects of its state machine. Not thread-safe.
class ModelSession : public std::enable_shared_from_this<ModelSession> {
public:
  /// Precondition: Shared outlives the session; Spec belongs to the request's view.
  ModelSession(ModelSessionShared &Shared, RoutedRequest Request, TokenSequence Prompt,
               const ModelSpec &Spec);

  /// Starts the request. Over is called once, when it is over.
  void start(std::function<void()> Over);
  /// Ends attempts that use endpoints that are gone.
  void checkEndpoints();
  boost::json::object state() const;

private:
  void dispatch(ModelEvent Event);
  void takePending();
  void carryOut(const std::vector<ModelEffect> &Effects);
  void apply(const PlanChain &Effect);
  void apply(const SendStep &Effect);
  void apply(const CancelAttempt &Effect);
  void apply(const RetryConnection &Effect);
  void apply(const SuspectEndpoint &Effect);
  void apply(const DeliverToken &Effect);
  void apply(const FinishAnswer &Effect);
  void apply(const FailRequest &Effect);
  void planNow(const std::vector<EndpointId> &Excluded);
  void onExchange(const StepCall &Call, HttpResult Exchange);
  void noteStale(std::uint64_t Before);
  void end();

  ModelSessionShared &Shared_;
  RoutedRequest Request_;
  const ModelSpec &Spec_;
  StepContext Context_;
  ModelRequest Machine_;
  std::function<void()> Over_;
  Timer DeadlineTimer_;
  Timer PlanTimer_;
  std::deque<ModelEvent> Pending_;
  bool Dispatching_ = false;
  bool Streaming_ = false;
  bool StepSent_ = false;
  /// Status 0 until an answer was sent whole.
  RequestEnd End_;
  std::optional<HttpCallId> HttpCall_;
  TimePoint StepStartedAt_{};
};

} // namespace rattancart
