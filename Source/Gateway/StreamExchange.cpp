#include "Gateway/StreamExchange.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// Connecting to an engine takes a few ms; an engine whose host is unreachable is detected by this
/// timeout.
constexpr Duration ConnectTimeout = milliseconds(200);
/// When an engine refuses a request and its report is older than this, a new report is requested to
/// learn why.
constexpr Duration FreshReportAge = milliseconds(250);
/// Maximum number of resumes of a stream although all engines of its path answer.
constexpr std::uint32_t MaxUnexplainedResumes = 1;
/// Maximum number of sends of one request, refused ones included.
constexpr std::uint32_t MaxSends = 6;
/// A stream whose attempt has ended waits for another path, counted from its last progress, until
/// shortly before the caller would give up. A stream without any event waits only as long as its
/// first event could still be in time.
constexpr Duration ResumeTimeLimit = milliseconds(1600);
constexpr Duration FirstEventTimeLimit = milliseconds(450);
constexpr Duration ResumeInterval = milliseconds(75);
/// Range of the Retry-After when there is no path because layers are missing. A layer that no
/// engine holds is loaded again within two to four seconds.
constexpr Duration MinPathRetryAfter = milliseconds(1000);
constexpr Duration MaxPathRetryAfter = milliseconds(3000);
/// Range of the Retry-After when the limits of the engines leave no room.
constexpr Duration MinLimitRetryAfter = milliseconds(400);
constexpr Duration MaxLimitRetryAfter = milliseconds(1500);
constexpr Duration MinQuarantineRetryAfter = milliseconds(1000);
/// A request after which this many engines ended as they began to answer it is not sent again.
constexpr std::uint32_t MaxEngineEndsAtStart = 2;

const char *turnOutcomeName(TurnOutcome Outcome) {
  switch (Outcome) {
  case TurnOutcome::Granted:
    return "granted";
  case TurnOutcome::Taken:
    return "taken";
  case TurnOutcome::Unknown:
    break;
  }
  return "unknown";
}

std::string pathText(const LayerPath &Path) {
  std::string Text;
  for (const PathStage &Stage : Path.Stages_)
    Text += fmt::format("{}{}:{}-{}", Text.empty() ? "" : ",", Stage.Engine_.str(),
                        Stage.Layers_.Begin_, Stage.Layers_.End_);
  return Text;
}

} // namespace

void StreamExchange::begin() {
  LastEvent_ = Routed_.Caller_.LastEvent_;
  const auto Quarantined = quarantinedPart();
  if (Quarantined && Quarantined->TrialDue_ && Context_.Turns_ && !usesPeer())
    return requestTrial(*Quarantined);
  if (Quarantined)
    return refuseWithoutPath();
  place();
}

void StreamExchange::requestTrial(const QuarantinedPart &Part) {
  const TimePoint Now = Context_.Time_.now();
  Trial_ = Trial{Part.Part_, Part.LastTrial_, Now, false};
  Context_.Quarantine_.onTrialRequested(Part.Part_, Now);
  Context_.Turns_->claimTurn(
      Part.Part_.str(), Part.LastTrial_,
      [&Context = Context_, Part = Part.Part_,
       Weak = std::weak_ptr(std::static_pointer_cast<StreamExchange>(shared_from_this()))](
          const TurnClaim &Claim) {
        Context.Metrics_.count("prompt_trial_claims_total", turnOutcomeName(Claim.Outcome_));
        // Others need to know of a trial that is granted too late to be used as well.
        if (Claim.Outcome_ != TurnOutcome::Unknown)
          Context.Quarantine_.onTrialClaimed(Part, Claim.Turn_, Context.Time_.now());
        if (const auto Self = Weak.lock(); Self && !Self->ended() && Self->awaitsTrialClaim())
          Self->onTrialClaim(Claim);
      });
}

void StreamExchange::onTrialClaim(const TurnClaim &Claim) {
  if (Claim.Outcome_ != TurnOutcome::Granted || !isPermissionValid(Trial_->RequestedAt_))
    return endTrialRequest();
  Trial_->Turn_ = Claim.Turn_;
  Trial_->Granted_ = true;
  Context_.Log_.log(LogEvent::PromptTrialBegan, {{"id", Routed_.Caller_.Id_.str()},
                                                 {"part", Trial_->Part_.str()},
                                                 {"trial", Claim.Turn_.value()}});
  place();
}

void StreamExchange::endTrialRequest() {
  Trial_.reset();
  if (quarantinedPart())
    return refuseWithoutPath();
  // The trial of another request was answered meanwhile.
  place();
}

bool StreamExchange::isTrialOpen() const {
  if (!Trial_ || !Trial_->Granted_)
    return false;
  return Sends_ == 0 ? isPermissionValid(Trial_->RequestedAt_) : attemptIsLive();
}

