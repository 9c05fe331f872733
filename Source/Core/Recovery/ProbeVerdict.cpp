#include "Core/Recovery/ProbeVerdict.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// If a time limit fires later than this, the process itself was delayed, and responses that have
/// arrived may not have been read yet.
constexpr Duration MaxTimerDelay = milliseconds(10);
/// When a link becomes free again, the answers behind the first arrival need this long to be read;
/// 20 ms gave false findings in ProbeLoadTest after a second without reception.
constexpr Duration SettleTime = milliseconds(30);
/// Probes whose sending is no further apart are compared with each other.
constexpr Duration SameTime = milliseconds(100);
/// With fewer probes, a single lost engine could be half of them.
constexpr std::size_t MinProbesToCompare = 4;
/// After this time without any arrival, unanswered probes count as silent nevertheless: a gateway
/// that is cut off serves nobody, and one without other traffic must still find lost engines.
constexpr Duration MaxOwnSilence = milliseconds(1500);
/// An engine needs 1 ms to accept a connection; this leaves half of its time.
constexpr Duration ConnectionInterval = milliseconds(2);
/// Longer delays would find a lost engine later than the streams that use it.
constexpr Duration MaxReportDelay = milliseconds(300);
/// Used until the gateways are counted.
constexpr std::uint32_t DefaultGateways = 76;
/// Reports within this time concern the same silence.
constexpr Duration ReportWindow = milliseconds(500);
/// Reports after the second one neither change the delay nor are passed on.
constexpr std::size_t MaxReporters = 2;
/// Streams may pause this long, so a running engine that is in use is heard at least as often.
constexpr Duration ActivityLifetime = milliseconds(250);

} // namespace

void ProbeVerdict::setGateways(std::optional<std::uint32_t> Gateways) {
  if (Gateways)
    Gateways_ = Gateways;
}

void ProbeVerdict::dropOld(TimePoint Now) {
  std::erase_if(Probes_, [&](const auto &Entry) {
    const Probe &Each = Entry.second;
    return Each.State_ != ProbeState::Open && Now - Each.SentAt_ > MaxLimit + 2 * SameTime;
  });
  std::erase_if(Reports_, [&](const auto &Entry) {
    return !Entry.second.DueAt_ && Now - Entry.second.FirstAt_ > ReportWindow;
  });
}

void ProbeVerdict::onProbeSent(const EndpointId &Engine, bool KnownSilent, TimePoint Now) {
  dropOld(Now);
  if (!isProbed(Engine))
    ++OpenProbes_;
  Probe Sent;
  Sent.SentAt_ = Now;
  Sent.Limit_ = Now + FirstLimit;
  Sent.KnownSilent_ = KnownSilent;
  Probes_[Engine] = Sent;
  Rechecks_.erase(Engine);
  if (const auto Reported = Reports_.find(Engine); Reported != Reports_.end())
    Reported->second.DueAt_.reset();
}

TimePoint ProbeVerdict::onLastRequest(const EndpointId &Engine, TimePoint Now) {
  return Probes_[Engine].Limit_ = Now + FirstLimit - SecondRequestDelay;
}

void ProbeVerdict::onProbeEnded(const EndpointId &Engine, bool Answered) {
  const auto It = Probes_.find(Engine);
  if (It == Probes_.end() || It->second.State_ != ProbeState::Open)
    return;
  It->second.State_ = Answered ? ProbeState::Answered : ProbeState::Unanswered;
  --OpenProbes_;
}

void ProbeVerdict::onHeardBeforeProbe(const EndpointId &Engine, TimePoint Now) {
  if (isProbed(Engine))
    return;
  Probe Heard;
  Heard.SentAt_ = Now;
  Heard.State_ = ProbeState::Answered;
  Probes_[Engine] = Heard;
}

bool ProbeVerdict::isProbed(const EndpointId &Engine) const {
  const auto It = Probes_.find(Engine);
  return It != Probes_.end() && It->second.State_ == ProbeState::Open;
}

void ProbeVerdict::onReceived(const EndpointId &Endpoint, TimePoint Now) {
  onOtherReceived(Now);
  if (OpenProbes_ == 0)
    return;
  for (auto &[Id, Each] : Probes_)
    if (Id != Endpoint && !Each.OtherEndpointAt_)
      Each.OtherEndpointAt_ = Now;
}

void ProbeVerdict::onOtherReceived(TimePoint Now) {
  LastReceivedAt_ = Now;
  if (OpenProbes_ == 0)
    return;
  for (auto &[Id, Each] : Probes_)
    if (!Each.LaterArrivalAt_ && Now - Each.SentAt_ >= FirstLimit)
      Each.LaterArrivalAt_ = Now;
}

