#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rattancart {

struct RequestRate {
  double PerSecond_ = 0;
  auto operator<=>(const RequestRate &) const = default; // NOLINT
};

/// What an endpoint's answer says about the requests that it takes from all gateways together.
struct AnnouncedLimit {
  enum class Kind : std::uint8_t {
    /// The answer names no limit, so there is none any more.
    None,
    Limited,
    /// The answer names a limit that can't be read. What is known stays.
    Malformed,
  };
  Kind Kind_ = Kind::None;
  RequestRate Rate_;
};

/// What is known of an endpoint's limit.
struct EndpointLimit {
  EndpointId Endpoint_;
  /// The endpoint's run that named the limit; a new run begins without one.
  Incarnation Run_{0};
  /// Nothing if an answer showed that the limit has ended.
  std::optional<RequestRate> Rate_;
  /// When an answer last showed that.
  TimePoint KnownAt_{};
};

/// One gateway's requests for an endpoint with a limit, as it reports them to the owner of the
/// endpoint's data centre.
struct LimitDemand {
  EndpointLimit Limit_;
  RequestRate Wanted_;
  /// Requests that were admitted in the last EndpointLimiter::SentWindow.
  std::uint32_t Sent_ = 0;
};

/// The requests of all gateways for an endpoint with a limit, as the owner sums them up.
struct LimitState {
  EndpointLimit Limit_;
  RequestRate Wanted_;
  std::uint32_t Sent_ = 0;
  /// The number of gateways whose requests these are.
  std::uint32_t Gateways_ = 0;
};

/// Keeps the requests of all gateways to an endpoint within the limit that the endpoint names.
///
/// Each gateway reports to the owner of the endpoint's data centre how many requests it would send
/// there, and the owner tells all gateways the sum. A gateway then sends the part of its requests
/// that the limit is of the sum, so that no gateway needs a quota and the limit is used wherever
/// the requests are. The part is spread evenly over the requests instead of drawn at random. While
/// the sum is not known, or its sender is silent, a gateway assumes that all gateways together want
/// more. If more requests than usual come together, no further ones are sent until the owner tells
/// that fewer were sent lately.
///
/// Not thread-safe.
class EndpointLimiter {
public:
  /// The time over which sent requests are counted.
  static constexpr Duration SentWindow = std::chrono::seconds(4);

  /// Random spreads the first sends of many gateways. Precondition: it outlives the object.
  explicit EndpointLimiter(std::mt19937 &Random) : Random_(Random) {}

  /// Sets the number of gateways that may run at the same time; nothing if it is not known.
  void setGateways(std::optional<std::uint32_t> Gateways) { Gateways_ = Gateways; }
  /// Sets the handler for a limit that this gateway learns of, or learns that it has ended. Others
  /// need to know soon.
  void onChange(std::function<void(const EndpointLimit &)> Handler) {
    ChangeHandler_ = std::move(Handler);
  }

  /// An answer of the endpoint arrived.
  void onAnswer(const EndpointId &Endpoint, Incarnation Run, const AnnouncedLimit &Announced,
                TimePoint Now);
  /// Whether a request may be sent to the endpoint now. Counts the request as wanted there, so call
  /// it once for each endpoint that the request would be sent to. A request with a lower priority
  /// value is preferred.
  bool tryAdmit(const EndpointId &Endpoint, Incarnation Run, std::uint32_t Priority, TimePoint Now);
  /// Whether the endpoint limits its requests.
  bool isLimited(const EndpointId &Endpoint, Incarnation Run) const;
  /// Forgets an endpoint that has left.
  void remove(const EndpointId &Endpoint) { Endpoints_.erase(Endpoint); }

  /// This gateway's demand for the endpoints whose limit it knows and for which Selected is true,
  /// to be reported now.
  std::vector<LimitDemand> takeDemands(const std::function<bool(const EndpointId &)> &Selected,
                                       TimePoint Now);
  /// Takes the demand of a gateway; the owner calls it, for its own demand too. The demand counts
  /// for some seconds if no other follows.
  void onDemand(const std::string &Gateway, const LimitDemand &Demand, TimePoint Now);
  /// What the owner sends to the gateways. The sums are zero until each gateway had time to report.
  std::vector<LimitState> states(TimePoint Now) const;
  /// Takes a sum from the owner.
  void onState(const LimitState &State, TimePoint Now);

private:
  static constexpr Duration SlotTime = std::chrono::milliseconds(250);
  static constexpr std::size_t Slots = SentWindow / SlotTime;
  struct Slot {
    std::int64_t Index_ = -1;
    std::uint32_t Wanted_ = 0;
    std::uint32_t Sent_ = 0;
  };
  struct GatewayDemand {
    RequestRate Wanted_;
    std::uint32_t Sent_ = 0;
    TimePoint Until_{};
  };
  struct Record {
    EndpointLimit Limit_;
    /// Requests of this process that would have been sent to the endpoint, and those that were.
    std::array<Slot, Slots> Requests_{};
    /// What this gateway last reported.
    RequestRate Reported_;
    /// A request is admitted when this reaches the level of its priority. Each request adds the
    /// admitted part, and each admission takes one. Not set before the first request.
    std::optional<double> Level_;
    LimitState Sum_;
    /// When Sum_ arrived; the epoch if there was none.
    TimePoint SumAt_{};
    /// At the owner: the demand of each gateway, and when the first of them was reported.
    std::map<std::string, GatewayDemand> Demands_;
    TimePoint FirstDemandAt_{};
  };

  /// Whether other gateways need to know of the limit, or that it has ended.
  static bool isToldToOthers(const Record &Known, TimePoint Now);
  /// Takes over what is newer. Returns whether the limit has changed.
  bool update(Record &Known, const EndpointLimit &Limit);
  static void countRequest(Record &Known, bool Sent, TimePoint Now);
  static std::uint32_t sentLately(const Record &Known, TimePoint Now);
  /// The rate of the requests of the last Count slots, the current one included.
  static RequestRate wantedRate(const Record &Known, TimePoint Now, std::size_t Count);
  /// Whether a request to an endpoint with a limit is admitted.
  bool tryTake(Record &Known, std::uint32_t Priority, TimePoint Now);
  /// The part of the requests that is admitted.
  double admittedPart(const Record &Known, TimePoint Now) const;

  std::mt19937 &Random_;
  std::optional<std::uint32_t> Gateways_;
  std::map<EndpointId, Record> Endpoints_;
  std::function<void(const EndpointLimit &)> ChangeHandler_;
};

} // namespace rattancart