void StreamExchange::logTrialEnd(std::string_view Outcome) {
  if (!Trial_ || !Trial_->Granted_)
    return;
  Context_.Metrics_.count("prompt_trials_total", Outcome);
  Context_.Log_.log(LogEvent::PromptTrialEnded, {{"id", Routed_.Caller_.Id_.str()},
                                                 {"part", Trial_->Part_.str()},
                                                 {"trial", Trial_->Turn_.value()},
                                                 {"outcome", Outcome}});
}

bool StreamExchange::mayStillBeSent(const Attempt &Sent) const {
  // A process that stood still may have missed that the next trial is another gateway's.
  if (Trial_ && !Started_ && !isPermissionValid(Sent.SentAt_))
    return false;
  return !quarantinedPart();
}

void StreamExchange::place() {
  // The memory at the engines, and who waits for it, is known where the request is forwarded to.
  if (usesPeer()) {
    if (!sendOnPath(/*Again=*/false))
      refuseWithoutPath();
    return;
  }
  Placement_.noteArrival();
  // Requests that are already queued go first.
  const TimePoint Now = Context_.Time_.now();
  if (Placement_.othersWait(Now)) {
    const bool Queued = Placement_.enterQueueBehindOthers();
    // A more urgent request may be the next one at once.
    if (Queued && Placement_.isOrderedByClass())
      return tryQueued(Now);
    if (Queued)
      return;
  }
  if (!sendOnPath(/*Again=*/false) && !Placement_.enterQueue())
    refuseWithoutPath();
}

bool StreamExchange::sendOnPeer(bool Again) {
  BudgetSpent_ = false;
  const auto Peer = choosePeer();
  if (!Peer)
    return false;
  if (Again && !DeclinedByPeer_ &&
      !tryTakeRetry(ResumeCause_.empty() ? "not_run" : ResumeCause_, retryPurpose())) {
    BudgetSpent_ = true;
    return false;
  }
  keepAttempt();
  resetAttempt(Context_.Time_.now());
  ForwardOptions Options = forwardOptions();
  Options.LastEvent_ = LastEvent_;
  Attempt_ = sendToPeer(
      *Peer, std::move(Options), Sends_ == 0 ? ConnectionUse::Pooled : ConnectionUse::Fresh,
      [this](const AttemptPtr &Sent, const HttpResult &Result) { onDone(Sent, Result); });
  followAttempt();
  return true;
}

void StreamExchange::resetAttempt(TimePoint Now) {
  Events_.reset();
  BytesSinceEvent_ = 0;
  FailureBody_.clear();
  FailureComplete_ = false;
  DeclinedByPeer_ = false;
  FirstSendToEngine_ = false;
  Monitor_.recordSent(Now);
}

void StreamExchange::followAttempt() {
  Attempt_->HeadHandler_ = [this, From = Attempt_.get()] { onHead(*From); };
  Attempt_->BodyHandler_ = [this, From = Attempt_.get()](std::string_view Data) {
    return onBody(*From, Data);
  };
}

bool StreamExchange::sendOnPath(bool Again) {
  if (usesPeer())
    return sendOnPeer(Again);
  const TimePoint Now = Context_.Time_.now();
  // A stream that has begun goes first.
  PathChoice Choice = Placement_.choose(Started_, Now);
  BudgetSpent_ = false;
  if (!Choice.Path_)
    return false;
  if (Again && !tryTakeRetry(ResumeCause_.empty() ? "not_run" : ResumeCause_, retryPurpose())) {
    BudgetSpent_ = true;
    return false;
  }
  keepAttempt();
  Path_ = Placement_.reserve(std::move(*Choice.Path_), Started_, Now);

  ForwardOptions Options = forwardOptions();
  Options.LastEvent_ = LastEvent_;
  for (const PathStage &Stage : Path_.Stages_) {
    Options.Path_.push_back(
        {Context_.Roster_.find(Stage.Engine_)->Listing_.Address_, Stage.Layers_});
    if (Context_.SlowStart_)
      Context_.SlowStart_->onSent(Stage.Engine_, Now);
  }
  resetAttempt(Now);
  const EndpointRecord *First = Context_.Roster_.find(Path_.Stages_.front().Engine_);
  FirstSendToEngine_ = Placement_.addFirstEngine(First->Listing_.Id_);
  Attempt_ =
      send(*First, std::move(Options), Sends_ == 0 ? ConnectionUse::Pooled : ConnectionUse::Fresh,
           ConnectTimeout,
           [this](const AttemptPtr &Sent, const HttpResult &Result) { onDone(Sent, Result); });
  followAttempt();
  logSend(Attempt_->Endpoint_,
          fmt::format("path {} in {}, reports up to {} ms old", pathText(Path_),
                      Choice.DataCenter_.str(), Choice.OldestReport_ / milliseconds(1)));
  logSuspect();
  return true;
}

