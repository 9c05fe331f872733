#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace rattancart {

struct ReachabilityOptions {
  /// Endpoints of a service that must have refused or not answered a connect, with no connect
  /// accepted in between, before the links of this process are in doubt, and before it counts as
  /// isolated. All endpoints of a smaller service.
  std::size_t DoubtfulFailures_ = 3;
  std::size_t IsolatedFailures_ = 6;
  /// The failures must be spread over this time: engines that end together refuse connects as well.
  Duration MinFailureTime_ = std::chrono::milliseconds(150);
  /// A failure that is older than this doesn't count.
  Duration FailureLifetime_ = std::chrono::seconds(3);
  /// Endpoints that must accept a connect before an isolated process counts as connected again.
  std::size_t AcceptedConnects_ = 2;
};

enum class Reachability : std::uint8_t {
  Connected,
  /// Some connects failed and none was accepted since; more of them will show why.
  Doubtful,
  /// This process reaches no endpoint of the service.
  Isolated,
};

struct ReachabilityChange {
  ServiceId Service_;
  bool Isolated_ = false;
  /// Endpoints that failed, or for how long the process was isolated.
  std::size_t Failures_ = 0;
  Duration Lasted_{};
};

/// Tells from the connects of this process whether it has lost its links to all endpoints of a
/// service.
///
/// Load pattern: a network fault separates some gateways from all endpoints of a service, while
/// callers, the store and other gateways reach them. Connects time out or are refused, and
/// connections that exist may go on. So connects alone count, and one that is accepted shows that
/// the links work, whatever else has failed. That an endpoint fails says nothing about the others.
/// Not thread-safe.
class EndpointReachability {
public:
  explicit EndpointReachability(ReachabilityOptions Options = {}) : Options_(Options) {}

  /// The number of endpoints of a service that are listed and not leaving.
  void setEndpointCount(const ServiceId &Service, std::size_t Count) {
    Services_[Service].Endpoints_ = Count;
  }
  /// An endpoint accepted a connect. Precondition: Now never decreases.
  void onAccepted(const ServiceId &Service, const EndpointId &Endpoint, TimePoint Now);
  /// A connect that began at StartedAt was refused, or not accepted in time.
  void onFailed(const ServiceId &Service, const EndpointId &Endpoint, TimePoint StartedAt,
                TimePoint Now);

  Reachability state(const ServiceId &Service, TimePoint Now) const;
  bool isIsolated(const ServiceId &Service) const;
  /// Whether a connect to the endpoint has failed since the last one to the service was accepted.
  bool hasFailed(const ServiceId &Service, const EndpointId &Endpoint) const;
  /// The services that are or may be out of reach.
  std::vector<ServiceId> affectedServices(TimePoint Now) const;
  /// Removes and returns the changes since the last call.
  std::vector<ReachabilityChange> takeChanges();

private:
  struct State {
    std::size_t Endpoints_ = 0;
    /// When the last connect to each endpoint failed, since one was last accepted.
    std::map<EndpointId, TimePoint> Failed_;
    TimePoint AcceptedAt_{};
    std::optional<TimePoint> IsolatedSince_;
    /// Endpoints that accepted a connect while the process is isolated.
    std::set<EndpointId> Accepted_;
  };

  std::size_t limit(const State &Each, std::size_t Failures) const;

  ReachabilityOptions Options_;
  std::map<ServiceId, State> Services_;
  std::vector<ReachabilityChange> Changes_;
};

} // namespace rattancart
