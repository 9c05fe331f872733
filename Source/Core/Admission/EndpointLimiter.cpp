#include "Core/Admission/EndpointLimiter.h"

#include <algorithm>
#include <cmath>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// Part of a limit that is used if each gateway sends so few requests that their times are
/// independent of each other: by chance, more than usual come together.
constexpr double SparseUsedPart = 0.65;
/// Requests of a gateway are few if it has a smaller share of the limit than this.
constexpr RequestRate SparseRate{1.0 / 6};
/// Gateways report their demand each second. The sum of an owner that has just begun to collect
/// them is not complete before.
constexpr Duration CollectTime = milliseconds(1500);
/// A demand counts for this long, so that lost reports don't reduce the sum.
constexpr Duration DemandLifetime = milliseconds(6000);
/// Slots over which an increase of the requests is noticed before the owner tells the new sum.
constexpr std::size_t RecentSlots = 4;
/// Slots over which the reported demand is measured.
constexpr std::size_t ReportedSlots = 8;
/// No more is sent if this many requests beyond the limit were sent lately.
constexpr double SentBurst = 3;
/// A lower limit counts as this one: only an answer can show that a limit has ended, so some
/// requests must be sent.
constexpr RequestRate MinRate{0.25};
/// After this time without a sum, its sender may be gone, and others may want more.
constexpr Duration FreshTime = milliseconds(3500);
/// After this time without a sum, it is not relied on.
constexpr Duration RelianceTime = milliseconds(10000);
/// The requests of all gateways are taken for this many times the last sum if that is not fresh.
constexpr double StaleGrowth = 2;
/// Requests with this priority value and higher ones are admitted last.
constexpr double LastPriority = 2;
/// How long other gateways are told that a limit has ended.
constexpr Duration EndedRetention = std::chrono::seconds(30);

/// The level at which a request is admitted.
double admissionLevel(std::uint32_t Priority) {
  return std::min<double>(Priority, LastPriority) / LastPriority;
}

} // namespace

bool EndpointLimiter::update(Record &Known, const EndpointLimit &Limit) {
  if (Limit.Run_ < Known.Limit_.Run_ ||
      (Limit.Run_ == Known.Limit_.Run_ && Limit.KnownAt_ <= Known.Limit_.KnownAt_))
    return false;
  const bool Changed = Limit.Rate_ != Known.Limit_.Rate_;
  if (Limit.Run_ != Known.Limit_.Run_) {
    Known.Sum_ = {};
    Known.SumAt_ = {};
    Known.Demands_.clear();
  }
  if (!Limit.Rate_)
    Known.Level_.reset();
  Known.Limit_ = Limit;
  return Changed;
}

void EndpointLimiter::onAnswer(const EndpointId &Endpoint, Incarnation Run,
                               const AnnouncedLimit &Announced, TimePoint Now) {
  if (Announced.Kind_ == AnnouncedLimit::Kind::Malformed)
    return;
  EndpointLimit Limit{Endpoint, Run, std::nullopt, Now};
  if (Announced.Kind_ == AnnouncedLimit::Kind::Limited)
    Limit.Rate_ = Announced.Rate_;
  const auto Found = Endpoints_.find(Endpoint);
  if (!Limit.Rate_ && (Found == Endpoints_.end() || !Found->second.Limit_.Rate_))
    return;
  if (update(Endpoints_[Endpoint], Limit) && ChangeHandler_)
    ChangeHandler_(Limit);
}

bool EndpointLimiter::isLimited(const EndpointId &Endpoint, Incarnation Run) const {
  const auto Found = Endpoints_.find(Endpoint);
  return Found != Endpoints_.end() && Found->second.Limit_.Rate_ &&
         Found->second.Limit_.Run_ >= Run;
}

bool EndpointLimiter::tryAdmit(const EndpointId &Endpoint, Incarnation Run, std::uint32_t Priority,
                               TimePoint Now) {
  Record &Known = Endpoints_[Endpoint];
  const bool Admitted = !isLimited(Endpoint, Run) || tryTake(Known, Priority, Now);
  countRequest(Known, Admitted, Now);
  return Admitted;
}

bool EndpointLimiter::tryTake(Record &Known, std::uint32_t Priority, TimePoint Now) {
  const double Part = admittedPart(Known, Now);
  if (Part >= 1)
    return true;
  const double Needed = admissionLevel(Priority);
  if (!Known.Level_)
    Known.Level_ = Needed - std::uniform_real_distribution<double>(0, 1)(Random_);
  *Known.Level_ += Part;
  if (*Known.Level_ < Needed)
    return false;
  *Known.Level_ -= 1;
  return true;
}

void EndpointLimiter::countRequest(Record &Known, bool Sent, TimePoint Now) {
  const std::int64_t Index = Now.time_since_epoch() / SlotTime;
  Slot &Current = Known.Requests_[static_cast<std::size_t>(Index) % Slots];
  if (Current.Index_ != Index)
    Current = {Index, 0, 0};
  ++Current.Wanted_;
  Current.Sent_ += Sent ? 1 : 0;
}

