#include "Core/Admission/AdmissionController.h"

#include "Core/Common/ErrorCode.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rattancart {

namespace {

/// The weight of the newest request in the moving averages of the service time and its deviation.
constexpr double ServiceTimeGain = 0.05;
/// By how many mean deviations a request's expected service time exceeds the mean.
constexpr double DeviationsAllowed = 2;

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Seconds));
}

AdmissionDecision refuse(ErrorCode Code, Duration RetryAfter) {
  return {AdmissionState::Refused, {}, Code, RetryAfter};
}

} // namespace

AdmissionController::AdmissionController(AdmissionOptions Options) : Options_(std::move(Options)) {}

void AdmissionController::setView(SettingsViewPtr View, TimePoint Now) {
  Limiter_.setLimits(std::move(View), Now);
}

void AdmissionController::setShares(const std::vector<CustomerShare> &Shares, double Default,
                                    TimePoint Now) {
  Limiter_.setShares(Shares, Default, Now);
}

void AdmissionController::setCapacity(const PoolId &Id, double Slots) {
  pool(Id).Limit_->setCapacity(Slots);
}

AdmissionController::PoolState &AdmissionController::pool(const PoolId &Id) {
  const auto It = Pools_.find(Id);
  if (It != Pools_.end())
    return It->second;
  PoolState Added{FairQueue(Options_.Order_, Options_.AgeingStep_), Options_.MakeLimit_(Id), 0, {}};
  Added.Usage_.Pool_ = Id;
  return Pools_.emplace(Id, std::move(Added)).first->second;
}

bool AdmissionController::hasCapacity(const PoolState &Pool) const {
  return static_cast<double>(Pool.InFlight_) + 1 <= std::max(1.0, Pool.Limit_->limit());
}

Duration AdmissionController::serviceTime(const PoolState &Pool, double Cost) const {
  const PoolUsage &Usage = Pool.Usage_;
  return toDuration((Usage.SecondsPerCost_ + DeviationsAllowed * Usage.MeanDeviation_) * Cost);
}

Duration AdmissionController::expectedWait(const PoolState &Pool, const AdmissionRequest &Request,
                                           TimePoint Now) const {
  const double CostAhead =
      Pool.Queue_.costAhead(Request.Customer_, Request.Priority_, Request.Cost_,
                            Limiter_.weightOf(Request.Customer_), Now);
  return toDuration(Pool.Usage_.SecondsPerCost_ * CostAhead / std::max(1.0, Pool.Limit_->limit()));
}

AdmissionDecision AdmissionController::submit(const AdmissionRequest &Request, TimePoint Now) {
  PoolState &Pool = pool(Request.Pool_);
  if (const auto Refusal = Limiter_.acquire(Request.Customer_, Request.Tokens_, Now)) {
    ++Pool.Usage_.RefusedLimit_;
    return refuse(ErrorCode::LimitExceeded, Refusal->RetryAfter_);
  }
  if (Pool.Queue_.size() == 0 && hasCapacity(Pool))
    return {AdmissionState::Admitted, admit(Pool, Request, Now), {}, {}};
  const AdmissionDecision Decision = enqueue(Pool, Request, Now);
  if (Decision.State_ == AdmissionState::Refused)
    Limiter_.release(Request.Customer_, Request.Tokens_, 0);
  return Decision;
}

AdmissionTicket AdmissionController::admit(PoolState &Pool, const AdmissionRequest &Request,
                                           TimePoint Now) {
  LastTicket_ = LastTicket_.next();
  Entries_.emplace(LastTicket_, Entry{Request, Now, true});
  ++Pool.InFlight_;
  ++Pool.Usage_.Admitted_;
  return LastTicket_;
}

AdmissionDecision AdmissionController::enqueue(PoolState &Pool, const AdmissionRequest &Request,
                                               TimePoint Now) {
  const Duration Wait = expectedWait(Pool, Request, Now);
  const Duration Usable =
      toDuration(std::chrono::duration<double>(Request.Deadline_ - Now).count() *
                 Options_.UsableDeadlineFraction_);
  if (Options_.RefuseEarly_ && Wait + serviceTime(Pool, Request.Cost_) > Usable) {
    ++Pool.Usage_.RefusedEarly_;
    return refuse(ErrorCode::Overloaded, Wait);
  }
  const double Weight = Limiter_.weightOf(Request.Customer_);
  if (Pool.Queue_.size() >= Options_.MaxQueued_) {
    const auto Displaced =
        Pool.Queue_.displace(Request.Customer_, Request.Priority_, Request.Cost_, Weight);
    ++Pool.Usage_.RefusedFull_;
    if (!Displaced)
      return refuse(ErrorCode::QueueFull, Wait);
    PendingDrops_.push_back({Displaced->Ticket_, ErrorCode::QueueFull});
    discard(Pool, Displaced->Ticket_, ErrorCode::QueueFull);
  }
  LastTicket_ = LastTicket_.next();
  Entries_.emplace(LastTicket_, Entry{Request, Now, false});
  Pool.Queue_.push(
      {LastTicket_, Request.Customer_, Request.Priority_, Request.Cost_, Request.Deadline_, Now},
      Weight);
  return {AdmissionState::Queued, LastTicket_, {}, {}};
}

