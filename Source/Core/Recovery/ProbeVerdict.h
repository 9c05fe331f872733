#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

/// How unanswered probes and reports of other gateways are judged.
struct DetectionOptions {
  /// Whether a probe's time limit is extended while this gateway's own reception is in doubt, and
  /// the probes of reported and silent engines are spread over the gateways.
  bool Enabled_ = false;
};

/// Another gateway's report that an engine did not answer its probe.
struct SilenceReport {
  EndpointId Engine_;
  /// The gateway that probed the engine.
  std::string Reporter_;
  /// The engine refused or reset the connections.
  bool Refused_ = false;
};

/// What an expired time limit means.
enum class ProbeOutcome {
  /// The engine does not answer.
  Silent,
  /// The probe goes on until a later time limit.
  Extended,
  /// The probe ends without a result: nothing at all has reached this gateway.
  Undecided,
};

struct ProbeDecision {
  ProbeOutcome Outcome_ = ProbeOutcome::Silent;
  /// The next time limit of an extended probe.
  TimePoint Until_{};
  /// Why the probe does not end as silent; for the log.
  std::string_view Reason_;
};

/// What to do about a report.
struct ReportDecision {
  /// The engine is to be probed at once.
  bool ProbeNow_ = false;
  /// The owner of the engine's data centre passes the report on.
  bool Forward_ = false;
  /// Time until the engine is probed; nothing if no probe follows from this report.
  std::optional<Duration> Delay_;
};

/// A probe whose delay is over.
struct DueProbe {
  EndpointId Engine_;
  /// When the last report arrived. Any sign of life of the engine since then makes the probe
  /// unnecessary. Nothing if the engine is known to be silent and is probed again.
  std::optional<TimePoint> ReportedAt_;
};

/// Decides what an unanswered probe of an engine means, and when reported engines are probed.
///
/// An engine counts as silent only if this gateway's own reception works, so that a congested link
/// does not make running engines look lost. Probes that follow from another gateway's report are
/// delayed at random, because an engine accepts connections one after the other and the probes of
/// all gateways at once would make each other time out. Times passed in must not decrease.
/// Not thread-safe.
class ProbeVerdict {
public:
  /// An engine sends its report within a few ms. A stream should continue on another path within
  /// 200 ms of its last event, and processing the prompt again takes a third of that.
  static constexpr Duration FirstLimit = std::chrono::milliseconds(50);
  /// If an engine has not answered by then, the request is repeated over a second connection.
  static constexpr Duration SecondRequestDelay = std::chrono::milliseconds(15);
  /// An extended probe ends this long after it was sent.
  static constexpr Duration MaxLimit = std::chrono::milliseconds(400);

  explicit ProbeVerdict(DetectionOptions Options) : Options_(Options) {}

  void setOptions(DetectionOptions Options) { Options_ = Options; }
  bool enabled() const { return Options_.Enabled_; }
  /// The number of gateways that share the probes; the last known one stays in use.
  void setGateways(std::optional<std::uint32_t> Gateways);

  /// A probe was sent. KnownSilent: the engine is already considered silent, so the probe says
  /// nothing about how many engines have stopped answering. Replaces a delayed probe.
  void onProbeSent(const EndpointId &Engine, bool KnownSilent, TimePoint Now);
  /// The last request of the probe was sent. Returns the probe's time limit.
  /// Precondition: the probe was sent and has not ended.
  TimePoint onLastRequest(const EndpointId &Engine, TimePoint Now);
  /// The probe ended; Answered: by a response, or a refused connection.
  void onProbeEnded(const EndpointId &Engine, bool Answered);
  /// An engine was to be checked, but was heard a moment ago. Counts like an answered probe.
  void onHeardBeforeProbe(const EndpointId &Engine, TimePoint Now);

  /// A probe's answer, a response head or a stream event of the endpoint arrived.
  void onReceived(const EndpointId &Endpoint, TimePoint Now);
  /// Something else arrived from the network: a datagram, a caller's request, a list entry.
  void onOtherReceived(TimePoint Now);

  /// The time limit of a probe has expired.
  /// Precondition: onLastRequest was called for the probe, which has not ended.
  ProbeDecision onTimeLimit(const EndpointId &Engine, TimePoint Now);

  /// Another gateway reported the engine, which this gateway does not consider silent.
  /// RandomFraction is uniform in [0, 1).
  ReportDecision onReport(const SilenceReport &Report, TimePoint Now, double RandomFraction);
  /// Schedules another probe of a silent engine, unless one is scheduled already.
  void scheduleRecheck(const EndpointId &Engine, TimePoint Now, double RandomFraction);
  /// When the next delayed probe is due; nothing if there is none.
  std::optional<TimePoint> nextDueAt() const;
  /// Removes and returns the delayed probes that are due.
  std::vector<DueProbe> takeDue(TimePoint Now);

  /// Whether the owner's finding that an engine is silent is ignored, since this gateway itself
  /// received something of the engine at LastActivityAt.
  bool contradictsOwner(TimePoint LastActivityAt, TimePoint Now) const;

private:
  enum class ProbeState { Open, Answered, Unanswered };
  struct Probe {
    TimePoint SentAt_{};
    TimePoint Limit_{};
    ProbeState State_ = ProbeState::Open;
    bool KnownSilent_ = false;
    /// A late timer has extended the probe.
    bool LateSeen_ = false;
    /// When something concerning another endpoint first arrived since the probe was sent.
    std::optional<TimePoint> OtherEndpointAt_;
    /// When anything first arrived after the first time limit. Earlier arrivals say nothing about
    /// the time for which the probe was extended.
    std::optional<TimePoint> LaterArrivalAt_;
  };
  struct ReportedEngine {
    TimePoint FirstAt_{};
    TimePoint LastAt_{};
    std::vector<std::string> Reporters_;
    bool RefusedSeen_ = false;
    std::optional<TimePoint> DueAt_;
  };

  /// Why this gateway's own reception is in doubt; empty if it works.
  std::string_view receptionDoubt(const Probe &Each, TimePoint Now) const;
  bool mostAreUnanswered(const Probe &Each, TimePoint Now) const;
  /// A delay by which the probes of all gateways are as far apart on average as the engine needs.
  Duration randomDelay(double RandomFraction) const;
  bool isProbed(const EndpointId &Engine) const;
  void dropOld(TimePoint Now);

  DetectionOptions Options_;
  std::optional<std::uint32_t> Gateways_;
  /// Open probes, and those that ended a moment ago.
  std::map<EndpointId, Probe> Probes_;
  std::size_t OpenProbes_ = 0;
  TimePoint LastReceivedAt_{};
  std::map<EndpointId, ReportedEngine> Reports_;
  std::map<EndpointId, TimePoint> Rechecks_;
};

} // namespace rattancart
