#include "Core/Recovery/EndpointSlowStart.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A run that is first observed later than this has been warmed up by other gateways. An engine
/// needs several seconds from its start until it has layers and gets work.
constexpr Duration MaxFreshAge = seconds(10);
/// A shorter silence is a late answer to one poll; the endpoint kept its load.
constexpr Duration MinSilence = milliseconds(1000);
/// Reports arrive every 200 ms and 200 ms late, so the effect of a change of the window shows in a
/// report after this time.
constexpr Duration ReportRound = milliseconds(400);
/// Until reports show them, requests are sent at a rate that fills the free window in this time.
constexpr double FillSeconds = 0.5;
/// Credit is kept for this long. More would let all gateways send at once after a quiet time; less
/// would leave the endpoint idle where each gateway has few requests, as they have for endpoints
/// that report nothing.
constexpr double CreditSeconds = 1;
constexpr double UnreportedCreditSeconds = 2.5;
/// The window doubles in this time if nothing else changes it.
constexpr double DoublingSeconds = 3;
/// The smallest window, as a part of the initial one: a few requests must go on to show that the
/// endpoint works again.
constexpr double FloorPart = 0.25;
/// Time until an answer, in seconds, while none has been seen.
constexpr double DefaultAnswerSeconds = 0.2;
constexpr double MinAnswerSeconds = 0.001;
/// Weight of the newest answer in the mean time until an answer.
constexpr double AnswerWeight = 0.2;
/// That many failed or late answers in a row start a slow start; single ones have other causes.
constexpr std::uint32_t MaxBadSeries = 3;
/// Bad answers that are further apart are unrelated.
constexpr Duration BadSeriesTime = seconds(5);
/// A slow start that follows the last one within this time is a relapse.
constexpr Duration RelapseTime = seconds(10);
constexpr std::uint32_t MaxRelapses = 3;
/// An endpoint with this slowdown or more does not get a larger window by reports or time.
constexpr double MaxSlowdown = 1.5;
/// Reports of this slowdown over a round start a slow start, which lasts as long as they do: once
/// the endpoint is fast again, all gateways would return at once.
constexpr double SlowSpellSlowdown = 2;
/// An endpoint with more waiting requests than this part of the running ones is too full.
constexpr double MaxWaitingPart = 0.25;
/// Requests of one data centre's gateways seldom reach the endpoints of another one, so that only
/// some of the gateways use their part of the window.
constexpr double MaxBoost = 8;
constexpr double DeniedCostFactor = 2;

double toSeconds(Duration Time) { return std::chrono::duration<double>(Time).count(); }

bool isWell(const EndpointLoad &Load) {
  return Load.Slowdown_ < MaxSlowdown && Load.Waiting_ <= MaxWaitingPart * Load.Running_;
}

} // namespace

void EndpointSlowStart::setOptions(SlowStartOptions Options) {
  Options_ = Options;
  if (Options_.Enabled_)
    return;
  States_.clear();
  AnswerSeconds_.clear();
  Changes_.clear();
  Warming_ = 0;
}

void EndpointSlowStart::setGateways(std::optional<std::uint32_t> Gateways) {
  if (Gateways)
    Gateways_ = Gateways;
}

void EndpointSlowStart::setPhase(State &Each, Phase Next) {
  if (Each.Phase_ != Phase::Warm)
    --Warming_;
  if (Next != Phase::Warm)
    ++Warming_;
  Each.Phase_ = Next;
}

EndpointSlowStart::State *EndpointSlowStart::findLimited(const EndpointId &Id) {
  if (Warming_ == 0)
    return nullptr;
  const auto Found = States_.find(Id);
  return Found == States_.end() || Found->second.Phase_ == Phase::Warm ? nullptr : &Found->second;
}

void EndpointSlowStart::begin(const EndpointId &Id, State &Each, double Window,
                              std::string_view Cause, TimePoint Now) {
  const bool Relapse = Each.EndedAt_ != TimePoint{} && Now - Each.EndedAt_ < RelapseTime;
  Each.Relapses_ = Relapse ? std::min(Each.Relapses_ + 1, MaxRelapses) : 0;
  setPhase(Each, Phase::Warming);
  Each.Window_ = Window;
  Each.GrownAt_ = Each.RoundAt_ = Each.BeganAt_ = Now;
  Each.GoodInRound_ = Each.BadSeries_ = 0;
  Each.Boost_ = 1;
  Each.WithheldInRound_ = false;
  Each.Credit_.reset();
  Each.Sent_ = Each.Rejections_ = Each.Withheld_ = 0;
  Changes_.push_back({Id, Each.Run_, true, Cause, Window, {}, 0, 0, 0});
}

