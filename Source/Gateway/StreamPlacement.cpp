#include "Gateway/StreamPlacement.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// A request that waits for a path is not offered again for this long to an engine whose limit left
/// no room for it. Each offer counts as demand there.
constexpr Duration LimitRetryInterval = milliseconds(400);

const char *shortageName(PathShortage Shortage) {
  switch (Shortage) {
  case PathShortage::NoFreeMemory:
    return "room";
  case PathShortage::LimitReached:
    return "limit";
  case PathShortage::NoWholeModel:
    break;
  }
  return "layers";
}

} // namespace

PathDemand StreamPlacement::demand() const {
  const CallerRequest &Caller = Routed_.Caller_;
  const LayeredModel &Model = *Routed_.Service_->Model_;
  double Answer = Caller.ExpectedAnswerTokens_.value_or(Model.MeanAnswerTokens_);
  if (Caller.MaxAnswerTokens_ > 0)
    Answer = std::min(Answer, Caller.MaxAnswerTokens_);
  const double Prompt = Caller.PromptTokens_ > 0 ? Caller.PromptTokens_ : Model.MeanPromptTokens_;
  return {Prompt, std::max(1.0, Answer), KeptShare_, isOrderedByClass()};
}

double StreamPlacement::tokens() const {
  const PathDemand Demand = demand();
  return Demand.PromptTokens_ + Demand.AnswerTokens_;
}

PriorityClass StreamPlacement::priorityClass() const {
  return PriorityClass(static_cast<PriorityClass::RepType>(Routed_.priority()));
}

bool StreamPlacement::isOrderedByClass() const {
  return Routed_.Config_->ordersByClass(Routed_.Service_->Id_);
}

void StreamPlacement::limitFirstEngines(TimePoint Now) {
  // An engine that was lost does not count towards the limit; one that left as planned does.
  const auto Counted = std::count_if(RanAt_.begin(), RanAt_.end(), [&](const EndpointId &Engine) {
    const EndpointRecord *Record = Context_.Roster_.find(Engine);
    return !Record || Record->Listing_.State_ != EndpointState::Live || !Record->lost(Now);
  });
  const bool Limited = Counted >= static_cast<std::ptrdiff_t>(Routed_.Route_->MaxAttempts_);
  Limits_.AllowedFirstEngines_ = Limited ? RanAt_ : std::set<EndpointId>();
}

PathChoice StreamPlacement::chooseAdmitted(bool Begun, TimePoint Now) {
  const std::uint32_t Priority = Begun ? 0 : Routed_.priority();
  if (Now >= LimitedUntil_)
    Limits_.LimitedFirstEngines_.clear();
  while (true) {
    PathChoice Choice = Context_.Paths_.choose(*Routed_.Service_->Model_, Routed_.Service_->Id_,
                                               demand(), Limits_, Context_.Random_, Now);
    if (!Choice.Path_)
      return Choice;
    const EndpointRecord *First = Context_.Roster_.find(Choice.Path_->Stages_.front().Engine_);
    if (MayUse_(*First, Priority))
      return Choice;
    Limits_.LimitedFirstEngines_.insert(First->Listing_.Id_);
    LimitedUntil_ = Now + LimitRetryInterval;
  }
}

void StreamPlacement::noteArrival() {
  if (isOrderedByClass())
    Context_.Reserve_.onArrival(Routed_.Service_->Id_, Routed_.priority(), tokens(),
                                Routed_.ArrivedAt_);
}

PathChoice StreamPlacement::choose(bool Begun, TimePoint Now) {
  limitFirstEngines(Now);
  KeptShare_ = Begun ? 0
                     : Context_.Reserve_.keptShare(Routed_.Service_->Id_, Routed_.priority(),
                                                   Now - Routed_.ArrivedAt_, Now);
  PathChoice Choice = chooseAdmitted(Begun, Now);
  Shortage_ = Choice.Shortage_;
  Bottleneck_ = Choice.Bottleneck_;
  if (Choice.DataCenter_ != Context_.Home_ && Context_.OnNoPathAtHome_)
    Context_.OnNoPathAtHome_();
  return Choice;
}

ReservedPath StreamPlacement::reserve(LayerPath Path, bool Begun, TimePoint Now) {
  ReservedPath Reserved{{std::move(Path)}, tokens()};
  // A stream that has begun takes the place of its lost memory, which tells nothing of what new
  // requests obtain.
  if (!Begun)
    Context_.AdmissionQueue_.onPlaced(Routed_.Service_->Id_, priorityClass(), tokens(), Now);
  for (const PathStage &Stage : Reserved.Stages_) {
    const double TokenLayers = Reserved.Tokens_ * (Stage.Layers_.End_ - Stage.Layers_.Begin_);
    Context_.Roster_.addOwnLoad(Stage.Engine_, 1, TokenLayers);
    Context_.Roster_.noteSent(Stage.Engine_, TokenLayers, Now);
  }
  return Reserved;
}

void StreamPlacement::onRejected(TimePoint Now) {
  Context_.AdmissionQueue_.onRejected(Routed_.Service_->Id_, priorityClass(), tokens(), Now);
}