void StreamExchange::logSuspect() {
  const auto Suspected =
      Context_.Quarantine_.mostSuspected(Routed_.Caller_.SharedPromptParts_, Context_.Time_.now());
  if (!Suspected)
    return;
  Context_.Log_.log(LogEvent::SuspectSent,
                    {{"id", Routed_.Caller_.Id_.str()},
                     {"endpoint", Attempt_->Endpoint_.str()},
                     {"part", Suspected->Part_.str()},
                     {"crashes", Suspected->Crashes_},
                     {"last_crash_ms", Suspected->SinceLastCrash_ / milliseconds(1)},
                     {"sends", Sends_}});
}

RetryPurpose StreamExchange::retryPurpose() const {
  const bool MayHaveRun =
      Started_ || MayHaveRun_ || !ResumeCause_.empty() || Routed_.Caller_.LastEvent_;
  return MayHaveRun ? RetryPurpose::AfterLoss : RetryPurpose::AfterRejection;
}

void StreamExchange::tryQueued(TimePoint Now) {
  // After a pause of the process, the caller may have given up. The wait that ends with a last try
  // is that of requests without an order by class.
  const bool Over = Placement_.isOrderedByClass() && Placement_.isWaitOver(Now);
  if (!Over && Placement_.isNext(Now)) {
    if (sendQueued(Now))
      return Placement_.leaveQueue("sent", Now);
    Placement_.onNotPlaced(BudgetSpent_, Now);
  }
  if (!Placement_.isWaitOver(Now))
    return;
  Placement_.leaveQueue("refused", Now);
  refuseWithoutPath();
}

bool StreamExchange::sendQueued(TimePoint Now) {
  const bool Again = Sends_ > 0;
  if (Again && !Context_.Retries_.mayRetry(Routed_.Service_->Id_, Now, retryPurpose())) {
    BudgetSpent_ = true;
    return false;
  }
  return sendOnPath(Again);
}

bool StreamExchange::waitForTurn() {
  if (attemptIsLive() || retryPurpose() != RetryPurpose::AfterRejection)
    return false;
  const bool Kept =
      BudgetSpent_ && Context_.Retries_.mayRetry(Routed_.Service_->Id_, Context_.Time_.now(),
                                                 RetryPurpose::AfterLoss);
  if (Kept)
    return Placement_.enterQueueForRetry();
  return Placement_.isOrderedByClass() && !BudgetSpent_ && Placement_.enterQueue();
}

Duration StreamExchange::quarantineRetryAfter(const QuarantinedPart &Part) {
  // Callers return after the trial, and not all at once.
  const Duration Least = std::max(Part.Remaining_, MinQuarantineRetryAfter);
  return randomDuration(Least, Least + Least / 4);
}

void StreamExchange::refuseWithoutPath() {
  if (const auto Quarantined = quarantinedPart())
    return refuse(503, ErrorCode::PromptQuarantined, quarantineRetryAfter(*Quarantined));
  if (BudgetSpent_)
    return refuse(503, ErrorCode::RetryBudgetSpent, Placement_.retryAfter(Context_.Time_.now()));
  Placement_.logShortage("refused");
  if (Placement_.shortage() == PathShortage::LimitReached)
    return refuse(503, ErrorCode::EndpointsLimited,
                  randomDuration(MinLimitRetryAfter, MaxLimitRetryAfter));
  const bool LacksMemory = Placement_.shortage() == PathShortage::NoFreeMemory;
  refuse(503, LacksMemory ? ErrorCode::Overloaded : ErrorCode::NoChain,
         LacksMemory ? Placement_.retryAfter(Context_.Time_.now())
                     : randomDuration(MinPathRetryAfter, MaxPathRetryAfter));
}

void StreamExchange::onHead(Attempt &From) {
  // Waiting for the end of such a stream would leave its caller without events for as long.
  if (From.Head_.Status_ == 200 && !mayPassOn(From.Head_.Status_, From.Info_)) {
    From.Rejected_ = true;
    return;
  }
  Monitor_.recordHead(Context_.Time_.now());
}

bool StreamExchange::carriesEvents(const Attempt &Sent) {
  return Sent.Head_.Status_ == 200 && Sent.Info_.EventStream_ &&
         mayPassOn(Sent.Head_.Status_, Sent.Info_);
}

bool StreamExchange::onBody(const Attempt &From, std::string_view Data) {
  if (&From != Attempt_.get())
    return onKeptBody(Data);
  if (!carriesEvents(*Attempt_)) {
    FailureBody_ += Data;
    return FailureBody_.size() <= Context_.ResponseLimits_.MaxBodyBytes_;
  }
  BytesSinceEvent_ += Data.size();
  Events_.feed(Data);
  return forwardEvents();
}

bool StreamExchange::onKeptBody(std::string_view Data) {
  if (!carriesEvents(*Kept_->Attempt_)) {
    Kept_->FailureBody_ += Data;
    return Kept_->FailureBody_.size() <= Context_.ResponseLimits_.MaxBodyBytes_;
  }
  Kept_->BytesSinceEvent_ += Data.size();
  Kept_->Events_.feed(Data);
  while (const auto Event = Kept_->Events_.next()) {
    if (Event->Malformed_) {
      Kept_->Attempt_->Rejected_ = true;
      return false;
    }
    // A stalled engine may send bytes, or comments, without making progress.
    if (!Event->Id_)
      continue;
    // The text belongs to the splitter, which moves.
    const std::string Text(Event->Text_);
    returnToKept();
    if (forwardEvent({Text, Event->Id_}))
      BytesSinceEvent_ = Events_.pendingBytes();
    return ended() || forwardEvents();
  }
  return Kept_->BytesSinceEvent_ <= Context_.ResponseLimits_.MaxEventBytes_;
}

