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
  return {Prompt, std::max(1.0, Answer)};
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

PathChoice StreamPlacement::chooseAdmitted(std::uint32_t Priority, TimePoint Now) {
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

PathChoice StreamPlacement::choose(std::uint32_t Priority, TimePoint Now) {
  limitFirstEngines(Now);
  PathChoice Choice = chooseAdmitted(Priority, Now);
  Shortage_ = Choice.Shortage_;
  Bottleneck_ = Choice.Bottleneck_;
  if (Choice.DataCenter_ != Context_.Home_ && Context_.OnNoPathAtHome_)
    Context_.OnNoPathAtHome_();
  return Choice;
}

ReservedPath StreamPlacement::reserve(LayerPath Path, TimePoint Now) {
  const PathDemand Demand = demand();
  ReservedPath Reserved{{std::move(Path)}, Demand.PromptTokens_ + Demand.AnswerTokens_};
  for (const PathStage &Stage : Reserved.Stages_) {
    const double TokenLayers = Reserved.Tokens_ * (Stage.Layers_.End_ - Stage.Layers_.Begin_);
    Context_.Roster_.addOwnLoad(Stage.Engine_, 1, TokenLayers);
    Context_.Roster_.noteSent(Stage.Engine_, TokenLayers, Now);
  }
  return Reserved;
}

void StreamPlacement::release(ReservedPath &Reserved) {
  if (!Reserved.Stages_.empty())
    Context_.AdmissionQueue_.onMemoryFreed(Context_.Time_.now());
  for (const PathStage &Stage : Reserved.Stages_)
    Context_.Roster_.addOwnLoad(Stage.Engine_, -1,
                                -Reserved.Tokens_ * (Stage.Layers_.End_ - Stage.Layers_.Begin_));
  Reserved = {};
}

void StreamPlacement::logShortage(std::string_view Outcome) const {
  const PathDemand Demand = demand();
  Context_.Log_.log(LogEvent::NoPath, {{"id", Routed_.Caller_.Id_.str()},
                                       {"shortage", shortageName(Shortage_)},
                                       {"tokens", Demand.PromptTokens_ + Demand.AnswerTokens_},
                                       {"layer", Bottleneck_.Layer_},
                                       {"engine", Bottleneck_.Engine_.str()},
                                       {"free", Bottleneck_.FreeTokens_},
                                       {"used", Bottleneck_.UsedTokens_},
                                       {"avoided", Limits_.ExcludedEngines_.size()},
                                       {"waiting", Context_.AdmissionQueue_.size()},
                                       {"outcome", Outcome}});
}

bool StreamPlacement::enterQueueBehindOthers() {
  if (Context_.AdmissionQueue_.size() == 0)
    return false;
  Shortage_ = PathShortage::NoFreeMemory;
  return enterQueue();
}

bool StreamPlacement::enterQueue() {
  if (Shortage_ != PathShortage::NoFreeMemory)
    return false;
  const TimePoint Now = Context_.Time_.now();
  const PathDemand Demand = demand();
  const AdmissionTicket Ticket = Context_.NextTicket_;
  Context_.NextTicket_ = Ticket.next();
  const CustomerId Customer = Routed_.Customer_ ? Routed_.Customer_->Id_ : CustomerId();
  if (!Context_.AdmissionQueue_.tryEnqueue(
          Ticket, Customer, PriorityClass(static_cast<PriorityClass::RepType>(Routed_.priority())),
          Demand.PromptTokens_ + Demand.AnswerTokens_, Now))
    return false;
  Ticket_ = Ticket;
  WaitUntil_ = Now + Context_.AdmissionQueue_.options().MaxWait_;
  logShortage("waits");
  return true;
}

bool StreamPlacement::isNext(TimePoint Now) {
  return Ticket_ && Context_.AdmissionQueue_.isNext(*Ticket_, Now);
}

bool StreamPlacement::isWaitOver(TimePoint Now) const {
  return Now >= WaitUntil_ || Shortage_ == PathShortage::LimitReached;
}

void StreamPlacement::leaveQueue() {
  if (const auto Ticket = std::exchange(Ticket_, std::nullopt))
    Context_.AdmissionQueue_.remove(*Ticket);
}

void StreamPlacement::leaveQueue(std::string_view Outcome, TimePoint Now) {
  const Duration Waited = Now - (WaitUntil_ - Context_.AdmissionQueue_.options().MaxWait_);
  Context_.Metrics_.observe("queue_wait_seconds", Outcome, Waited);
  leaveQueue();
}

} // namespace rattancart