void EndpointSlowStart::end(const EndpointId &Id, State &Each, std::string_view Cause,
                            TimePoint Now) {
  if (Each.Phase_ == Phase::Warming)
    Changes_.push_back({Id, Each.Run_, false, Cause, Each.Window_, Now - Each.BeganAt_, Each.Sent_,
                        Each.Rejections_, Each.Withheld_});
  setPhase(Each, Phase::Warm);
  Each.EndedAt_ = Now;
  Each.BadSeries_ = 0;
}

void EndpointSlowStart::endIfWarm(const EndpointId &Id, State &Each, TimePoint Now) {
  if (Each.Phase_ == Phase::Warming && Each.Window_ >= 1)
    end(Id, Each, "warm", Now);
}

void EndpointSlowStart::startRun(const EndpointCondition &Condition, State &Each, bool Known,
                                 TimePoint Now) {
  if (Known)
    end(Condition.Id_, Each, "restarted", Now);
  Each = {};
  Each.Run_ = Condition.Run_;
  Each.Service_ = Condition.Service_;
  if (!Known && (!Condition.RunningFor_ || *Condition.RunningFor_ >= MaxFreshAge))
    return;
  Each.Window_ = Options_.InitialShare_;
  setPhase(Each, Phase::Fresh);
  if (!Condition.Reports_)
    begin(Condition.Id_, Each, Options_.InitialShare_, "started", Now);
}

void EndpointSlowStart::observe(const EndpointCondition &Condition, TimePoint Now) {
  if (!Options_.Enabled_)
    return;
  const auto [Found, Added] = States_.try_emplace(Condition.Id_);
  State &Each = Found->second;
  if (Added || Condition.Run_ > Each.Run_)
    startRun(Condition, Each, !Added, Now);
  if (Condition.Load_ && (!Each.Load_ || Condition.Load_->At_ > Each.Load_->At_))
    takeLoad(Condition.Id_, Each, *Condition.Load_, Now);
  if (Each.Phase_ == Phase::Warming && !Condition.Silent_ && !Condition.Declines_) {
    growByTime(Each, Now);
    endIfWarm(Condition.Id_, Each, Now);
  }
  if (Condition.Silent_ && !Each.SilentSince_)
    Each.SilentSince_ = Now;
  const bool Silence = Each.SilentSince_ && Now - *Each.SilentSince_ >= MinSilence;
  if (!Condition.Silent_)
    Each.SilentSince_.reset();
  const bool Declined = std::exchange(Each.Declines_, Condition.Declines_) || Each.Declines_;
  if (Each.Phase_ != Phase::Fresh && (Silence || Declined))
    suspend(Condition.Id_, Each, Declined, Now);
}

void EndpointSlowStart::suspend(const EndpointId &Id, State &Each, bool Declined, TimePoint Now) {
  // An endpoint that refuses requests may well go on, so it is tried with few at first.
  const double Window = Options_.InitialShare_ * (Declined ? FloorPart : 1);
  if (Each.Phase_ == Phase::Warm)
    begin(Id, Each, Window, Declined ? "declined" : "silent", Now);
  Each.Window_ = std::min(Each.Window_, Window);
  Each.EarlierUse_ = Each.Load_ ? Each.Load_->Use_ : 0;
  // It counts from when the endpoint gets work again.
  Each.GrownAt_ = Each.RoundAt_ = Each.BeganAt_ = Now;
  Each.Credit_.reset();
}

void EndpointSlowStart::remove(const EndpointId &Id, TimePoint Now) {
  const auto Found = States_.find(Id);
  if (Found == States_.end())
    return;
  end(Id, Found->second, "gone", Now);
  States_.erase(Found);
}

double EndpointSlowStart::usedWindow(const State &Each) {
  return Each.Load_ ? std::max(0.0, Each.Load_->Use_ - Each.EarlierUse_) : 0;
}

double EndpointSlowStart::freeWindow(const State &Each) {
  return std::max(0.0, Each.Window_ - usedWindow(Each));
}

