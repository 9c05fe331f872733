#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattancart {

/// Rises with each configuration that the operators write.
using ConfigRevision = StrongNumber<struct ConfigRevisionTag>;

/// What a route says about sending a request again.
enum class RequestKind : std::uint8_t {
  /// May run any number of times.
  Idempotent,
  /// Runs at most once.
  OnceOnly,
  /// An answer of events; may run again only where the route is resumable.
  Stream,
};

/// A service's share of a route's requests.
struct ServiceShare {
  ServiceId Service_;
  double Weight_ = 1;
};

/// Which requests go to which service, and under which limits.
struct ServingRoute {
  RouteId Id_;
  std::string Host_;
  /// Begins and ends with a slash.
  std::string PathPrefix_;
  RequestKind Kind_ = RequestKind::OnceOnly;
  std::vector<ServiceShare> Services_;
  /// The longest time that a caller is kept waiting.
  Duration Timeout_{};
  /// The time to the answer, or to a stream's first event, that counts as in time.
  Duration Objective_{};
  /// The longest pause between events that counts as in time.
  Duration PauseObjective_{};
  /// 0 is the most urgent.
  std::uint32_t Priority_ = 0;
  /// Endpoints that one request may be sent to.
  std::uint32_t MaxAttempts_ = 1;
  /// Needs no key.
  bool Public_ = false;
  bool Resumable_ = false;

  /// Whether a request that may have run can be sent again.
  bool isRetryable() const {
    return Kind_ == RequestKind::Idempotent || (Kind_ == RequestKind::Stream && Resumable_);
  }
};

/// A kind of accelerator.
struct EngineKind {
  std::string Name_;
  double MemoryMb_ = 0;
  /// Multiplies the time of a decoding step.
  double StepFactor_ = 1;
  /// Multiplies the time that reading a prompt takes.
  double PrefillFactor_ = 1;
};

/// A model whose layers are spread over the engines of a service, and what they cost there.
struct LayeredModel {
  ModelId Id_;
  std::uint32_t Layers_ = 0;
  double LayerMb_ = 0;
  /// Memory of one token over all layers.
  double TokenBytes_ = 0;
  /// Loading all layers into one engine.
  Duration LoadTime_{};
  /// Loads of the service that run at full speed at the same time.
  std::uint32_t ConcurrentLoads_ = 1;
  /// A decoding step of all layers on an engine of factor 1: fixed part, part for each sequence,
  /// and part for each thousand tokens of context.
  Duration Step_{};
  Duration StepPerSequence_{};
  Duration StepPerThousandTokens_{};
  double PromptTokensPerSecond_ = 1;
  /// Means over the requests of the service.
  double MeanPromptTokens_ = 0;
  double MeanAnswerTokens_ = 0;
  std::vector<EngineKind> Kinds_;

  /// The kind of that name, or null.
  const EngineKind *kind(const std::string &Name) const {
    for (const EngineKind &Kind : Kinds_)
      if (Kind.Name_ == Name)
        return &Kind;
    return nullptr;
  }
};

struct ServingService {
  ServiceId Id_;
  /// Connections that one endpoint takes from all callers.
  std::uint32_t MaxConnections_ = 0;
  /// Set for services whose endpoints are model engines.
  std::optional<LayeredModel> Model_;
};

/// Who a key belongs to.
struct ServingCustomer {
  CustomerId Id_;
  std::vector<std::string> Keys_;
  /// Goes before the route's priority.
  std::optional<std::uint32_t> Priority_;
};

/// What callers may send, and how long they may take.
struct CallerLimits {
  std::uint64_t MaxHeaderBytes_ = 16 * 1024;
  std::uint64_t MaxBodyBytes_ = 4 * 1024 * 1024;
  Duration HeaderTimeout_ = std::chrono::seconds(3);
  Duration IdleTimeout_ = std::chrono::seconds(15);
};

/// One whole configuration of the operators.
struct ServingConfig {
  ConfigRevision Revision_{0};
  std::vector<ServingRoute> Routes_;
  std::vector<ServingService> Services_;
  std::vector<ServingCustomer> Customers_;
  CallerLimits Limits_;
};

} // namespace rattancart