bool StreamExchange::forwardEvents() {
  while (const auto Event = Events_.next()) {
    if (Event->Malformed_) {
      Attempt_->Rejected_ = true;
      return false;
    }
    const bool Numbered = forwardEvent(*Event);
    if (ended())
      return true;
    if (Numbered)
      BytesSinceEvent_ = Events_.pendingBytes();
  }
  return BytesSinceEvent_ <= Context_.ResponseLimits_.MaxEventBytes_;
}

bool StreamExchange::forwardEvent(const StreamEvent &Event) {
  if (Event.Id_ && LastEvent_ && *Event.Id_ <= *LastEvent_)
    return false;
  if (Event.Id_)
    LastEvent_ = Event.Id_;
  const TimePoint Now = Context_.Time_.now();
  endKept();
  if (std::exchange(ResumeUntil_, std::nullopt))
    logKept();
  if (const auto LostAt = std::exchange(PathLostAt_, std::nullopt))
    Context_.Metrics_.observe("resume_seconds", Routed_.Service_->Id_.str(), Now - *LostAt);
  Monitor_.recordEvent(Now);
  for (const PathStage &Stage : Path_.Stages_)
    Context_.Health_.noteActivity(Stage.Engine_);
  if (!std::exchange(Started_, true)) {
    Context_.Metrics_.observe("first_event_seconds", Routed_.Service_->Id_.str(),
                              Monitor_.firstEventAt() - Routed_.ArrivedAt_);
    Placement_.onFirstEvent(Monitor_.firstEventAt() - Attempt_->SentAt_);
    Context_.Quarantine_.onServed(Routed_.Caller_.SharedPromptParts_, Now);
    logTrialEnd("served");
    for (const PathStage &Stage : Path_.Stages_)
      noteAnswered(Stage.Engine_, Attempt_->SentAt_);
    Routed_.Responder_->startChunked(Context_.Protocol_.responseForCaller(Attempt_->Head_));
  }
  Routed_.Responder_->sendChunk(Event.Text_);
  if (Routed_.Responder_->queuedBytes() > Context_.ResponseLimits_.MaxQueuedBytes_)
    onCallerSlow();
  return Event.Id_.has_value();
}

void StreamExchange::onCallerSlow() {
  Context_.Log_.log(LogEvent::CallerSlow, {{"id", Routed_.Caller_.Id_.str()},
                                           {"queued_bytes", Routed_.Responder_->queuedBytes()},
                                           {"events", Monitor_.events()}});
  giveUp();
}

void StreamExchange::noteMemoryRefusal() {
  if (!Attempt_->Info_.NotRun_ || !Attempt_->Info_.FaultyEngine_)
    return;
  for (const PathStage &Stage : Path_.Stages_) {
    const EndpointRecord *Engine = Context_.Roster_.find(Stage.Engine_);
    if (Engine && Engine->Listing_.Address_ == *Attempt_->Info_.FaultyEngine_)
      Context_.Roster_.noteMemoryRefusal(
          Stage.Engine_, Path_.Tokens_ * (Stage.Layers_.End_ - Stage.Layers_.Begin_),
          Context_.Time_.now());
  }
}

void StreamExchange::onDone(const AttemptPtr &Sent, const HttpResult &Result) {
  if (Kept_ && Kept_->Attempt_ == Sent) {
    if (!isComplete(*Sent, Kept_->Events_, Result))
      return onKeptFailure(Result);
    returnToKept();
  }
  noteMemoryRefusal();
  Placement_.release(Path_);
  if (ended())
    return;
  FailureComplete_ = !Result.Error_;
  if (isComplete(*Attempt_, Events_, Result))
    return complete();
  logFailure(*Attempt_, Result);
  onFailure(Result);
}

bool StreamExchange::isComplete(const Attempt &Sent, const EventSplitter &Events,
                                const HttpResult &Result) const {
  return !Result.Error_ && Sent.HeadSeen_ && carriesEvents(Sent) && Events.pendingBytes() == 0 &&
         (Started_ || Routed_.Caller_.LastEvent_);
}

void StreamExchange::complete() {
  endKept();
  if (!Started_)
    Routed_.Responder_->startChunked(Context_.Protocol_.responseForCaller(Attempt_->Head_));
  Routed_.Responder_->finishChunked();
  finish(Resumes_ > 0 ? "served_resumed" : "served");
}

