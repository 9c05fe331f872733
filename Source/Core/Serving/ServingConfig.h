#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattancart {

/// Increases with each configuration that the operators write.
using ConfigRevision = StrongNumber<struct ConfigRevisionTag>;

/// How often the requests of a route may run.
enum class RequestKind : std::uint8_t {
  /// The request may run any number of times.
  Idempotent,
  /// The request must run at most once.
  OnceOnly,
  /// The answer is a stream of events. The request may run again only if the route is resumable.
  Stream,
};

/// A service's share of a route's requests.
struct ServiceShare {
  ServiceId Service_;
  double Weight_ = 1;
};

/// Selects requests, and defines the services that they go to and their limits.
struct ServingRoute {
  RouteId Id_;
  std::string Host_;
  /// Begins and ends with a slash.
  std::string PathPrefix_;
  RequestKind Kind_ = RequestKind::OnceOnly;
  std::vector<ServiceShare> Services_;
  /// The longest time that a caller has to wait.
  Duration Timeout_{};
  /// The longest time to the answer, or to a stream's first event, that counts as in time.
  Duration Objective_{};
  /// The longest pause between events that counts as in time.
  Duration PauseObjective_{};
  /// 0 is the most urgent.
  std::uint32_t Priority_ = 0;
  /// The number of endpoints that one request may be sent to.
  std::uint32_t MaxAttempts_ = 1;
  /// Whether requests need no API key.
  bool Public_ = false;
  bool Resumable_ = false;

  /// The time after which a caller gives up on a stream that has produced no event.
  Duration firstEventTimeout() const {
    return std::max({Duration(std::chrono::seconds(2)), 4 * Objective_, 8 * PauseObjective_});
  }
  /// Whether a request that may have run may be sent again.
  bool isRetryable() const {
    return Kind_ == RequestKind::Idempotent || (Kind_ == RequestKind::Stream && Resumable_);
  }
};

/// A kind of accelerator.
struct EngineKind {
  std::string Name_;
  double MemoryMb_ = 0;
  /// Multiplies the time of a decode step.
  double StepFactor_ = 1;
  /// Multiplies the time to prefill a prompt.
  double PrefillFactor_ = 1;
};

/// A model whose layers are distributed over the engines of a service, and the costs of running it.
struct LayeredModel {
  ModelId Id_;
  std::uint32_t Layers_ = 0;
  double LayerMb_ = 0;
  /// Memory of one token over all layers.
  double TokenBytes_ = 0;
  /// Time to load all layers into one engine.
  Duration LoadTime_{};
  /// The number of engines of the service that can load layers at full speed at the same time.
  std::uint32_t ConcurrentLoads_ = 1;
  /// Time of a decode step through all layers on an engine of factor 1: the fixed part, the part
  /// for each sequence, and the part for each thousand tokens of context.
  Duration Step_{};
  Duration StepPerSequence_{};
  Duration StepPerThousandTokens_{};
  double PromptTokensPerSecond_ = 1;
  /// Mean lengths, in tokens, over the requests of the service.
  double MeanPromptTokens_ = 0;
  double MeanAnswerTokens_ = 0;
  std::vector<EngineKind> Kinds_;

  /// The kind with that name, or null.
  const EngineKind *kind(const std::string &Name) const {
    for (const EngineKind &Kind : Kinds_)
      if (Kind.Name_ == Name)
        return &Kind;
    return nullptr;
  }
};

struct ServingService {
  ServiceId Id_;
  /// The number of connections that one endpoint accepts from all callers.
  std::uint32_t MaxConnections_ = 0;
  /// Set for services whose endpoints are model engines.
  std::optional<LayeredModel> Model_;
};

/// A customer and the API keys that belong to it.
struct ServingCustomer {
  CustomerId Id_;
  std::vector<std::string> Keys_;
  /// Takes precedence over the route's priority.
  std::optional<std::uint32_t> Priority_;
};

/// Limits on the size of what callers send, and on the time that they take.
struct CallerLimits {
  std::uint64_t MaxHeaderBytes_ = 16 * 1024;
  std::uint64_t MaxBodyBytes_ = 4 * 1024 * 1024;
  Duration HeaderTimeout_ = std::chrono::seconds(3);
  Duration IdleTimeout_ = std::chrono::seconds(15);
};

/// One complete configuration of the operators.
struct ServingConfig {
  ConfigRevision Revision_{0};
  std::vector<ServingRoute> Routes_;
  std::vector<ServingService> Services_;
  /// Unset if the operators list no customers, so that requests need no key. An empty list admits
  /// no key at all.
  std::optional<std::vector<ServingCustomer>> Customers_;
  CallerLimits Limits_;
};

} // namespace rattancart