ProbeDecision ProbeVerdict::onTimeLimit(const EndpointId &Engine, TimePoint Now) {
  Probe &Expired = Probes_[Engine];
  if (Now - Expired.Limit_ > MaxTimerDelay && !std::exchange(Expired.LateSeen_, true)) {
    Expired.Limit_ = Now + FirstLimit - SecondRequestDelay;
    return {ProbeOutcome::Extended, Expired.Limit_, "late_timer"};
  }
  if (!enabled())
    return {};
  if (const TimePoint End = Expired.SentAt_ + MaxLimit; Now < End) {
    const std::string_view Doubt = receptionDoubt(Expired, Now);
    if (Doubt.empty())
      return {};
    Expired.Limit_ = std::min(Now + FirstLimit, End);
    return {ProbeOutcome::Extended, Expired.Limit_, Doubt};
  }
  // The engine had the time of a usual probe while something arrived.
  const bool Received = Expired.LaterArrivalAt_ && Now - *Expired.LaterArrivalAt_ >= FirstLimit;
  if (!Received && Now - LastReceivedAt_ < MaxOwnSilence)
    return {ProbeOutcome::Undecided, {}, "no_reception"};
  return {};
}

std::string_view ProbeVerdict::receptionDoubt(const Probe &Each, TimePoint Now) const {
  if (!Each.OtherEndpointAt_ || Now - *Each.OtherEndpointAt_ < SettleTime)
    return "no_reception";
  return mostAreUnanswered(Each, Now) ? "most_unanswered" : "";
}

bool ProbeVerdict::mostAreUnanswered(const Probe &Each, TimePoint Now) const {
  std::size_t Probed = 0;
  std::size_t Unanswered = 0;
  for (const auto &[Id, Other] : Probes_) {
    const bool TooYoung =
        Other.State_ == ProbeState::Open && Now - Other.SentAt_ < SecondRequestDelay;
    if (Other.KnownSilent_ || TooYoung || std::chrono::abs(Other.SentAt_ - Each.SentAt_) > SameTime)
      continue;
    ++Probed;
    if (Other.State_ != ProbeState::Answered)
      ++Unanswered;
  }
  return Probed >= MinProbesToCompare && 2 * Unanswered > Probed;
}

Duration ProbeVerdict::randomDelay(double RandomFraction) const {
  const Duration Longest = Gateways_.value_or(DefaultGateways) * ConnectionInterval;
  return std::chrono::duration_cast<Duration>(RandomFraction * Longest);
}

ReportDecision ProbeVerdict::onReport(const SilenceReport &Report, TimePoint Now,
                                      double RandomFraction) {
  if (!enabled())
    return {true, true, Duration{}};
  dropOld(Now);
  ReportedEngine &Each = Reports_[Report.Engine_];
  if (Each.Reporters_.empty() || Now - Each.FirstAt_ > ReportWindow) {
    Each.FirstAt_ = Now;
    Each.Reporters_.clear();
    Each.RefusedSeen_ = false;
  }
  // Refusals cost the engine nothing, and a running engine refuses no connection.
  if (Report.Refused_) {
    Each.DueAt_.reset();
    const bool First = !std::exchange(Each.RefusedSeen_, true);
    return {First, First, First ? std::optional(Duration{}) : std::nullopt};
  }
  auto &Reporters = Each.Reporters_;
  if (Reporters.size() >= MaxReporters ||
      std::find(Reporters.begin(), Reporters.end(), Report.Reporter_) != Reporters.end())
    return {};
  Reporters.push_back(Report.Reporter_);
  Each.LastAt_ = Now;
  if (isProbed(Report.Engine_))
    return {false, true, std::nullopt};
  const Duration Delay = Each.DueAt_ ? std::max<Duration>((*Each.DueAt_ - Now) / 2, Duration{})
                                     : randomDelay(RandomFraction);
  // Among more gateways than can probe the engine within the longest delay, the others rely on
  // their own streams and on the owner.
  if (Delay > MaxReportDelay)
    return {false, true, std::nullopt};
  Each.DueAt_ = Now + Delay;
  return {false, true, Delay};
}

void ProbeVerdict::scheduleRecheck(const EndpointId &Engine, TimePoint Now, double RandomFraction) {
  const Duration Delay =
      enabled() ? std::min(randomDelay(RandomFraction), MaxReportDelay) : Duration{};
  Rechecks_.try_emplace(Engine, Now + Delay);
}

std::optional<TimePoint> ProbeVerdict::nextDueAt() const {
  std::optional<TimePoint> Next;
  const auto Take = [&](TimePoint At) { Next = Next ? std::min(*Next, At) : At; };
  for (const auto &[Id, Each] : Reports_)
    if (Each.DueAt_)
      Take(*Each.DueAt_);
  for (const auto &[Id, At] : Rechecks_)
    Take(At);
  return Next;
}

std::vector<DueProbe> ProbeVerdict::takeDue(TimePoint Now) {
  std::vector<DueProbe> Due;
  for (auto &[Id, Each] : Reports_)
    if (Each.DueAt_ && *Each.DueAt_ <= Now) {
      Due.push_back({Id, Each.LastAt_});
      Each.DueAt_.reset();
    }
  for (auto It = Rechecks_.begin(); It != Rechecks_.end();) {
    if (It->second > Now) {
      ++It;
      continue;
    }
    Due.push_back({It->first, std::nullopt});
    It = Rechecks_.erase(It);
  }
  return Due;
}

bool ProbeVerdict::contradictsOwner(TimePoint LastActivityAt, TimePoint Now) const {
  return enabled() && LastActivityAt != TimePoint{} && Now - LastActivityAt < ActivityLifetime;
}

} // namespace rattancart