void StreamExchange::onPeerFailure(const HttpResult &Result) {
  notePeerFailure(*Attempt_, Result);
  const bool Answered = !Result.Error_ && Attempt_->Refusal_ == PeerRefusal::Final;
  if (Answered && !Started_ && !Kept_ && !MayHaveRun_)
    return sendPeerRefusal(*Attempt_, std::move(FailureBody_));
  const bool NotRun = !Result.BytesHandedOver_ || Attempt_->Info_.NotRun_;
  if (Kept_) {
    MayHaveRun_ = MayHaveRun_ || !NotRun;
    returnToKept();
  }
  DeclinedByPeer_ = !Result.BytesHandedOver_ || Attempt_->Refusal_ == PeerRefusal::Declined;
  // Waiting would not help: the other gateways reach no engine either.
  if (DeclinedByPeer_ && !Started_ && !attemptIsLive() && !choosePeer())
    return giveUp();
  continueElsewhere(!NotRun, NotRun ? "not_run" : "gateway_failed");
}

void StreamExchange::onFailure(const HttpResult &Result) {
  if (Attempt_->Peer_)
    return onPeerFailure(Result);
  const bool NotRun = !Result.BytesHandedOver_ || Attempt_->Info_.NotRun_;
  noteFailure(Result);
  if (NotRun && !Started_)
    Placement_.onRejected(Context_.Time_.now());
  if (NotRun && FirstSendToEngine_)
    Placement_.removeFirstEngine(Attempt_->Endpoint_);
  if (Kept_) {
    MayHaveRun_ = MayHaveRun_ || !NotRun;
    returnToKept();
  }
  continueElsewhere(!NotRun, NotRun ? "not_run" : "failed");
}

void StreamExchange::onKeptFailure(const HttpResult &Result) {
  const Attempt &Sent = *Kept_->Attempt_;
  logFailure(Sent, Result);
  if (Sent.Peer_)
    notePeerFailure(Sent, Result);
  else
    Placement_.exclude(Sent.Endpoint_);
  if (endedAtStart(Sent))
    checkCrashedEngine(Sent.Endpoint_);
  const bool NotRun = !Result.BytesHandedOver_ || Sent.Info_.NotRun_;
  MayHaveRun_ = MayHaveRun_ || !NotRun;
  if (NotRun && Kept_->FirstSendToEngine_ && Sent.Endpoint_ != Attempt_->Endpoint_)
    Placement_.removeFirstEngine(Sent.Endpoint_);
  Placement_.release(Kept_->Path_);
  Kept_.reset();
}

void StreamExchange::noteFailure(const HttpResult &Result) {
  // The retry budget or the limit of the engine no longer allowed the send, so no engine is at
  // fault.
  if (Result.Error_ == ErrorCode::Cancelled)
    return;
  const EndpointId First = Attempt_->Endpoint_;
  if (Attempt_->Info_.FaultyEngine_ && !Attempt_->AddressTaken_) {
    // The named engine may be lost, short of memory, or about to leave; its report shows which.
    if (const EndpointRecord *Engine =
            Context_.Roster_.findByAddress(*Attempt_->Info_.FaultyEngine_)) {
      Placement_.exclude(Engine->Listing_.Id_);
      noteAnswer(Engine->Listing_.Id_,
                 Attempt_->Info_.NotRun_ ? EndpointAnswer::Rejected : EndpointAnswer::Failed,
                 Attempt_->SentAt_);
      if (Attempt_->Info_.NotRun_)
        noteRefusal(*Engine);
      Context_.Health_.check({Engine->Listing_.Id_}, Attempt_->SentAt_,
                             [](const std::vector<EndpointId> &) {});
      return;
    }
  }
  Placement_.exclude(First);
  noteAnswer(First, Attempt_->Info_.NotRun_ ? EndpointAnswer::Rejected : EndpointAnswer::Failed,
             Attempt_->SentAt_);
  if (endedAtStart(*Attempt_))
    checkCrashedEngine(First);
  else if (Result.Error_)
    Context_.Health_.check({First}, Context_.Time_.now(), [](const std::vector<EndpointId> &) {});
}

bool StreamExchange::endedAtStart(const Attempt &Sent) const {
  return !Started_ && !Sent.Peer_ && Sent.HeadSeen_ && Sent.Head_.Status_ == 200;
}

void StreamExchange::checkCrashedEngine(const EndpointId &First) {
  const EndpointRecord *Engine = Context_.Roster_.find(First);
  const TimePoint Now = Context_.Time_.now();
  Context_.Health_.check(
      {First}, Now,
      [Self = std::static_pointer_cast<StreamExchange>(shared_from_this()), First,
       Leaving = !Engine || Engine->Listing_.State_ != EndpointState::Live,
       Run = Engine ? Engine->Listing_.Run_ : Incarnation(0),
       Now](const std::vector<EndpointId> &Silent) {
        const EndpointRecord *Found = Self->Context_.Roster_.find(First);
        const bool Restarted = Found && std::max(Found->Listing_.Run_, Found->Report_.Run_) > Run;
        // While the links of this process are in doubt, a missing answer says nothing of the
        // engine.
        const bool EngineEnded = Restarted || (!Silent.empty() && !Self->linksInDoubt());
        // A leaving engine ends as planned.
        if (EngineEnded && !Leaving)
          Self->noteCrash(First, Run, Now);
      });
}