void EndpointSlowStart::takeLoad(const EndpointId &Id, State &Each, const EndpointLoad &Load,
                                 TimePoint Now) {
  if (Each.Phase_ == Phase::Warming)
    growByTime(Each, Now);
  Each.Load_ = Load;
  Each.EarlierUse_ = std::min(Each.EarlierUse_, Load.Use_);
  if (Each.Phase_ == Phase::Fresh && Load.Running_ + Load.Waiting_ > 0)
    begin(Id, Each, Options_.InitialShare_, "started", Now);
  else if (Each.Phase_ == Phase::Warming && Load.At_ >= Each.RoundAt_ + ReportRound)
    adjustToLoad(Each, Now);
  endIfWarm(Id, Each, Now);
  if (Load.Slowdown_ < SlowSpellSlowdown)
    Each.SlowSince_.reset();
  else if (!Each.SlowSince_)
    Each.SlowSince_ = Load.At_;
  if (Each.Phase_ != Phase::Warm || !Each.SlowSince_ || Load.At_ - *Each.SlowSince_ < ReportRound)
    return;
  Each.EarlierUse_ = Load.Use_;
  begin(Id, Each, Options_.InitialShare_, "slow", Now);
}

void EndpointSlowStart::adjustToLoad(State &Each, TimePoint Now) {
  const double Used = usedWindow(Each);
  if (!isWell(*Each.Load_)) {
    if (Each.Load_->Waiting_ > MaxWaitingPart * Each.Load_->Running_)
      halve(Each, Now);
    return;
  }
  if (2 * Used > Each.Window_) {
    Each.Boost_ = Used > Each.Window_ ? std::max(1.0, Each.Boost_ / 2) : Each.Boost_;
    Each.Window_ = std::min(1.0, 2 * Each.Window_);
  } else if (Each.WithheldInRound_) {
    Each.Boost_ = std::min(2 * Each.Boost_, MaxBoost);
  } else {
    return;
  }
  Each.WithheldInRound_ = false;
  Each.GoodInRound_ = 0;
  Each.RoundAt_ = Now;
}

void EndpointSlowStart::growByTime(State &Each, TimePoint Now) const {
  const double Elapsed = toSeconds(Now - std::exchange(Each.GrownAt_, Now));
  if (Each.Load_ && !isWell(*Each.Load_))
    return;
  const double Doublings = std::ldexp(Elapsed / DoublingSeconds, -static_cast<int>(Each.Relapses_));
  Each.Window_ = std::min(1.0, Each.Window_ * std::exp2(Doublings));
}

void EndpointSlowStart::halve(State &Each, TimePoint Now) const {
  Each.Window_ = std::max(Options_.InitialShare_ * FloorPart, Each.Window_ / 2);
  Each.Boost_ = 1;
  Each.GoodInRound_ = 0;
  Each.RoundAt_ = Now;
  if (Each.Credit_)
    Each.Credit_ = *Each.Credit_ / 2;
}

void EndpointSlowStart::earnCredit(State &Each, TimePoint Now) const {
  const double PerGateway = freeWindow(Each) * Each.Capacity_ / *Gateways_;
  if (!Each.Credit_) {
    Each.Credit_ = PerGateway;
    Each.CreditAt_ = Now;
    return;
  }
  const auto Usual = AnswerSeconds_.find(Each.Service_);
  const double Answer = Usual == AnswerSeconds_.end() ? DefaultAnswerSeconds : Usual->second;
  const double Rate = PerGateway * Each.Boost_ / (Each.Load_ ? FillSeconds : Answer);
  const double Kept = Each.Load_ ? CreditSeconds : UnreportedCreditSeconds;
  const double Elapsed = toSeconds(Now - std::exchange(Each.CreditAt_, Now));
  Each.Credit_ = std::min(*Each.Credit_ + Rate * Elapsed, std::max(PerGateway, Rate * Kept));
}

bool EndpointSlowStart::mayTake(const EndpointId &Id, double Capacity, std::uint32_t OwnRequests,
                                double Draw, TimePoint Now) {
  State *Each = findLimited(Id);
  if (!Each)
    return true;
  if (Each->Phase_ == Phase::Warming)
    growByTime(*Each, Now);
  endIfWarm(Id, *Each, Now);
  if (Each->Phase_ == Phase::Warm)
    return true;
  Each->Capacity_ = Capacity;
  bool May = false;
  if (!Gateways_) {
    May = OwnRequests == 0;
  } else {
    earnCredit(*Each, Now);
    May = freeWindow(*Each) > 0 && Draw < *Each->Credit_;
    // Without reports, only the number of own requests shows how much of the window is in use.
    const double Own = std::max(1.0, std::ceil(Each->Window_ * Capacity / *Gateways_));
    May = May && (Each->Load_ || OwnRequests < Own);
    // The request has used up its chance; keeping it would let the next one draw again for it.
    if (!May && *Each->Credit_ < 1)
      Each->Credit_ = 0;
  }
  if (!May) {
    ++Each->Withheld_;
    Each->WithheldInRound_ = true;
  }
  return May;
}