void AdmissionController::discard(PoolState &Pool, AdmissionTicket Ticket, std::error_code Reason) {
  const auto It = Entries_.find(Ticket);
  if (It == Entries_.end())
    return;
  Limiter_.release(It->second.Request_.Customer_, It->second.Request_.Tokens_, 0);
  if (Reason != ErrorCode::QueueFull)
    ++Pool.Usage_.Expired_;
  Entries_.erase(It);
}

void AdmissionController::finish(AdmissionTicket Ticket, const AdmissionOutcome &Outcome,
                                 TimePoint Now) {
  const auto It = Entries_.find(Ticket);
  if (It == Entries_.end() || !It->second.Admitted_)
    return;
  const AdmissionRequest &Request = It->second.Request_;
  PoolState &Pool = pool(Request.Pool_);
  const double Elapsed = std::chrono::duration<double>(Now - It->second.StartedAt_).count();
  const double SecondsPerCost = Elapsed / std::max(1e-9, Outcome.Cost_);
  if (Outcome.Result_ == AdmissionOutcome::Result::Succeeded && Outcome.Cost_ > 0) {
    double &Mean = Pool.Usage_.SecondsPerCost_;
    if (Mean <= 0)
      Mean = SecondsPerCost;
    double &Deviation = Pool.Usage_.MeanDeviation_;
    Deviation += (std::abs(SecondsPerCost - Mean) - Deviation) * ServiceTimeGain;
    Mean += (SecondsPerCost - Mean) * ServiceTimeGain;
  }
  Pool.Limit_->recordCompletion(Outcome.Result_, SecondsPerCost,
                                static_cast<double>(Pool.InFlight_));
  --Pool.InFlight_;
  Limiter_.release(Request.Customer_, Request.Tokens_, Outcome.Tokens_);
  Entries_.erase(It);
}

void AdmissionController::cancel(AdmissionTicket Ticket, TimePoint Now) {
  const auto It = Entries_.find(Ticket);
  if (It == Entries_.end())
    return;
  if (It->second.Admitted_) {
    finish(Ticket, {AdmissionOutcome::Result::Other, 0, It->second.Request_.Tokens_}, Now);
    return;
  }
  const AdmissionRequest &Request = It->second.Request_;
  pool(Request.Pool_).Queue_.remove(Ticket);
  Limiter_.release(Request.Customer_, Request.Tokens_, 0);
  Entries_.erase(It);
}

QueueUpdate AdmissionController::processQueues(TimePoint Now) {
  QueueUpdate Update;
  Update.Dropped_ = std::exchange(PendingDrops_, {});
  for (auto &Item : Pools_) {
    PoolState &Pool = Item.second;
    const auto Expired = Pool.Queue_.removeIf([&](const QueuedRequest &Request) {
      const Duration Needed =
          Options_.RefuseEarly_ ? serviceTime(Pool, Request.Cost_) : Duration{0};
      return Now + Needed > Request.Deadline_;
    });
    for (const QueuedRequest &Request : Expired) {
      discard(Pool, Request.Ticket_, ErrorCode::Overloaded);
      Update.Dropped_.push_back({Request.Ticket_, ErrorCode::Overloaded});
    }
    while (Pool.Queue_.size() > 0 && hasCapacity(Pool)) {
      const AdmissionTicket Ticket = Pool.Queue_.pop(Now)->Ticket_;
      Entry &Started = Entries_.at(Ticket);
      Started.Admitted_ = true;
      Started.StartedAt_ = Now;
      ++Pool.InFlight_;
      ++Pool.Usage_.Admitted_;
      Update.Admitted_.push_back(Ticket);
    }
  }
  return Update;
}

std::vector<PoolUsage> AdmissionController::pools() const {
  std::vector<PoolUsage> Usage;
  for (const auto &[Id, Pool] : Pools_) {
    PoolUsage Row = Pool.Usage_;
    Row.Limit_ = Pool.Limit_->limit();
    Row.InFlight_ = Pool.InFlight_;
    Row.Queued_ = Pool.Queue_.size();
    Usage.push_back(std::move(Row));
  }
  return Usage;
}

std::size_t AdmissionController::queued() const {
  std::size_t Count = 0;
  for (const auto &[Id, Pool] : Pools_)
    Count += Pool.Queue_.size();
  return Count;
}

std::size_t AdmissionController::inFlight() const {
  std::size_t Count = 0;
  for (const auto &[Id, Pool] : Pools_)
    Count += Pool.InFlight_;
  return Count;
}

} // namespace rattancart
