#include "Core/Admission/StreamAdmissionQueue.h"

#include <algorithm>
#include <cmath>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// Of this many placements, one goes to a request whose first event will be late, so that these do
/// not starve.
constexpr std::uint32_t PlacementsPerLateOne = 4;
constexpr double LateRatePart = 1.0 / PlacementsPerLateOne;
/// The part of the rate that a class can count on, whatever more urgent classes take.
constexpr double LeastRatePart = 0.25;
/// Where requests are ordered by class, the expected wait is multiplied by this, since others that
/// arrive later may go first.
constexpr double WaitMargin = 1.5;
/// Range of the time after which a refused caller is told to come back, before jitter.
constexpr Duration MinRetryAfter = milliseconds(400);
constexpr Duration MaxRetryAfter = milliseconds(2000);
/// The random part that is added to it, so that callers refused together don't return together.
constexpr double RetryJitter = 0.5;
/// The weight of the newest sample in the mean time to the first event, and its longest value.
constexpr double FirstEventWeight = 0.1;
constexpr double MaxFirstEventSeconds = 1;

Duration seconds(double Value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Value));
}

} // namespace

StreamAdmissionQueue::ServiceState &StreamAdmissionQueue::service(const ServiceId &Id,
                                                                  bool OrderByClass) {
  ServiceState &Of = Services_.try_emplace(Id, Options_.AgeingStep_).first->second;
  // A change of the configuration takes effect once no request waits.
  if (Of.OrderByClass_ != OrderByClass && Of.InTime_.size() + Of.Late_.size() == 0) {
    Of.OrderByClass_ = OrderByClass;
    const Duration Step = OrderByClass ? Options_.ClassAgeingStep_ : Options_.AgeingStep_;
    Of.InTime_ = FairQueue(QueueOrder::Fair, Step);
    Of.Late_ = FairQueue(QueueOrder::Fair, Step);
  }
  return Of;
}

Duration StreamAdmissionQueue::firstEventTime(const ServiceState &Of) const {
  return seconds(Of.FirstEventSeconds_);
}

bool StreamAdmissionQueue::canBeInTime(const ServiceState &Of,
                                       const StreamAdmissionRequest &Request, Duration Wait,
                                       TimePoint Now) const {
  return !Request.OrderByClass_ ||
         Now + Wait + firstEventTime(Of) <= Request.ArrivedAt_ + Request.Objective_;
}

TimePoint StreamAdmissionQueue::waitEndOf(const ServiceState &Of,
                                          const StreamAdmissionRequest &Request,
                                          TimePoint Now) const {
  const TimePoint Latest = Request.GivesUpAt_ - firstEventTime(Of);
  if (!Request.OrderByClass_)
    return std::min(Latest, Now + Options_.MaxWait_);
  // If the callers of a less urgent class wait longer, its requests would obtain the memory for
  // which more urgent ones are refused.
  Duration Timeout = Request.GivesUpAt_ - Request.ArrivedAt_;
  if (!Options_.WaitsBeyondObjective_)
    Timeout = std::min(Timeout, Request.Objective_);
  for (const auto &[Priority, Each] : Of.FirstEventTimeouts_)
    if (Priority <= Request.Priority_)
      Timeout = std::min(Timeout, Each);
  return Request.ArrivedAt_ + Timeout - firstEventTime(Of);
}

void StreamAdmissionQueue::push(ServiceState &To, const Entry &Added, TimePoint Now) {
  const StreamAdmissionRequest &Request = Added.Request_;
  QueuedRequest Queued;
  Queued.Ticket_ = Request.Ticket_;
  Queued.Customer_ = Request.Customer_;
  Queued.Priority_ = Request.Priority_;
  Queued.Cost_ = std::max(1.0, Request.Tokens_);
  Queued.QueuedAt_ = Request.ArrivedAt_;
  FairQueue &Group = canBeInTime(To, Request, Duration{}, Now) ? To.InTime_ : To.Late_;
  Group.push(std::move(Queued), 1);
}

void StreamAdmissionQueue::update(ServiceState &Of, TimePoint Now) {
  const auto Missed = Of.InTime_.removeIf([&](const QueuedRequest &Each) {
    return !canBeInTime(Of, Waiting_.at(Each.Ticket_).Request_, Duration{}, Now);
  });
  for (const QueuedRequest &Each : Missed)
    Of.Late_.push(Each, 1);
  if (Of.Deferred_ == 0)
    return;
  for (auto &[Ticket, Each] : Waiting_) {
    if (!Each.DeferredUntil_ || Now < *Each.DeferredUntil_ ||
        &Services_.at(Each.Request_.Service_) != &Of)
      continue;
    Each.DeferredUntil_.reset();
    --Of.Deferred_;
    push(Of, Each, Now);
  }
}