void StreamPlacement::release(ReservedPath &Reserved) {
  for (const PathStage &Stage : Reserved.Stages_)
    Context_.Roster_.addOwnLoad(Stage.Engine_, -1,
                                -Reserved.Tokens_ * (Stage.Layers_.End_ - Stage.Layers_.Begin_));
  Reserved = {};
}

void StreamPlacement::logShortage(std::string_view Outcome) const {
  Context_.Log_.log(LogEvent::NoPath, {{"id", Routed_.Caller_.Id_.str()},
                                       {"class", Routed_.priority()},
                                       {"shortage", shortageName(Shortage_)},
                                       {"tokens", tokens()},
                                       {"layer", Bottleneck_.Layer_},
                                       {"engine", Bottleneck_.Engine_.str()},
                                       {"free", Bottleneck_.FreeTokens_},
                                       {"used", Bottleneck_.UsedTokens_},
                                       {"kept_share", KeptShare_},
                                       {"avoided", Limits_.ExcludedEngines_.size()},
                                       {"waiting", Context_.AdmissionQueue_.size()},
                                       {"outcome", Outcome}});
}

bool StreamPlacement::enterQueueBehindOthers() {
  Shortage_ = PathShortage::NoFreeMemory;
  return enqueue("room");
}

bool StreamPlacement::enterQueue() {
  return Shortage_ == PathShortage::NoFreeMemory && enqueue("room");
}

bool StreamPlacement::enterQueueForRetry() { return enqueue("retry"); }

bool StreamPlacement::enqueue(std::string_view Reason) {
  const TimePoint Now = Context_.Time_.now();
  StreamAdmissionRequest Request;
  Request.Ticket_ = Context_.NextTicket_;
  Request.Service_ = Routed_.Service_->Id_;
  Request.Customer_ = Routed_.Customer_ ? Routed_.Customer_->Id_ : CustomerId();
  Request.Priority_ = priorityClass();
  Request.Tokens_ = tokens();
  Request.ArrivedAt_ = Routed_.ArrivedAt_;
  Request.Objective_ = Routed_.Route_->Objective_;
  Request.GivesUpAt_ = Routed_.ArrivedAt_ + Routed_.Route_->firstEventTimeout();
  Request.OrderByClass_ = isOrderedByClass();
  ExpectedWait_ = Context_.AdmissionQueue_.expectedWait(Request, Now);
  if (!Context_.AdmissionQueue_.tryEnqueue(Request, Now))
    return false;
  Context_.NextTicket_ = Request.Ticket_.next();
  Ticket_ = Request.Ticket_;
  WaitingSince_ = Now;
  WaitReason_ = Reason;
  logShortage("waits");
  return true;
}

bool StreamPlacement::isNext(TimePoint Now) {
  return Ticket_ && Context_.AdmissionQueue_.isNext(*Ticket_, Now);
}

bool StreamPlacement::isWaitOver(TimePoint Now) const {
  return Now >= Context_.AdmissionQueue_.waitEnd(*Ticket_) ||
         Shortage_ == PathShortage::LimitReached;
}

void StreamPlacement::onNotPlaced(bool LacksRetry, TimePoint Now) {
  const bool Constrained = !Limits_.ExcludedEngines_.empty() ||
                           !Limits_.AllowedFirstEngines_.empty() ||
                           !Limits_.LimitedFirstEngines_.empty();
  if (LacksRetry || Constrained)
    Context_.AdmissionQueue_.defer(*Ticket_, Now);
  else
    Context_.AdmissionQueue_.onNotPlaced(*Ticket_, Now);
}

void StreamPlacement::leaveQueue() {
  if (Ticket_)
    leaveQueue("gone", Context_.Time_.now());
}

void StreamPlacement::leaveQueue(std::string_view Outcome, TimePoint Now) {
  const auto Ticket = std::exchange(Ticket_, std::nullopt);
  if (!Ticket)
    return;
  if (Outcome == "sent")
    Context_.AdmissionQueue_.take(*Ticket);
  else
    Context_.AdmissionQueue_.remove(*Ticket);
  const Duration Waited = Now - WaitingSince_;
  Context_.Metrics_.observe("queue_wait_seconds", Outcome, Waited);
  Context_.Metrics_.observe("queue_wait_by_class_seconds", std::to_string(Routed_.priority()),
                            Waited);
  Context_.Log_.log(LogEvent::QueueWaitEnded,
                    {{"id", Routed_.Caller_.Id_.str()},
                     {"class", Routed_.priority()},
                     {"reason", WaitReason_},
                     {"waited_ms", Waited / milliseconds(1)},
                     {"expected_ms", ExpectedWait_.value_or(Duration{}) / milliseconds(1)},
                     {"waiting", Context_.AdmissionQueue_.size()},
                     {"outcome", Outcome}});
}

Duration StreamPlacement::retryAfter(TimePoint Now) {
  return Context_.AdmissionQueue_.retryAfter(Routed_.Service_->Id_, tokens(),
                                             Context_.randomFraction(), Now);
}

} // namespace rattancart
