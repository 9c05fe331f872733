#pragma once

#include "Core/Serving/ServingConfig.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace rattancart {

/// The part of a host by which routes are found: without the port, in lower case. Thread-safe.
std::string hostName(std::string_view Host);

/// A configuration, indexed for the lookups that a request needs. Immutable, thus thread-safe.
class ServingIndex {
public:
  explicit ServingIndex(ServingConfig Config);

  const ServingConfig &config() const { return Config_; }
  /// The route of Host with the longest path prefix of Path, or null. The case of Host and a port
  /// in it are ignored.
  const ServingRoute *match(std::string_view Host, std::string_view Path) const;
  /// The customer that a key belongs to, or null. No customer has the empty key.
  const ServingCustomer *customer(const std::string &Key) const;
  /// Whether requests of the route need the key of a customer.
  bool requiresKey(const ServingRoute &Route) const;
  /// The service with that id, or null.
  const ServingService *service(const ServiceId &Id) const;
  /// Whether streaming routes of the service have different priorities, so that its requests are
  /// ordered by class.
  bool ordersByClass(const ServiceId &Id) const { return Classes_.contains(Id); }
  /// The number of classes of the service's streaming requests; 0 if they are not ordered by class.
  std::uint32_t classCount(const ServiceId &Id) const;
  /// How urgent a request is among those of its service; 0 is the most urgent. This is the
  /// customer's priority if it has one, otherwise the route's. Where streaming requests are ordered
  /// by class, it is the class: the customer's priority goes first, and the route's decides among
  /// customers of the same priority. Null stands for a request without a customer.
  ///
  /// Precondition: the route and the customer are those of this index.
  std::uint32_t priority(const ServingRoute &Route, const ServiceId &Service,
                         const ServingCustomer *Customer) const;
  /// Chooses the service of a request by the route's weights. Draw is a random number in [0, 1).
  /// Null if no service has a weight, or the configuration lacks the chosen one.
  const ServingService *chooseService(const ServingRoute &Route, double Draw) const;

private:
  /// The priority of the customer, or of the route if the customer has none, and of the route.
  using ClassKey = std::pair<std::uint32_t, std::uint32_t>;

  /// The classes that requests of the service may have, most urgent first; empty if its streaming
  /// routes all have the same priority.
  std::vector<ClassKey> streamClasses(const ServiceId &Service) const;

  ServingConfig Config_;
  /// The key is the host in lower case followed by the path prefix.
  std::unordered_map<std::string, const ServingRoute *> Routes_;
  std::unordered_map<std::string, const ServingCustomer *> Keys_;
  std::unordered_map<ServiceId, const ServingService *> Services_;
  /// The classes of the services whose streaming routes have different priorities.
  std::unordered_map<ServiceId, std::vector<ClassKey>> Classes_;
};

using ServingIndexPtr = std::shared_ptr<const ServingIndex>;

/// Keeps the newest configuration. Sources lag, so one may deliver an older configuration than the
/// known one. Not thread-safe.
class ConfigHolder {
public:
  /// Takes a configuration with a higher revision than the current one; otherwise returns false.
  bool replaceIfNewer(ServingConfig Config, TimePoint Now);
  /// The newest configuration, or null before the first.
  const ServingIndexPtr &current() const { return Current_; }
  /// When the current configuration was taken.
  TimePoint changedAt() const { return ChangedAt_; }

private:
  ServingIndexPtr Current_;
  TimePoint ChangedAt_{};
};

} // namespace rattancart