bool StreamAdmissionQueue::isLateTurn(const ServiceState &Of) const {
  if (Of.Late_.size() == 0)
    return false;
  return Of.InTime_.size() == 0 || Of.InTimePlacements_ + 1 >= PlacementsPerLateOne;
}

std::optional<AdmissionTicket> StreamAdmissionQueue::next(const ServiceState &Of,
                                                          TimePoint Now) const {
  return (isLateTurn(Of) ? Of.Late_ : Of.InTime_).first(Now);
}

double StreamAdmissionQueue::rate(ServiceState &Of, PriorityClass Least, TimePoint Now) const {
  while (!Of.Placements_.empty() && Now - Of.Placements_.front().At_ > Options_.RateWindow_)
    Of.Placements_.pop_front();
  double All = 0;
  double Own = 0;
  for (const Placement &Each : Of.Placements_) {
    All += Each.Tokens_;
    Own += Each.Priority_ >= Least ? Each.Tokens_ : 0;
  }
  return std::max(Own, LeastRatePart * All) /
         std::chrono::duration<double>(Options_.RateWindow_).count();
}

std::optional<Duration> StreamAdmissionQueue::expectedWait(const StreamAdmissionRequest &Request,
                                                           TimePoint Now) {
  ServiceState &Of = service(Request.Service_, Request.OrderByClass_);
  update(Of, Now);
  const double Rate = rate(Of, Request.OrderByClass_ ? Request.Priority_ : PriorityClass(0), Now);
  if (Rate <= 0)
    return std::nullopt;
  const double Cost = std::max(1.0, Request.Tokens_);
  const double InTimeAhead =
      Of.InTime_.costAhead(Request.Customer_, Request.Priority_, Cost, 1, Now);
  if (!Request.OrderByClass_)
    return seconds(InTimeAhead / Rate);
  // Memory for the request itself has to become free as well; the mean of all requests counts, so
  // that large ones aren't refused for their size. A late request counts on no more than the
  // placements that late ones get in any case: each that obtains memory leaves less for those that
  // can be in time.
  double Mean = 0;
  for (const Placement &Each : Of.Placements_)
    Mean += std::abs(Each.Tokens_) / static_cast<double>(Of.Placements_.size());
  const double InTimeRate = Of.Late_.size() == 0 ? Rate : Rate * (1 - LateRatePart);
  const Duration InTimeWait = seconds((InTimeAhead + Mean) / InTimeRate * WaitMargin);
  if (canBeInTime(Of, Request, InTimeWait, Now))
    return InTimeWait;
  const double LateAhead = Of.Late_.costAhead(Request.Customer_, Request.Priority_, Cost, 1, Now);
  return seconds((InTimeAhead / Rate + (LateAhead + Mean) / (Rate * LateRatePart)) * WaitMargin);
}

bool StreamAdmissionQueue::tryEnqueue(const StreamAdmissionRequest &Request, TimePoint Now) {
  ServiceState &Of = service(Request.Service_, Request.OrderByClass_);
  const std::optional<Duration> Wait = expectedWait(Request, Now);
  Of.FirstEventTimeouts_[Request.Priority_] = Request.GivesUpAt_ - Request.ArrivedAt_;
  Entry Added{Request, waitEndOf(Of, Request, Now), std::nullopt, std::nullopt};
  if (!Wait || Now + *Wait >= Added.WaitEnd_)
    return false;
  if (!Request.OrderByClass_)
    Added.Request_.ArrivedAt_ = Now;
  push(Of, Added, Now);
  Waiting_.emplace(Request.Ticket_, std::move(Added));
  return true;
}

bool StreamAdmissionQueue::isContended(const ServiceId &Service, TimePoint Now) {
  const auto Found = Services_.find(Service);
  if (Found == Services_.end())
    return false;
  update(Found->second, Now);
  return Found->second.InTime_.size() + Found->second.Late_.size() > 0;
}

bool StreamAdmissionQueue::isNext(AdmissionTicket Ticket, TimePoint Now) {
  const auto Found = Waiting_.find(Ticket);
  if (Found == Waiting_.end())
    return false;
  ServiceState &Of = Services_.at(Found->second.Request_.Service_);
  update(Of, Now);
  return next(Of, Now) == Ticket;
}