double EndpointSlowStart::costFactor(const EndpointId &Id) const {
  const auto Found = States_.find(Id);
  const bool Warm = Found == States_.end() || Found->second.Phase_ == Phase::Warm;
  return Warm ? 1 : DeniedCostFactor;
}

void EndpointSlowStart::onSent(const EndpointId &Id, TimePoint Now) {
  State *Each = findLimited(Id);
  if (!Each)
    return;
  if (Each->Phase_ == Phase::Fresh) {
    const auto Credit = Each->Credit_;
    begin(Id, *Each, Options_.InitialShare_, "started", Now);
    Each->Credit_ = Credit;
    Each->CreditAt_ = Now;
  }
  ++Each->Sent_;
  if (Each->Credit_)
    Each->Credit_ = std::max(0.0, *Each->Credit_ - 1);
}

void EndpointSlowStart::onAnswer(const EndpointId &Id, EndpointAnswer Answer, TimePoint SentAt,
                                 TimePoint Now) {
  const auto Found = States_.find(Id);
  if (!Options_.Enabled_ || Found == States_.end())
    return;
  State &Each = Found->second;
  const bool Good = Answer == EndpointAnswer::Good;
  if (Good || Answer == EndpointAnswer::Late) {
    const double Took = std::max(MinAnswerSeconds, toSeconds(Now - SentAt));
    double &Mean = AnswerSeconds_.try_emplace(Each.Service_, Took).first->second;
    Mean += AnswerWeight * (Took - Mean);
  }
  // A path of several engines is late by any one of them; their reports show which is slow.
  if (Answer == EndpointAnswer::Late && Each.Load_)
    return;
  if (Each.Phase_ == Phase::Warm) {
    // A warm endpoint rejects requests while it is full; that is no reason for a slow start.
    if (Answer == EndpointAnswer::Rejected)
      return;
    const bool Series = Now - Each.LastBadAt_ < BadSeriesTime;
    Each.BadSeries_ = Good ? 0 : Series ? Each.BadSeries_ + 1 : 1;
    Each.LastBadAt_ = Good ? Each.LastBadAt_ : Now;
    if (Each.BadSeries_ < MaxBadSeries)
      return;
    Each.EarlierUse_ = Each.Load_ ? Each.Load_->Use_ : 0;
    return begin(Id, Each, Options_.InitialShare_,
                 Answer == EndpointAnswer::Late ? "late" : "failures", Now);
  }
  if (Answer == EndpointAnswer::Rejected)
    ++Each.Rejections_;
  if (Each.Phase_ == Phase::Fresh || SentAt < Each.RoundAt_)
    return;
  growByTime(Each, Now);
  if (!Good)
    return halve(Each, Now);
  const double Share = Gateways_ ? Each.Window_ * Each.Capacity_ / *Gateways_ : 1;
  if (++Each.GoodInRound_ < Share)
    return;
  Each.Window_ = std::min(1.0, 2 * Each.Window_);
  Each.GoodInRound_ = 0;
  Each.RoundAt_ = Now;
  endIfWarm(Id, Each, Now);
}

double EndpointSlowStart::window(const EndpointId &Id, TimePoint Now) {
  State *Each = findLimited(Id);
  if (!Each)
    return 1;
  if (Each->Phase_ == Phase::Warming)
    growByTime(*Each, Now);
  endIfWarm(Id, *Each, Now);
  return Each->Window_;
}

std::size_t EndpointSlowStart::warmingCount() const {
  std::size_t Count = 0;
  visitWarming([&](const EndpointId &, double) { ++Count; });
  return Count;
}

void EndpointSlowStart::visitWarming(
    const std::function<void(const EndpointId &, double)> &Visit) const {
  for (const auto &[Id, Each] : States_)
    if (Each.Phase_ == Phase::Warming)
      Visit(Id, Each.Window_);
}

std::vector<SlowStartChange> EndpointSlowStart::takeChanges() {
  return std::exchange(Changes_, {});
}

} // namespace rattancart