RequestRate EndpointLimiter::wantedRate(const Record &Known, TimePoint Now, std::size_t Count) {
  const std::int64_t Index = Now.time_since_epoch() / SlotTime;
  std::uint32_t Requests = 0;
  for (const Slot &Each : Known.Requests_)
    if (Each.Index_ >= 0 && Index - Each.Index_ < static_cast<std::int64_t>(Count))
      Requests += Each.Wanted_;
  const Duration Current = Now.time_since_epoch() % SlotTime;
  return {Requests / std::chrono::duration<double>(SlotTime * (Count - 1) + Current).count()};
}

std::uint32_t EndpointLimiter::sentLately(const Record &Known, TimePoint Now) {
  const std::int64_t Index = Now.time_since_epoch() / SlotTime;
  std::uint32_t Requests = 0;
  for (const Slot &Each : Known.Requests_)
    if (Each.Index_ >= 0 && Index - Each.Index_ < static_cast<std::int64_t>(Slots))
      Requests += Each.Sent_;
  return Requests;
}

double EndpointLimiter::admittedPart(const Record &Known, TimePoint Now) const {
  const double Named = std::max(MinRate.PerSecond_, Known.Limit_.Rate_->PerSecond_);
  const double Sharing = std::max({1U, Known.Sum_.Gateways_, Gateways_.value_or(0)});
  const double Limit = Named * (Named < Sharing * SparseRate.PerSecond_ ? SparseUsedPart : 1);
  const double Own = wantedRate(Known, Now, RecentSlots).PerSecond_;
  const double Sum = Known.Sum_.Wanted_.PerSecond_;
  const Duration Age = Now - Known.SumAt_;
  if (Known.SumAt_ == TimePoint{} || Age > RelianceTime) {
    if (!Gateways_)
      return 0;
    const double All = std::max(Own, 1.0) * *Gateways_;
    return std::min(1.0, Limit / All);
  }
  if (Known.Sum_.Sent_ >= Named * std::chrono::duration<double>(SentWindow).count() + SentBurst)
    return 0;
  // What this gateway sees of an increase is taken for an increase at all gateways, unless it may
  // be chance.
  const double Expected =
      std::max(Known.Reported_.PerSecond_, Sum / std::max(1U, Known.Sum_.Gateways_));
  const double Growth = std::max(1.0, Own / (Expected + 2 * std::sqrt(Expected) + 1));
  const double All = Sum * Growth * (Age > FreshTime ? StaleGrowth : 1);
  return std::min(1.0, Limit / All);
}

bool EndpointLimiter::isToldToOthers(const Record &Known, TimePoint Now) {
  return Known.Limit_.Rate_ ||
         (Known.Limit_.KnownAt_ != TimePoint{} && Now - Known.Limit_.KnownAt_ < EndedRetention);
}

std::vector<LimitDemand>
EndpointLimiter::takeDemands(const std::function<bool(const EndpointId &)> &Selected,
                             TimePoint Now) {
  std::vector<LimitDemand> Demands;
  for (auto &[Id, Known] : Endpoints_) {
    if (!isToldToOthers(Known, Now) || !Selected(Id))
      continue;
    Known.Reported_ = wantedRate(Known, Now, ReportedSlots);
    Demands.push_back({Known.Limit_, Known.Reported_, sentLately(Known, Now)});
  }
  return Demands;
}

void EndpointLimiter::onDemand(const std::string &Gateway, const LimitDemand &Demand,
                               TimePoint Now) {
  Record &Known = Endpoints_[Demand.Limit_.Endpoint_];
  if (update(Known, Demand.Limit_) && ChangeHandler_)
    ChangeHandler_(Demand.Limit_);
  if (Demand.Limit_.Run_ != Known.Limit_.Run_)
    return;
  if (Known.Demands_.empty())
    Known.FirstDemandAt_ = Now;
  Known.Demands_[Gateway] = {Demand.Wanted_, Demand.Sent_, Now + DemandLifetime};
  std::erase_if(Known.Demands_, [&](const auto &Entry) { return Entry.second.Until_ < Now; });
}

std::vector<LimitState> EndpointLimiter::states(TimePoint Now) const {
  std::vector<LimitState> States;
  for (const auto &[Id, Known] : Endpoints_) {
    if (!isToldToOthers(Known, Now))
      continue;
    LimitState State{Known.Limit_, {}, 0, 0};
    const bool Complete = Now - Known.FirstDemandAt_ >= CollectTime;
    for (const auto &[Gateway, Each] : Known.Demands_) {
      if (!Complete || Each.Until_ < Now || Each.Wanted_.PerSecond_ <= 0)
        continue;
      State.Wanted_.PerSecond_ += Each.Wanted_.PerSecond_;
      State.Sent_ += Each.Sent_;
      ++State.Gateways_;
    }
    States.push_back(std::move(State));
  }
  return States;
}

void EndpointLimiter::onState(const LimitState &State, TimePoint Now) {
  Record &Known = Endpoints_[State.Limit_.Endpoint_];
  update(Known, State.Limit_);
  if (State.Limit_.Run_ != Known.Limit_.Run_ || State.Wanted_.PerSecond_ <= 0)
    return;
  Known.Sum_ = State;
  Known.SumAt_ = Now;
}

} // namespace rattancart
