#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace rattancart {

struct SlowStartOptions {
  /// If false, endpoints are never limited and nothing is tracked.
  bool Enabled_ = false;
  /// The part of an endpoint's capacity that all gateways together use at first.
  double InitialShare_ = 0.125;
};

/// What an endpoint reported about its load.
struct EndpointLoad {
  TimePoint At_{};
  /// The part of the endpoint's capacity that is in use, by all gateways.
  double Use_ = 0;
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  /// Over 1 if the endpoint is slower than is usual for its kind.
  double Slowdown_ = 1;
};

/// What is known of an endpoint when it is observed.
struct EndpointCondition {
  EndpointId Id_;
  ServiceId Service_;
  Incarnation Run_{0};
  /// How long this run has lasted; nothing if it is not known.
  std::optional<Duration> RunningFor_;
  /// Whether the endpoint is of a kind that reports its load.
  bool Reports_ = false;
  /// The newest report of this run, if there is one.
  std::optional<EndpointLoad> Load_;
  /// The endpoint does not answer, and gets no work.
  bool Silent_ = false;
  /// The endpoint gets no work since it refused requests for which it had capacity.
  bool Declines_ = false;
};

/// The outcome of a request that was sent to an endpoint.
enum class EndpointAnswer : std::uint8_t {
  /// Complete, or with its first event, within the objective.
  Good,
  /// The same, but after the objective. Not counted for an endpoint that reports its load.
  Late,
  /// Refused without having run.
  Rejected,
  Failed,
};

/// A slow start began or ended.
struct SlowStartChange {
  EndpointId Id_;
  Incarnation Run_{0};
  bool Began_ = false;
  /// Why it began, or how it ended.
  std::string_view Cause_;
  /// The window as a part of the endpoint's capacity.
  double Window_ = 0;
  /// For the end: how long it lasted, and what this gateway sent and saw in that time.
  Duration Took_{};
  std::uint32_t Sent_ = 0;
  std::uint32_t Rejections_ = 0;
  /// How often a request was kept from the endpoint.
  std::uint32_t Withheld_ = 0;
};

/// Limits the requests to an endpoint that has started or recovered, until its answers show that it
/// can take its full load.
///
/// All gateways together hold a window, a part of the endpoint's capacity. It doubles with each
/// round of good answers, and with each round of reports that show half of it in use and no
/// requests waiting; it is halved when requests are rejected, fail or are late. Without either, it
/// grows slowly with time, because other gateways may use the endpoint where this one does not.
///
/// Gateways don't communicate about it. Each earns a part of the window's free requests as credit;
/// a credit below one is the probability with which a request may be sent. The sum over all
/// gateways is then right on average, however many ask at the same moment. Not thread-safe.
class EndpointSlowStart {
public:
  explicit EndpointSlowStart(SlowStartOptions Options) : Options_(Options) {}

  /// Disabling it forgets all endpoints.
  void setOptions(SlowStartOptions Options);
  bool enabled() const { return Options_.Enabled_; }
  /// Sets the number of gateways that share an endpoint; the last known one stays in use when it is
  /// no longer known. Precondition: not 0.
  void setGateways(std::optional<std::uint32_t> Gateways);

  /// Takes what is known of an endpoint. A slow start begins with a new run or a recovery; for an
  /// endpoint that reports its load, not before its first work. An endpoint that has been running
  /// for longer when it is first observed counts as warm: another gateway warmed it up.
  void observe(const EndpointCondition &Condition, TimePoint Now);
  /// The endpoint is gone.
  void remove(const EndpointId &Id, TimePoint Now);

  /// Whether any endpoint may be limited now.
  bool anyWarming() const { return Warming_ > 0; }
  /// Whether a request for which the endpoint has been chosen may be sent to it now, as far as its
  /// slow start is concerned; if not, the request counts as kept from it and must use another
  /// endpoint. Asking about endpoints that would not be chosen wastes credit. Capacity is the
  /// number of requests of this size that the endpoint can run at once, OwnRequests those of this
  /// gateway that run there. Draw is a random number in [0, 1), the same for all endpoints that one
  /// request may use. Precondition: Capacity is positive.
  bool mayTake(const EndpointId &Id, double Capacity, std::uint32_t OwnRequests, double Draw,
               TimePoint Now);
  /// How strongly to prefer other endpoints if a request must use one that mayTake has denied: a
  /// factor of its cost, 1 for an endpoint that is warm.
  double costFactor(const EndpointId &Id) const;
  /// A request is sent to the endpoint.
  void onSent(const EndpointId &Id, TimePoint Now);
  /// A request that was sent at SentAt has ended, or has got its first event.
  void onAnswer(const EndpointId &Id, EndpointAnswer Answer, TimePoint SentAt, TimePoint Now);

