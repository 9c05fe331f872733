#include "Core/Admission/AdmissionController.h"

#include "Core/Common/ErrorCode.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rattancart {

namespace {

/// Weight of the newest request in the mean time by unit of cost.
constexpr double ServiceTimeGain = 0.05;
/// Mean deviations above the mean that a request is given to finish.
constexpr double DeviationFactor = 2;

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
  pool(Id).Limit_->setKnown(Slots);
}

AdmissionController::Pool &AdmissionController::pool(const PoolId &Id) {
  const auto It = Pools_.find(Id);
  if (It != Pools_.end())
    return It->second;
  Pool Fresh{FairQueue(Options_.Order_, Options_.AgeingStep_), Options_.MakeLimit_(Id), 0, {}};
  Fresh.Usage_.Pool_ = Id;
  return Pools_.emplace(Id, std::move(Fresh)).first->second;
}

bool AdmissionController::hasRoom(const Pool &Where) const {
  return static_cast<double>(Where.InFlight_) + 1 <= std::max(1.0, Where.Limit_->limit());
}

Duration AdmissionController::serviceTime(const Pool &Where, double Cost) const {
  const PoolUsage &Usage = Where.Usage_;
  return toDuration((Usage.SecondsPerCost_ + DeviationFactor * Usage.Deviation_) * Cost);
}

Duration AdmissionController::expectedWait(const Pool &Where, const AdmissionRequest &Request,
                                           TimePoint Now) const {
  const double Ahead = Where.Queue_.costAhead(Request.Customer_, Request.Priority_, Request.Cost_,
                                              Limiter_.weightOf(Request.Customer_), Now);
  return toDuration(Where.Usage_.SecondsPerCost_ * Ahead / std::max(1.0, Where.Limit_->limit()));
}

AdmissionDecision AdmissionController::submit(const AdmissionRequest &Request, TimePoint Now) {
  Pool &Where = pool(Request.Pool_);
  if (const auto Refusal = Limiter_.acquire(Request.Customer_, Request.Tokens_, Now)) {
    ++Where.Usage_.RefusedLimit_;
    return refuse(ErrorCode::LimitExceeded, Refusal->RetryAfter_);
  }
  if (Where.Queue_.size() == 0 && hasRoom(Where))
    return {AdmissionState::Admitted, start(Where, Request, Now), {}, {}};
  const AdmissionDecision Decision = enqueue(Where, Request, Now);
  if (Decision.State_ == AdmissionState::Refused)
    Limiter_.release(Request.Customer_, Request.Tokens_, 0);
  return Decision;
}

AdmissionTicket AdmissionController::start(Pool &Where, const AdmissionRequest &Request,
                                           TimePoint Now) {
  LastTicket_ = LastTicket_.next();
  Entries_.emplace(LastTicket_, Entry{Request, Now, true});
  ++Where.InFlight_;
  ++Where.Usage_.Admitted_;
  return LastTicket_;
}

AdmissionDecision AdmissionController::enqueue(Pool &Where, const AdmissionRequest &Request,
                                               TimePoint Now) {
  const Duration Wait = expectedWait(Where, Request, Now);
  const Duration Left = toDuration(std::chrono::duration<double>(Request.Deadline_ - Now).count() *
                                   Options_.DeadlineMargin_);
  if (Options_.RefuseEarly_ && Wait + serviceTime(Where, Request.Cost_) > Left) {
    ++Where.Usage_.RefusedEarly_;
    return refuse(ErrorCode::Overloaded, Wait);
  }
  const double Weight = Limiter_.weightOf(Request.Customer_);
  if (Where.Queue_.size() >= Options_.MaxQueued_) {
    const auto Victim =
        Where.Queue_.displace(Request.Customer_, Request.Priority_, Request.Cost_, Weight);
    ++Where.Usage_.RefusedFull_;
    if (!Victim)
      return refuse(ErrorCode::QueueFull, Wait);
    Displaced_.push_back({Victim->Ticket_, ErrorCode::QueueFull});
    giveUp(Where, Victim->Ticket_, ErrorCode::QueueFull);
  }
  LastTicket_ = LastTicket_.next();
  Entries_.emplace(LastTicket_, Entry{Request, Now, false});
  Where.Queue_.push(
      {LastTicket_, Request.Customer_, Request.Priority_, Request.Cost_, Request.Deadline_, Now},
      Weight);
  return {AdmissionState::Queued, LastTicket_, {}, {}};
}

