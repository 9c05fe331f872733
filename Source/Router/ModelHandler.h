#pragma once

#include "Core/Pipeline/ModelRequest.h"
#include "Core/Pipeline/StepTimeoutEstimator.h"
#include "Core/Routing/AffinityPolicy.h"
#include "Core/Routing/ChainPlanner.h"
#include "Core/Routing/SuspectList.h"
#include "Router/RouteHandler.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace rattancart {

struct ModelHandlerOptions {
  ModelRequestOptions Request_;
  StepTimeoutOptions StepTimeout_;
  AffinityPolicyOptions Chain_;
  /// The number of prompt prefixes whose engines are remembered.
  std::size_t MaxPrefixes_ = 4096;
  std::size_t MaxPromptTokens_ = 32 * 1024;
  /// Limit of the prompt bytes of all requests in flight; a request that exceeds it is refused.
  std::size_t MaxPromptBytes_ = 64 * 1024 * 1024;
  /// A streaming caller that leaves more than this unread is disconnected.
  std::size_t MaxStreamBacklogBytes_ = 256 * 1024;
  /// The number of tokens at the beginning of a prompt that identify its prefix.
  std::uint32_t PrefixTokens_ = 32;
  Duration ConnectTimeout_ = std::chrono::milliseconds(500);
  /// How long new chains avoid a suspected engine.
  Duration SuspectDuration_ = std::chrono::seconds(2);
};

struct ModelHandlerStats {
  std::uint64_t Finished_ = 0;
  std::uint64_t Failed_ = 0;
  std::uint64_t Cancelled_ = 0;
  std::uint64_t Attempts_ = 0;
  std::uint64_t Steps_ = 0;
  std::uint64_t StaleSteps_ = 0;
  std::uint64_t ConnectionRetries_ = 0;
  std::uint64_t Suspicions_ = 0;
  std::uint64_t SlowReaders_ = 0;
};

/// The state that all sessions of one handler share.
struct ModelHandlerContext {
  ModelHandlerContext(RouterServices &Router, ModelHandlerOptions Settings);

  RouterServices &Services_;
  ModelHandlerOptions Options_;
  EngineLoadEstimator Load_;
  PrefixIndex Prefixes_;
  ChainPlanner Planner_;
  StepTimeoutEstimator StepTimeouts_;
  SuspectList Suspects_;
  ModelHandlerStats Stats_;
};

class ModelSession;

/// Serves model routes: runs each request through a chain of engines. Not thread-safe: use it on
/// the event loop.
class ModelHandler final : public RouteHandler {
public:
  /// Precondition: Services outlives the handler.
  explicit ModelHandler(RouterServices &Services, ModelHandlerOptions Options = {});
  ~ModelHandler() override;

  void handle(RoutedRequest Request) override;
  std::size_t inFlight() const override { return Sessions_.size(); }
  boost::json::object state() const override;
  void onViewChanged() override;
  /// The number of routers that send to the same engines, this one included. At least 1.
  void setRouters(std::size_t Count) { Shared_.Planner_.setRouterCount(Count); }
  const ModelHandlerStats &stats() const { return Shared_.Stats_; }

private:
  void refuse(const RoutedRequest &Request, const Error &Reason, std::uint32_t Status);

  ModelHandlerContext Shared_;
  std::unordered_map<RequestId, std::shared_ptr<ModelSession>> Sessions_;
  std::size_t PromptBytes_ = 0;
};

} // namespace rattancart
