#pragma once

#include "Core/Serving/ServingConfig.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace rattancart {

/// A configuration with look-up by request. Immutable, thus thread-safe.
class ServingIndex {
public:
  explicit ServingIndex(ServingConfig Config);

  const ServingConfig &config() const { return Config_; }
  /// The route of Host whose path prefix is the longest that begins Path, or null. A port in Host
  /// does not count, nor does its case.
  const ServingRoute *match(std::string_view Host, std::string_view Path) const;
  /// The holder of a key, or null.
  const ServingCustomer *customer(const std::string &Key) const;
  const ServingService *service(const ServiceId &Id) const;
  /// The service that takes a request, by the route's weights. Draw lies in [0, 1).
  const ServingService *chooseService(const ServingRoute &Route, double Draw) const;

private:
  ServingConfig Config_;
  /// By host and prefix, with the host in lower case.
  std::unordered_map<std::string, const ServingRoute *> Routes_;
  std::unordered_map<std::string, const ServingCustomer *> Keys_;
  std::unordered_map<ServiceId, const ServingService *> Services_;
};

using ServingIndexPtr = std::shared_ptr<const ServingIndex>;

/// Keeps the newest configuration. Sources lag, and one may be older than what is known.
/// Not thread-safe.
class ConfigHolder {
public:
  /// Takes a configuration of a higher revision; false if it is not newer.
  bool replaceIfNewer(ServingConfig Config, TimePoint Now);
  /// The newest configuration, or null before the first.
  const ServingIndexPtr &current() const { return Current_; }
  TimePoint changedAt() const { return ChangedAt_; }

private:
  ServingIndexPtr Current_;
  TimePoint ChangedAt_{};
};

} // namespace rattancart