bool StreamExchange::linksInDoubt() const {
  return Context_.Reach_ && Context_.Reach_->inDoubt(Routed_.Service_->Id_);
}

void StreamExchange::noteCrash(const EndpointId &Engine, Incarnation Run, TimePoint At) {
  const std::vector<PromptPartId> &Parts = Routed_.Caller_.SharedPromptParts_;
  ++EngineEndsAtStart_;
  logTrialEnd("crashed");
  const bool WasQuarantined = Context_.Quarantine_.find(Parts, At).has_value();
  Context_.Quarantine_.onCrash(Parts, Engine, Run, At);
  Context_.Metrics_.count("prompt_crashes_total", Routed_.Service_->Id_.str());
  std::string Text;
  for (const PromptPartId &Part : Parts)
    Text += fmt::format("{}{}:{}", Text.empty() ? "" : ",", Part.str(),
                        Context_.Quarantine_.crashCount(Part));
  Context_.Log_.log(LogEvent::EngineEndedAtStart, {{"endpoint", Engine.str()},
                                                   {"id", Routed_.Caller_.Id_.str()},
                                                   {"run", Run.value()},
                                                   {"sends", Sends_},
                                                   {"parts", Text}});
  const auto Quarantined = Context_.Quarantine_.find(Parts, At);
  if (Quarantined && !WasQuarantined)
    Context_.Log_.log(LogEvent::PromptQuarantined,
                      {{"part", Quarantined->Part_.str()},
                       {"crashes", Context_.Quarantine_.crashCount(Quarantined->Part_)},
                       {"hold_ms", Quarantined->Remaining_ / milliseconds(1)}});
}

std::optional<QuarantinedPart> StreamExchange::quarantinedPart() const {
  // The parts of a stream that has begun are sound.
  if (Started_ || isTrialOpen())
    return std::nullopt;
  return Context_.Quarantine_.find(Routed_.Caller_.SharedPromptParts_, Context_.Time_.now());
}

void StreamExchange::noteRefusal(const EndpointRecord &Engine) {
  const TimePoint Now = Context_.Time_.now();
  Context_.Log_.log(LogEvent::EndpointRefused,
                    {{"endpoint", Engine.Listing_.Id_.str()},
                     {"id", Routed_.Caller_.Id_.str()},
                     {"state", static_cast<int>(Engine.Listing_.State_)},
                     {"used", Engine.Report_.UsedTokenLayers_},
                     {"own", Engine.OwnTokenLayers_},
                     {"total", Engine.Report_.TotalTokenLayers_},
                     {"waiting", Engine.Report_.Waiting_},
                     {"report_age_ms", (Now - Engine.ReportedAt_) / milliseconds(1)}});
  if (Now - Engine.ReportedAt_ > FreshReportAge)
    Context_.Health_.suspect(Engine.Listing_.Id_);
  if (!Context_.Roster_.noteRefusal(Engine.Listing_.Id_, Now))
    return;
  Context_.Metrics_.count("declines_total", Engine.Listing_.DataCenter_.str());
  Context_.Log_.log(LogEvent::EndpointDeclines,
                    {{"endpoint", Engine.Listing_.Id_.str()},
                     {"id", Routed_.Caller_.Id_.str()},
                     {"status", Attempt_->Head_.Status_},
                     {"used", Engine.Report_.UsedTokenLayers_},
                     {"total", Engine.Report_.TotalTokenLayers_},
                     {"report_age_ms", (Now - Engine.ReportedAt_) / milliseconds(1)},
                     {"hold_ms", Engine.DeclineBackoff_ / milliseconds(1)}});
}

void StreamExchange::continueElsewhere(bool MayHaveRun, std::string_view Cause) {
  // An attempt that is kept may still end with the statement that it did not run.
  MayHaveRun_ = MayHaveRun_ || (MayHaveRun && !attemptIsLive());
  if (Started_ && MayHaveRun && !PathLostAt_)
    PathLostAt_ = Context_.Time_.now();
  ResumeCause_ = MayHaveRun ? Cause : std::string_view();
  if (mayResend() && resend())
    return;
  if (!mayResend() && !attemptIsLive())
    return giveUp();
  if (mayResend() && waitForTurn())
    return;
  // It must not pass those that wait by trying over and over.
  const bool Rejected = !attemptIsLive() && retryPurpose() == RetryPurpose::AfterRejection;
  if (Rejected && Placement_.isOrderedByClass() && Placement_.othersWait(Context_.Time_.now()))
    return giveUp();
  // Within about a second, a lost layer is loaded again and memory and retry budget become
  // available.
  ResumeUntil_ = Monitor_.progressAt() + (Started_ ? ResumeTimeLimit : FirstEventTimeLimit);
  NextResumeAt_ = Context_.Time_.now() + ResumeInterval;
}

