#pragma once

#include "Core/Common/Logger.h"
#include "Core/Recovery/EndpointReachability.h"
#include "Core/Serving/EndpointRoster.h"
#include "Gateway/EndpointProtocol.h"
#include "Net/HttpSender.h"
#include "Process/MetricSet.h"

#include <functional>
#include <random>

namespace rattancart {

/// Follows the connects of this process to endpoints and, while its links are in doubt, connects to
/// further endpoints, so that EndpointReachability can tell whether it is isolated. Not
/// thread-safe.
class ReachabilityMonitor {
public:
  /// All references must outlive the monitor.
  struct Dependencies {
    const Clock &Time_;
    Logger &Log_;
    MetricSet &Metrics_;
    HttpSender &Client_;
    const EndpointProtocol &Protocol_;
    const EndpointRoster &Roster_;
    std::mt19937 &Random_;
  };

  explicit ReachabilityMonitor(Dependencies Use) : Use_(Use) {}

  /// A connect to an address has ended after this time.
  void onConnect(const NetAddress &Address, bool Accepted, Duration Took);
  /// Connects to endpoints of services that are out of reach or in doubt, and reports changes.
  /// Call it every 100 ms.
  void tick();
  /// Sets the handler for a service that became isolated or is reached again.
  void onChange(std::function<void(const ReachabilityChange &)> Handler) {
    ChangeHandler_ = std::move(Handler);
  }
  bool isIsolated(const ServiceId &Service) const { return Reach_.isIsolated(Service); }
  /// Whether a failed contact with an endpoint of the service says nothing about the endpoint.
  bool inDoubt(const ServiceId &Service) const {
    return Reach_.state(Service, Use_.Time_.now()) != Reachability::Connected;
  }
  bool isIsolatedFromAny() const;

private:
  void countEndpoints();
  /// Connects to up to Count endpoints of the service, first to those that have not failed.
  void connectToSome(const ServiceId &Service, std::size_t Count);
  void reportChanges();

  Dependencies Use_;
  EndpointReachability Reach_;
  std::function<void(const ReachabilityChange &)> ChangeHandler_;
  TimePoint CountedAt_{};
  TimePoint ProbedAt_{};
};

} // namespace rattancart
