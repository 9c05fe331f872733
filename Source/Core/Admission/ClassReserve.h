#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/DecayingRate.h"
#include "Core/Common/Ids.h"

#include <cstdint>
#include <map>
#include <optional>

namespace rattancart {

struct ClassReserveOptions {
  /// The time until a gateway learns what engines have taken: interval and lag of their reports.
  Duration ReportTime_ = std::chrono::milliseconds(400);
  /// The largest part of an engine's memory that is kept, so that less urgent classes are served
  /// whatever the demand of the others.
  double MaxShare_ = 1.0 / 6;
  /// The waiting time that raises a request by one priority class, so that none starves.
  Duration AgeingStep_ = std::chrono::milliseconds(200);
};

/// Decides which part of the engines' memory requests leave free for more urgent classes.
///
/// Without a reserve, the class with the most requests gets the memory that becomes free, however
/// urgent the others are. The part kept is what the more urgent classes are expected to need in the
/// data centre until the next reports arrive, assuming that all gateways there receive the same
/// demand as this one. Nothing is kept while they have no demand, or for a service whose arrivals
/// are not recorded here. Not thread-safe.
class ClassReserve {
public:
  explicit ClassReserve(ClassReserveOptions Options = {}) : Options_(Options) {}

  /// Sets the number of gateways of this data centre; nothing if it is not known, and then only the
  /// demand of this one counts. Precondition: not 0.
  void setGateways(std::optional<std::uint32_t> Gateways) { Gateways_ = Gateways; }
  /// Sets the number of tokens that the service's engines in this data centre have memory for. At 0
  /// nothing is kept.
  void setCapacity(const ServiceId &Service, double Tokens);
  /// A new request arrived that is expected to need memory for that many tokens. 0 is the most
  /// urgent priority.
  void onArrival(const ServiceId &Service, std::uint32_t Priority, double Tokens, TimePoint Now);

  /// The part of each engine's memory, from 0 to MaxShare_, that a request which has waited for
  /// Waited must leave free.
  double keptShare(const ServiceId &Service, std::uint32_t Priority, Duration Waited,
                   TimePoint Now) const;

private:
  /// Tokens a second that this gateway was asked for.
  struct ClassDemand {
    DecayingRate Usual_{std::chrono::seconds(4)};
    DecayingRate Recent_{std::chrono::seconds(1)};
  };
  struct ServiceDemand {
    double Capacity_ = 0;
    std::map<std::uint32_t, ClassDemand> Classes_;
  };

  ClassReserveOptions Options_;
  std::optional<std::uint32_t> Gateways_;
  std::map<ServiceId, ServiceDemand> Services_;
};

} // namespace rattancart