void AdmissionController::giveUp(Pool &Where, AdmissionTicket Ticket, std::error_code Why) {
  const auto It = Entries_.find(Ticket);
  if (It == Entries_.end())
    return;
  Limiter_.release(It->second.Request_.Customer_, It->second.Request_.Tokens_, 0);
  if (Why != ErrorCode::QueueFull)
    ++Where.Usage_.Expired_;
  Entries_.erase(It);
}

void AdmissionController::finish(AdmissionTicket Ticket, const AdmissionOutcome &End,
                                 TimePoint Now) {
  const auto It = Entries_.find(Ticket);
  if (It == Entries_.end() || !It->second.Admitted_)
    return;
  const AdmissionRequest &Request = It->second.Request_;
  Pool &Where = pool(Request.Pool_);
  const double Took = std::chrono::duration<double>(Now - It->second.StartedAt_).count();
  const double PerCost = Took / std::max(1e-9, End.Cost_);
  if (End.Result_ == AdmissionOutcome::Result::Succeeded && End.Cost_ > 0) {
    double &Mean = Where.Usage_.SecondsPerCost_;
    if (Mean <= 0)
      Mean = PerCost;
    double &Deviation = Where.Usage_.Deviation_;
    Deviation += (std::abs(PerCost - Mean) - Deviation) * ServiceTimeGain;
    Mean += (PerCost - Mean) * ServiceTimeGain;
  }
  Where.Limit_->ended(End.Result_, PerCost, static_cast<double>(Where.InFlight_));
  --Where.InFlight_;
  Limiter_.release(Request.Customer_, Request.Tokens_, End.Tokens_);
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
  Update.Dropped_ = std::exchange(Displaced_, {});
  for (auto &Item : Pools_) {
    Pool &Where = Item.second;
    const auto Late = Where.Queue_.removeIf([&](const QueuedRequest &Request) {
      const Duration Needed =
          Options_.RefuseEarly_ ? serviceTime(Where, Request.Cost_) : Duration{0};
      return Now + Needed > Request.Deadline_;
    });
    for (const QueuedRequest &Request : Late) {
      giveUp(Where, Request.Ticket_, ErrorCode::Overloaded);
      Update.Dropped_.push_back({Request.Ticket_, ErrorCode::Overloaded});
    }
    while (Where.Queue_.size() > 0 && hasRoom(Where)) {
      const AdmissionTicket Ticket = Where.Queue_.pop(Now)->Ticket_;
      Entry &Next = Entries_.at(Ticket);
      Next.Admitted_ = true;
      Next.StartedAt_ = Now;
      ++Where.InFlight_;
      ++Where.Usage_.Admitted_;
      Update.Admitted_.push_back(Ticket);
    }
  }
  return Update;
}

std::vector<PoolUsage> AdmissionController::pools() const {
  std::vector<PoolUsage> Usage;
  for (const auto &[Id, Where] : Pools_) {
    PoolUsage Row = Where.Usage_;
    Row.Limit_ = Where.Limit_->limit();
    Row.InFlight_ = Where.InFlight_;
    Row.Queued_ = Where.Queue_.size();
    Usage.push_back(std::move(Row));
  }
  return Usage;
}

std::size_t AdmissionController::queued() const {
  std::size_t Count = 0;
  for (const auto &[Id, Where] : Pools_)
    Count += Where.Queue_.size();
  return Count;
}

std::size_t AdmissionController::inFlight() const {
  std::size_t Count = 0;
  for (const auto &[Id, Where] : Pools_)
    Count += Where.InFlight_;
  return Count;
}

} // namespace rattancart