  /// The window as a part of the endpoint's capacity; 1 if it is warm or not known.
  double window(const EndpointId &Id, TimePoint Now);
  /// The number of endpoints whose slow start has begun.
  std::size_t warmingCount() const;
  /// Calls Visit with each such endpoint and its window.
  void visitWarming(const std::function<void(const EndpointId &, double)> &Visit) const;
  /// Returns the slow starts that began or ended since the last call.
  std::vector<SlowStartChange> takeChanges();

private:
  enum class Phase : std::uint8_t {
    Warm,
    /// Started, and without any work so far.
    Fresh,
    Warming,
  };
  struct State {
    ServiceId Service_;
    Incarnation Run_{0};
    Phase Phase_ = Phase::Warm;
    double Window_ = 1;
    /// Until when growth by time has been applied.
    TimePoint GrownAt_{};
    /// Answers to requests sent before then, and reports from before, don't change the window: they
    /// don't show the effect of its last change.
    TimePoint RoundAt_{};
    std::uint32_t GoodInRound_ = 0;
    TimePoint BeganAt_{};
    std::optional<EndpointLoad> Load_;
    /// The use that remained from before the slow start and doesn't count against the window.
    double EarlierUse_ = 0;
    /// Raised while requests are kept from the endpoint although the window is not used.
    double Boost_ = 1;
    bool WithheldInRound_ = false;
    /// Requests that this gateway may send; nothing until it is first asked.
    std::optional<double> Credit_;
    TimePoint CreditAt_{};
    double Capacity_ = 1;
    /// Failed and late answers since the last good one.
    std::uint32_t BadSeries_ = 0;
    TimePoint LastBadAt_{};
    /// Slow starts in close succession; growth is slower after each.
    std::uint32_t Relapses_ = 0;
    TimePoint EndedAt_{};
    std::optional<TimePoint> SilentSince_;
    bool Declines_ = false;
    /// Since when its reports show a slow spell.
    std::optional<TimePoint> SlowSince_;
    std::uint32_t Sent_ = 0;
    std::uint32_t Rejections_ = 0;
    std::uint32_t Withheld_ = 0;
  };

  State *findLimited(const EndpointId &Id);
  void setPhase(State &Each, Phase Next);
  void startRun(const EndpointCondition &Condition, State &Each, bool Known, TimePoint Now);
  void begin(const EndpointId &Id, State &Each, double Window, std::string_view Cause,
             TimePoint Now);
  /// The endpoint gets no work, or got none until now: its slow start begins as soon as that ends.
  void suspend(const EndpointId &Id, State &Each, bool Declined, TimePoint Now);
  void end(const EndpointId &Id, State &Each, std::string_view Cause, TimePoint Now);
  void endIfWarm(const EndpointId &Id, State &Each, TimePoint Now);
  void takeLoad(const EndpointId &Id, State &Each, const EndpointLoad &Load, TimePoint Now);
  void adjustToLoad(State &Each, TimePoint Now);
  void growByTime(State &Each, TimePoint Now) const;
  void halve(State &Each, TimePoint Now) const;
  void earnCredit(State &Each, TimePoint Now) const;
  /// The part of the window that is not in use, as far as reports show.
  static double freeWindow(const State &Each);
  static double usedWindow(const State &Each);

  SlowStartOptions Options_;
  std::optional<std::uint32_t> Gateways_;
  std::map<EndpointId, State> States_;
  /// Running means of the time until an answer, in seconds.
  std::map<ServiceId, double> AnswerSeconds_;
  /// The number of states that are not warm.
  std::size_t Warming_ = 0;
  std::vector<SlowStartChange> Changes_;
};

} // namespace rattancart
