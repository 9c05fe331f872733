#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The operators' settings in the typed form that the data plane reads.
/// SettingsCompiler builds a view from the settings tree; docs/SETTINGS.md lists the paths.
namespace rattancart {

enum class Delivery {
  /// One answer with Content-Length, sent when it is complete.
  Whole,
  /// A chunked answer; the last chunk is sent only after the model has marked the end.
  Stream,
};

enum class CallSafety {
  /// The call has no effect at the endpoint and may be repeated.
  Safe,
  /// Running the call several times has the same effect as running it once.
  Idempotent,
  /// The call must not run twice.
  AtMostOnce,
};

/// Where the idempotency key of an at-most-once call is found.
enum class KeySource { None, Header, JsonPointer };

/// The priority of requests; class 0 is served first.
using PriorityClass = StrongNumber<struct PriorityTag, std::uint8_t>;

/// The requests that a route matches. Empty fields match everything.
struct RouteMatch {
  std::string Host_;
  std::string Method_;
  std::string PathPrefix_;
};

/// How requests of one kind are served.
struct Route {
  RouteId Id_;
  TeamId Team_;
  RouteMatch Match_;
  /// Exactly one of Model_ and Service_ is set.
  std::optional<ModelId> Model_;
  ModelVersion Version_;
  std::optional<ServiceId> Service_;
  /// The request header that names the customer.
  std::string CustomerHeader_ = "x-customer";
  PriorityClass Priority_{1};
  Delivery Delivery_ = Delivery::Whole;
  CallSafety Safety_ = CallSafety::AtMostOnce;
  KeySource KeySource_ = KeySource::None;
  /// The name of the header or the JSON pointer, depending on KeySource_.
  std::string KeyName_;
  Duration Timeout_ = std::chrono::seconds(30);
  /// The number of retries allowed for each hundred first attempts.
  std::uint32_t RetryPercent_ = 10;
};

/// The limits of one customer over all instances. Zero means no limit.
struct CustomerLimit {
  double RequestsPerSecond_ = 0;
  double TokensPerSecond_ = 0;
  std::uint32_t Concurrent_ = 0;
  /// The share of a fair queue relative to other customers. Positive.
  double Weight_ = 1;
};

/// A model version for which chains are planned.
struct ModelSpec {
  ModelId Model_;
  ModelVersion Version_;
  std::uint32_t LayerCount_ = 0;
  /// Size of the tensor between two stages for one token, in bytes.
  std::uint32_t ActivationBytes_ = 0;
  std::uint32_t MaxTokens_ = 256;
};

/// What operators guarantee about a service's endpoints.
struct ServiceTraits {
  ServiceId Service_;
  /// Endpoints refuse a call with an outdated fencing number.
  bool ChecksFencing_ = false;
  /// Endpoints run calls with the same key only once and answer each of them alike.
  bool Deduplicates_ = false;
  /// How long the outcome of a key is kept after its call has finished.
  Duration DedupWindow_ = std::chrono::hours(24);
};

/// The operator whose token is in the process settings. It may write every path, and no grant in
/// the tree may have its name.
inline const OperatorId BootstrapOperator{"bootstrap"};
/// The number of characters of a token hash.
inline constexpr std::size_t TokenHashLength = 36;

/// An operator who may use the administration API.
struct OperatorGrant {
  OperatorId Operator_;
  /// The hash of the operator's token; the token itself is never stored. See docs/SETTINGS.md.
  std::string TokenHash_;
  /// Writes are allowed at and below this path.
  std::string Prefix_;
};

/// All settings at one log offset. Immutable once shared; then thread-safe.
struct SettingsView {
  /// The last log record that the view includes.
  LogOffset Offset_ = NoOffset;
  std::vector<Route> Routes_;
  std::map<CustomerId, CustomerLimit> Limits_;
  CustomerLimit DefaultLimit_;
  std::vector<ModelSpec> Models_;
  std::map<ServiceId, ServiceTraits> Services_;
  std::vector<OperatorGrant> Operators_;
  /// Endpoints that operators have marked to be drained.
  std::vector<EndpointId> Drained_;

  /// The spec of a model version, or null.
  const ModelSpec *findModel(const ModelId &Model, const ModelVersion &Version) const;
  /// The limits of Customer, or the default limits.
  const CustomerLimit &limitOf(const CustomerId &Customer) const;
  /// The service's traits, or the defaults, which guarantee nothing.
  ServiceTraits traitsOf(const ServiceId &Service) const;
};

using SettingsViewPtr = std::shared_ptr<const SettingsView>;

} // namespace rattancart