bool StreamExchange::mayResend() const {
  const bool MayRunTwice = MayHaveRun_ || attemptIsLive();
  // A trial is one send.
  if (Trial_ && !Started_)
    return false;
  return (!MayRunTwice || Routed_.Route_->isRetryable()) && Sends_ < MaxSends &&
         EngineEndsAtStart_ < MaxEngineEndsAtStart && !quarantinedPart() && timeLeft() > Duration{};
}

bool StreamExchange::pathMayWork(TimePoint Now) const {
  return attemptIsLive() &&
         std::none_of(Path_.Stages_.begin(), Path_.Stages_.end(), [&](const PathStage &Stage) {
           const auto *Engine = Context_.Roster_.find(Stage.Engine_);
           // An engine that has left the list serves on for a
           // while.
           return Engine && Engine->lost(Now);
         });
}

bool StreamExchange::resend() {
  const bool Sent = sendOnPath(/*Again=*/true);
  if (!Sent || ResumeCause_.empty())
    return Sent;
  ++Resumes_;
  Context_.Metrics_.count("resumes_total", ResumeCause_);
  Context_.Log_.log(LogEvent::StreamResumed, {{"id", Routed_.Caller_.Id_.str()},
                                              {"cause", ResumeCause_},
                                              {"events", Monitor_.events()},
                                              {"last_event", LastEvent_.value_or(0)}});
  return true;
}

void StreamExchange::tryResume(TimePoint Now) {
  if (Now < NextResumeAt_)
    return;
  NextResumeAt_ = Now + ResumeInterval;
  if (mayResend() && resend()) {
    ResumeUntil_.reset();
    return;
  }
  // Engines that are silent or no longer listed may still send the rest of a stream; until they end
  // it, the caller decides how long to wait.
  const bool Kept = Started_ ? attemptIsLive() : pathMayWork(Now);
  if (Now > *ResumeUntil_ && !Kept)
    giveUp();
}

void StreamExchange::giveUp() {
  ResumeUntil_.reset();
  endKept();
  endAttempt();
  if (Started_) {
    cancelAttempts();
    Routed_.Responder_->abort();
    return finish("cut");
  }
  if (MayHaveRun_ && FailureComplete_ && Attempt_ && Attempt_->HeadSeen_ &&
      Attempt_->Head_.Status_ >= 400 && mayPassOn(Attempt_->Head_.Status_, Attempt_->Info_)) {
    HttpResponse Answer = Context_.Protocol_.responseForCaller(Attempt_->Head_);
    Answer.Body_ = std::move(FailureBody_);
    Routed_.Responder_->send(std::move(Answer));
    return finish("endpoint_failure");
  }
  if (MayHaveRun_)
    return refuse(502, ErrorCode::StageFailed, std::nullopt);
  refuseWithoutPath();
}

void StreamExchange::tick(TimePoint Now) {
  if (ended())
    return;
  if (awaitsTrialClaim()) {
    if (!isPermissionValid(Trial_->RequestedAt_))
      endTrialRequest();
    return;
  }
  // An engine that has not begun the answer yet would crash too.
  if (quarantinedPart())
    return giveUp();
  if (Placement_.waits())
    return tryQueued(Now);
  if (ResumeUntil_)
    return tryResume(Now);
  if (!Attempt_ || !Attempt_->Live_ || Checking_ || !Monitor_.isCheckDue(Now))
    return;
  if (Attempt_->Peer_)
    return checkPeer(Now);
  checkPath();
}

void StreamExchange::checkPeer(TimePoint Now) {
  // The other gateway replaces engines that are lost, so the gateway itself is in doubt.
  if (!Monitor_.isConnectionLost(Now) || UnexplainedResumes_ >= MaxUnexplainedResumes)
    return;
  ++UnexplainedResumes_;
  Context_.Peers_->onLost(*Attempt_->Peer_, Now);
  leavePath({}, "gateway_silent");
}

void StreamExchange::checkPath() {
  std::vector<EndpointId> Engines;
  for (const PathStage &Stage : Path_.Stages_)
    Engines.push_back(Stage.Engine_);
  Checking_ = true;
  Context_.Health_.check(Engines, Monitor_.evidenceSince(),
                         [Self = std::static_pointer_cast<StreamExchange>(shared_from_this()),
                          Checked = Attempt_](const std::vector<EndpointId> &Silent) {
                           Self->Checking_ = false;
                           if (!Self->ended() && Self->Attempt_ == Checked && Checked->Live_)
                             Self->onChecked(Silent);
                         });
}