void StreamAdmissionQueue::onNotPlaced(AdmissionTicket Ticket, TimePoint Now) {
  const auto Found = Waiting_.find(Ticket);
  if (Found == Waiting_.end() || !Found->second.Request_.OrderByClass_)
    return;
  Entry &Waits = Found->second;
  if (!Waits.TurnSince_)
    Waits.TurnSince_ = Now;
  else if (Now - *Waits.TurnSince_ >= Options_.MaxTurn_)
    defer(Ticket, Now);
}

void StreamAdmissionQueue::defer(AdmissionTicket Ticket, TimePoint Now) {
  const auto Found = Waiting_.find(Ticket);
  if (Found == Waiting_.end() || Found->second.DeferredUntil_)
    return;
  ServiceState &Of = Services_.at(Found->second.Request_.Service_);
  if (!Of.InTime_.remove(Ticket))
    Of.Late_.remove(Ticket);
  Found->second.TurnSince_.reset();
  Found->second.DeferredUntil_ = Now + Options_.DeferTime_;
  ++Of.Deferred_;
}

void StreamAdmissionQueue::take(AdmissionTicket Ticket) {
  const auto Found = Waiting_.find(Ticket);
  if (Found == Waiting_.end())
    return;
  ServiceState &Of = Services_.at(Found->second.Request_.Service_);
  if (Of.InTime_.serve(Ticket))
    Of.InTimePlacements_ = Of.Late_.size() > 0 ? Of.InTimePlacements_ + 1 : 0;
  else if (Of.Late_.serve(Ticket))
    Of.InTimePlacements_ = 0;
  remove(Ticket);
}

void StreamAdmissionQueue::remove(AdmissionTicket Ticket) {
  const auto Found = Waiting_.find(Ticket);
  if (Found == Waiting_.end())
    return;
  ServiceState &Of = Services_.at(Found->second.Request_.Service_);
  if (Found->second.DeferredUntil_)
    --Of.Deferred_;
  else if (!Of.InTime_.remove(Ticket))
    Of.Late_.remove(Ticket);
  Waiting_.erase(Found);
}

void StreamAdmissionQueue::onPlaced(const ServiceId &Service, PriorityClass Priority, double Tokens,
                                    TimePoint Now) {
  ServiceState &Of = Services_.try_emplace(Service, Options_.AgeingStep_).first->second;
  Of.Placements_.push_back({Now, Priority, Tokens});
  rate(Of, Priority, Now);
}

void StreamAdmissionQueue::onRejected(const ServiceId &Service, PriorityClass Priority,
                                      double Tokens, TimePoint Now) {
  onPlaced(Service, Priority, -Tokens, Now);
}

void StreamAdmissionQueue::onFirstEvent(const ServiceId &Service, Duration Took) {
  const auto Found = Services_.find(Service);
  if (Found == Services_.end())
    return;
  double &Mean = Found->second.FirstEventSeconds_;
  const double Sample = std::min(MaxFirstEventSeconds, std::chrono::duration<double>(Took).count());
  Mean += FirstEventWeight * (Sample - Mean);
}

Duration StreamAdmissionQueue::retryAfter(const ServiceId &Service, double Tokens, double Draw,
                                          TimePoint Now) {
  const auto Found = Services_.find(Service);
  Duration Base = MaxRetryAfter;
  if (Found != Services_.end()) {
    ServiceState &Of = Found->second;
    std::erase_if(Of.Returns_, [&](const Return &Each) { return Each.At_ <= Now; });
    double Backlog = Tokens;
    for (const auto &[Ticket, Each] : Waiting_)
      Backlog += Each.Request_.Service_ == Service ? Each.Request_.Tokens_ : 0;
    for (const Return &Each : Of.Returns_)
      Backlog += Each.Tokens_;
    const double Rate = rate(Of, PriorityClass(0), Now);
    if (Rate > 0)
      Base = std::clamp(seconds(std::min(60.0, Backlog / Rate)), MinRetryAfter, MaxRetryAfter);
  }
  const Duration After = std::chrono::duration_cast<Duration>(Base * (1 + RetryJitter * Draw));
  if (Found != Services_.end())
    Found->second.Returns_.push_back({Now + After, Tokens});
  return After;
}

std::map<std::pair<ServiceId, PriorityClass>, std::size_t>
StreamAdmissionQueue::sizeByClass() const {
  std::map<std::pair<ServiceId, PriorityClass>, std::size_t> Sizes;
  for (const auto &[Ticket, Each] : Waiting_)
    ++Sizes[{Each.Request_.Service_, Each.Request_.Priority_}];
  return Sizes;
}

} // namespace rattancart