std::vector<EndpointId> StreamExchange::stalledEngines() const {
  std::vector<EndpointId> Stalled;
  const EndpointRecord *First = Context_.Roster_.find(Path_.Stages_.front().Engine_);
  if (!First || First->ReportedAt_ < Monitor_.silentSince())
    return Stalled;
  for (const PathStage &Stage : Path_.Stages_) {
    const EndpointRecord *Engine = Context_.Roster_.find(Stage.Engine_);
    const auto &Named = First->Report_.Stalled_;
    if (Engine && std::find(Named.begin(), Named.end(), Engine->Listing_.Address_) != Named.end())
      Stalled.push_back(Stage.Engine_);
  }
  return Stalled;
}

void StreamExchange::onChecked(const std::vector<EndpointId> &Silent) {
  const TimePoint Now = Context_.Time_.now();
  if (!Monitor_.isCheckDue(Now))
    return;
  std::vector<EndpointId> Lost = Silent;
  if (Lost.empty())
    Lost = stalledEngines();
  Context_.Log_.log(LogEvent::StreamSilent,
                    {{"id", Routed_.Caller_.Id_.str()},
                     {"quiet_ms", Monitor_.silenceDuration(Now) / milliseconds(1)},
                     {"events", Monitor_.events()},
                     {"silent_engines", Silent.size()},
                     {"lost", Lost.empty() ? std::string("-") : Lost.front().str()}});
  const bool ConnectionLost =
      Lost.empty() && Monitor_.isConnectionLost(Now) && UnexplainedResumes_ < MaxUnexplainedResumes;
  if (Lost.empty() && !ConnectionLost) {
    Monitor_.recordEnginesAlive(Now);
    return;
  }
  if (ConnectionLost)
    ++UnexplainedResumes_;
  leavePath(Lost, ConnectionLost ? "connection_silent" : "engine_silent");
}

void StreamExchange::onEngineSilent(const EndpointId &Engine) {
  if (ended() || !Attempt_ || !Attempt_->Live_)
    return;
  const bool OnPath = std::any_of(Path_.Stages_.begin(), Path_.Stages_.end(),
                                  [&](const PathStage &Stage) { return Stage.Engine_ == Engine; });
  if (OnPath)
    leavePath({Engine}, "engine_silent");
}

void StreamExchange::leavePath(const std::vector<EndpointId> &Lost, std::string_view Cause) {
  for (const EndpointId &Engine : Lost)
    Placement_.exclude(Engine);
  // The engine may answer again, so the path is kept until there is another one.
  if (!ResumeUntil_)
    continueElsewhere(true, Cause);
}

void StreamExchange::endAttempt() {
  if (!attemptIsLive())
    return;
  MayHaveRun_ = true;
  cancelAttempt(Attempt_);
  Placement_.release(Path_);
}

void StreamExchange::keepAttempt() {
  if (Kept_)
    return endAttempt();
  if (!attemptIsLive())
    return;
  Kept_ =
      KeptAttempt{Attempt_,           std::exchange(Path_, {}), FirstSendToEngine_,
                  std::move(Events_), BytesSinceEvent_,         std::exchange(FailureBody_, {})};
}

void StreamExchange::returnToKept() {
  endAttempt();
  Attempt_ = std::move(Kept_->Attempt_);
  Path_ = std::move(Kept_->Path_);
  FirstSendToEngine_ = Kept_->FirstSendToEngine_;
  Events_ = std::move(Kept_->Events_);
  BytesSinceEvent_ = Kept_->BytesSinceEvent_;
  FailureBody_ = std::move(Kept_->FailureBody_);
  FailureComplete_ = false;
  Kept_.reset();
  logKept();
}

void StreamExchange::endKept() {
  if (!Kept_)
    return;
  MayHaveRun_ = true;
  cancelAttempt(Kept_->Attempt_);
  Placement_.release(Kept_->Path_);
  Kept_.reset();
}

void StreamExchange::logKept() {
  Context_.Log_.log(LogEvent::StreamKept,
                    {{"id", Routed_.Caller_.Id_.str()},
                     {"cause", ResumeCause_},
                     {"quiet_ms", Monitor_.silenceDuration(Context_.Time_.now()) / milliseconds(1)},
                     {"events", Monitor_.events()}});
}

void StreamExchange::cancelAttempts() {
  Placement_.leaveQueue();
  endKept();
  endAttempt();
}

std::string StreamExchange::endDetail() const {
  if (!Started_)
    return "no event";
  return fmt::format("first event after {} ms, {} events, longest pause {} ms after {}, resumed {}",
                     (Monitor_.firstEventAt() - Routed_.ArrivedAt_) / milliseconds(1),
                     Monitor_.events(), Monitor_.longestPause() / milliseconds(1),
                     Monitor_.eventsBeforePause(), Resumes_);
}

void StreamExchange::endEarly(ErrorCode Reason) {
  if (Started_)
    return giveUp();
  // A request that only waited has not run and never will.
  if (Reason == ErrorCode::ShuttingDown && (Placement_.waits() || awaitsTrialClaim()) &&
      !MayHaveRun_)
    return refuse(503, Reason, Placement_.retryAfter(Context_.Time_.now()));
  cancelAttempts();
  refuse(504, Reason, std::nullopt);
}

} // namespace rattancart
