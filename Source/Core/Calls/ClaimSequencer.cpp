#include "Core/Calls/ClaimSequencer.h"

#include "Core/Common/ErrorCode.h"
#include "Core/Common/Hash.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace rattancart {

namespace {

/// Estimate of the JSON around the texts of one item, in bytes.
constexpr std::size_t ItemOverheadBytes = 40;
/// Tail samples in one deduplication window.
constexpr int SamplesPerWindow = 64;
constexpr Duration MinSampleInterval = std::chrono::milliseconds(100);
/// The jitter of a snapshot's time is at most the interval divided by this.
constexpr int SnapshotJitterDivisor = 4;
/// The minimum pause between two snapshots is the interval divided by this.
constexpr int SnapshotPauseDivisor = 256;

std::size_t estimatedSize(const ClaimItem &Item) {
  return Item.Call_.str().size() + Item.Key_.str().size() + Item.Body_.size() + ItemOverheadBytes;
}

ClaimOutcome::State outcomeState(ClaimDecision::State State) {
  switch (State) {
  case ClaimDecision::State::Won:
    return ClaimOutcome::State::Won;
  case ClaimDecision::State::Lost:
    return ClaimOutcome::State::Lost;
  case ClaimDecision::State::Done:
    return ClaimOutcome::State::Done;
  case ClaimDecision::State::NotEligible:
  case ClaimDecision::State::Open:
    break;
  }
  return ClaimOutcome::State::NotEligible;
}

} // namespace

ClaimSequencer::ClaimSequencer(std::string Writer, SequencerOptions Options)
    : Writer_(std::move(Writer)), Options_(Options) {}

void ClaimSequencer::load(LoadedClaims Loaded, TimePoint Now) {
  Table_ = std::move(Loaded.Table_);
  LastSnapshot_ = Loaded.Snapshot_;
  Loaded_ = true;
  LogReachable_ = true;
  UnknownSchema_ = false;
  TailSamples_.clear();
  for (const TailObservation &Observation : Loaded.TailObservations_)
    TailSamples_.push_back(
        {Observation.Tail_, Now - Observation.Age_, Now - Observation.Age_, true});
  LastSnapshotAt_ = Now;
  BatchesSinceSnapshot_ = 0;
  SnapshotParts_.clear();
  std::vector<RequestId> Calls;
  for (const auto &[Call, Entry] : TrackedClaims_)
    Calls.push_back(Call);
  for (const RequestId &Call : Calls)
    resolve(Call);
}

void ClaimSequencer::unload(TimePoint Now) {
  Loaded_ = false;
  onReadFailed(Now);
}

void ClaimSequencer::reply(const RequestId &Call, ClaimOutcome::State State) {
  ClaimOutcome Outcome;
  Outcome.State_ = State;
  Replies_.push_back({Call, std::move(Outcome)});
}

void ClaimSequencer::replyDecision(const RequestId &Call, const ClaimDecision &Decision) {
  ClaimOutcome Outcome;
  Outcome.State_ = outcomeState(Decision.State_);
  Outcome.Offset_ = Decision.Offset_;
  Outcome.Status_ = Decision.Status_;
  Outcome.Body_ = Decision.Body_;
  Replies_.push_back({Call, std::move(Outcome)});
}

void ClaimSequencer::claim(const ClaimItem &Item, TimePoint Now) {
  const auto It = TrackedClaims_.find(Item.Call_);
  if (It != TrackedClaims_.end() && !It->second.AnsweredUnavailable_) {
    // The router asks again over a new link, so a Lost that was sent over the old one is repeated.
    if (It->second.State_ == TrackingState::Lost)
      reply(Item.Call_, ClaimOutcome::State::Lost);
    return;
  }
  const bool IsFull =
      It == TrackedClaims_.end() && TrackedClaims_.size() >= Options_.MaxTrackedClaims_;
  if (!Loaded_ || IsFull) {
    ++Stats_.Unavailable_;
    reply(Item.Call_, ClaimOutcome::State::Unavailable);
    return;
  }
  if (It != TrackedClaims_.end()) {
    It->second.AnsweredUnavailable_ = false;
    It->second.Since_ = Now;
    return;
  }
  TrackedClaims_.emplace(Item.Call_, TrackedClaim{Item, TrackingState::Queued, Now, {}, false});
  TrackedByKey_[Item.Key_].push_back(Item.Call_);
  // If the log has decided the claim already, a record of it would change nothing.
  if (resolve(Item.Call_))
    return;
  if (LogReachable_)
    enqueue(Item, Now);
  else
    answerUnavailable(Item.Call_);
}

bool ClaimSequencer::close(const ClaimItem &Item, TimePoint Now) {
  if (Closes_.size() >= Options_.MaxCloses_)
    return false;
  if (!Closes_.emplace(Item.Call_, PendingClose{Item, true, {}}).second)
    return true;
  enqueue(Item, Now);
  return true;
}

void ClaimSequencer::enqueue(const ClaimItem &Item, TimePoint Now) {
  if (Pending_.empty())
    BatchDueAt_ = Now + Options_.Linger_;
  Pending_.push_back(Item);
}

bool ClaimSequencer::resolve(const RequestId &Call) {
  const auto It = TrackedClaims_.find(Call);
  if (It == TrackedClaims_.end())
    return true;
  TrackedClaim &Entry = It->second;
  const ClaimDecision Decision = Table_.decisionFor(Call, Entry.Item_.Key_, Entry.Item_.Position_);
  switch (Decision.State_) {
  case ClaimDecision::State::Open:
    return false;
  case ClaimDecision::State::Lost:
    if (Entry.State_ != TrackingState::Lost && !Entry.AnsweredUnavailable_) {
      ++Stats_.Lost_;
      replyDecision(Call, Decision);
    }
    Entry.State_ = TrackingState::Lost;
    return true;
  case ClaimDecision::State::Won:
    ++(Entry.AnsweredUnavailable_ ? Stats_.LateWins_ : Stats_.Won_);
    replyDecision(Call, Decision);
    break;
  case ClaimDecision::State::NotEligible:
  case ClaimDecision::State::Done:
    ++(Decision.State_ == ClaimDecision::State::Done ? Stats_.AnsweredDone_ : Stats_.NotEligible_);
    if (!Entry.AnsweredUnavailable_)
      replyDecision(Call, Decision);
    break;
  }
  stopTracking(Call);
  return true;
}

void ClaimSequencer::resolveKey(const IdempotencyKey &Key) {
  const auto It = TrackedByKey_.find(Key);
  if (It == TrackedByKey_.end())
    return;
  const std::vector<RequestId> Calls = It->second;
  for (const RequestId &Call : Calls)
    resolve(Call);
}

void ClaimSequencer::stopTracking(const RequestId &Call) {
  const auto It = TrackedClaims_.find(Call);
  if (It == TrackedClaims_.end())
    return;
  const auto KeyIt = TrackedByKey_.find(It->second.Item_.Key_);
  if (KeyIt != TrackedByKey_.end()) {
    std::erase(KeyIt->second, Call);
    if (KeyIt->second.empty())
      TrackedByKey_.erase(KeyIt);
  }
  TrackedClaims_.erase(It);
}

void ClaimSequencer::answerUnavailable(const RequestId &Call) {
  const auto It = TrackedClaims_.find(Call);
  if (It == TrackedClaims_.end() || It->second.AnsweredUnavailable_)
    return;
  ++Stats_.Unavailable_;
  reply(Call, ClaimOutcome::State::Unavailable);
  // RetryAt_ is set if an earlier append of the claim may have taken effect.
  const bool MayWin =
      It->second.State_ != TrackingState::Queued || It->second.RetryAt_ != TimePoint{};
  Replies_.back().Outcome_.MayStillWin_ = MayWin;
  if (MayWin)
    It->second.AnsweredUnavailable_ = true;
  else
    stopTracking(Call);
}

void ClaimSequencer::answerQueuedUnavailable() {
  std::erase_if(Pending_, [this](const ClaimItem &Item) {
    if (Item.Kind_ != ClaimItem::Kind::Claim)
      return false;
    answerUnavailable(Item.Call_);
    return true;
  });
}

void ClaimSequencer::onPageRead(const std::vector<StreamRecord> &Records, LogOffset First,
                                LogOffset Next, TimePoint StartedAt, TimePoint Now) {
  LogReachable_ = true;
  First_ = First;
  for (const StreamRecord &Record : Records) {
    processRecord(Record, Now);
    if (UnknownSchema_)
      return;
  }
  if (Loaded_ && Table_.tail() >= Next)
    sampleTail(Next, StartedAt, Now);
}

void ClaimSequencer::processRecord(const StreamRecord &Record, TimePoint Now) {
  if (Record.Offset_ < Table_.tail())
    return;
  ++Stats_.RecordsRead_;
  const Result<ClaimRecord> Decoded = decodeClaimRecord(Record.Body_);
  if (!Decoded && Decoded.error().Code_ == ErrorCode::UnknownSchema) {
    UnknownSchema_ = true;
    unload(Now);
    return;
  }
  if (!Decoded) {
    ++Stats_.RecordsMalformed_;
    Table_.skip(Record.Offset_);
    return;
  }
  Table_.apply(Record.Offset_, *Decoded);
  for (const ClaimItem &Item : Decoded->Items_)
    processItem(Item);
  if (!Decoded->Items_.empty())
    ++BatchesSinceSnapshot_;
  if (Decoded->Forget_)
    LastForgetAt_ = Now;
  if (Decoded->Snapshot_)
    trackSnapshot(Record.Offset_, *Decoded->Snapshot_, Now);
}

void ClaimSequencer::processItem(const ClaimItem &Item) {
  if (Item.Kind_ != ClaimItem::Kind::Claim) {
    Closes_.erase(Item.Call_);
    resolveKey(Item.Key_);
    return;
  }
  if (resolve(Item.Call_)) {
    // Other claims of the key that are still queued can be answered without an append.
    resolveKey(Item.Key_);
    return;
  }
  // The claim was read and did not win although the key is not held, so it can never win.
  const auto It = TrackedClaims_.find(Item.Call_);
  if (!It->second.AnsweredUnavailable_)
    reply(Item.Call_, ClaimOutcome::State::NotEligible);
  stopTracking(Item.Call_);
}

void ClaimSequencer::trackSnapshot(LogOffset Offset, const ClaimSnapshotPart &Part, TimePoint Now) {
  if (Part.Id_ != SnapshotId_) {
    SnapshotId_ = Part.Id_;
    SnapshotBegin_ = Offset;
    SnapshotPartsSeen_ = 0;
  }
  if (++SnapshotPartsSeen_ < Part.Parts_)
    return;
  LastSnapshot_ = std::min(SnapshotBegin_, Part.Image_.Tail_);
  LastSnapshotAt_ = Now;
  BatchesSinceSnapshot_ = 0;
}

void ClaimSequencer::onReadFailed(TimePoint) {
  LogReachable_ = false;
  answerQueuedUnavailable();
}

void ClaimSequencer::onAppended(TimePoint) {
  Appending_ = false;
  LogReachable_ = true;
  InFlight_.clear();
}

void ClaimSequencer::onAppendFailed(bool MayHaveTakenEffect, TimePoint Now) {
  Appending_ = false;
  ++(MayHaveTakenEffect ? Stats_.AppendsUnknown_ : Stats_.AppendsFailed_);
  SnapshotParts_.clear();
  for (const ClaimItem &Item : std::exchange(InFlight_, {})) {
    if (Item.Kind_ != ClaimItem::Kind::Claim) {
      const auto It = Closes_.find(Item.Call_);
      if (It == Closes_.end())
        continue;
      It->second.Queued_ = false;
      It->second.RetryAt_ = Now + Options_.RetryAfter_;
      continue;
    }
    const auto It = TrackedClaims_.find(Item.Call_);
    if (It == TrackedClaims_.end() || It->second.State_ != TrackingState::Appended)
      continue;
    if (MayHaveTakenEffect) {
      It->second.State_ = TrackingState::AppendUnknown;
      It->second.RetryAt_ = Now + Options_.RetryAfter_;
    } else if (It->second.RetryAt_ == TimePoint{}) {
      // No append of this claim can have taken effect.
      It->second.State_ = TrackingState::Queued;
      answerUnavailable(Item.Call_);
    } else {
      It->second.State_ = TrackingState::AppendUnknown;
      answerUnavailable(Item.Call_);
    }
  }
  if (!MayHaveTakenEffect)
    onReadFailed(Now);
}

void ClaimSequencer::tick(TimePoint Now) {
  std::vector<RequestId> TimedOut;
  std::vector<RequestId> Expired;
  for (auto &[Call, Entry] : TrackedClaims_) {
    const Duration Age = Now - Entry.Since_;
    if (Age > Options_.MaxTrackingTime_)
      Expired.push_back(Call);
    else if (Entry.State_ == TrackingState::Lost || Entry.AnsweredUnavailable_)
      continue;
    else if (Age > Options_.ClaimTimeout_)
      TimedOut.push_back(Call);
    else if (Entry.State_ == TrackingState::AppendUnknown && Now >= Entry.RetryAt_ &&
             isAvailable()) {
      // RetryAt_ stays set, since the first append may still take effect.
      Entry.State_ = TrackingState::Queued;
      enqueue(Entry.Item_, Now);
    }
  }
  for (const RequestId &Call : TimedOut)
    answerUnavailable(Call);
  for (const RequestId &Call : Expired)
    stopTracking(Call);
  for (auto &[Call, Entry] : Closes_) {
    if (Entry.Queued_ || Now < Entry.RetryAt_)
      continue;
    Entry.Queued_ = true;
    enqueue(Entry.Item_, Now);
  }
}

bool ClaimSequencer::isClaimInFlight(const IdempotencyKey &Key) const {
  const std::vector<RequestId> &Calls = TrackedByKey_.at(Key);
  return std::any_of(Calls.begin(), Calls.end(), [this](const RequestId &Call) {
    return TrackedClaims_.at(Call).State_ == TrackingState::Appended;
  });
}

std::vector<ClaimItem> ClaimSequencer::takeBatch() {
  std::vector<ClaimItem> Batch;
  std::deque<ClaimItem> Remaining;
  std::unordered_set<IdempotencyKey> Claimed;
  std::size_t Bytes = 0;
  for (ClaimItem &Item : Pending_) {
    const bool IsClaim = Item.Kind_ == ClaimItem::Kind::Claim;
    if (IsClaim) {
      const auto It = TrackedClaims_.find(Item.Call_);
      // It was answered meanwhile, from the table or as Unavailable.
      if (It == TrackedClaims_.end() || It->second.State_ != TrackingState::Queued)
        continue;
    } else if (Closes_.find(Item.Call_) == Closes_.end()) {
      continue;
    }
    const bool IsFull = Batch.size() >= Options_.MaxBatchItems_ ||
                        (!Batch.empty() && Bytes + estimatedSize(Item) > Options_.MaxBatchBytes_);
    // Only one claim per key is appended at a time. So each offset is a unique fencing number for
    // its key, and the other claims of the key are answered from the table.
    if (IsFull || (IsClaim && (isClaimInFlight(Item.Key_) || !Claimed.insert(Item.Key_).second))) {
      Remaining.push_back(std::move(Item));
      continue;
    }
    Bytes += estimatedSize(Item);
    if (IsClaim)
      TrackedClaims_.at(Item.Call_).State_ = TrackingState::Appended;
    Batch.push_back(std::move(Item));
  }
  Pending_ = std::move(Remaining);
  return Batch;
}

std::optional<std::string> ClaimSequencer::nextAppend(TimePoint Now) {
  if (!isAvailable() || Appending_ || Now < LastAppendAt_ + Options_.MinInterval_)
    return std::nullopt;
  const bool IsDue =
      !Pending_.empty() && (Now >= BatchDueAt_ || Pending_.size() >= Options_.MaxBatchItems_);
  std::optional<std::string> Body;
  if (IsDue)
    InFlight_ = takeBatch();
  if (!InFlight_.empty()) {
    Stats_.ItemsAppended_ += InFlight_.size();
    ClaimRecord Record;
    Record.Items_ = InFlight_;
    Body = encodeClaimRecord(Record);
  } else {
    Body = nextMaintenanceRecord(Now);
  }
  if (!Body)
    return std::nullopt;
  Appending_ = true;
  LastAppendAt_ = Now;
  BatchDueAt_ = Now;
  ++Stats_.Appends_;
  Stats_.BytesAppended_ += Body->size();
  return Body;
}

std::vector<SequencerReply> ClaimSequencer::takeReplies() { return std::exchange(Replies_, {}); }

void ClaimSequencer::sampleTail(LogOffset Next, TimePoint StartedAt, TimePoint Now) {
  const Duration Interval = std::max(Options_.DedupWindow_ / SamplesPerWindow, MinSampleInterval);
  if (!TailSamples_.empty() && Now < TailSamples_.back().ReceivedAt_ + Interval)
    return;
  TailSamples_.push_back({Next, StartedAt, Now, false});
  // Samples before Oldest are not needed, except the newest of them.
  const TimePoint Oldest = Now - 2 * Options_.DedupWindow_ - 2 * Options_.ForgetLag_;
  while (TailSamples_.size() > 1 && TailSamples_[1].ReceivedAt_ < Oldest)
    TailSamples_.pop_front();
}

std::optional<ClaimForget> ClaimSequencer::dueForget(TimePoint Now) const {
  const Duration Pause = std::max(Options_.DedupWindow_ / SamplesPerWindow, MinSampleInterval);
  if (Now < LastForgetAt_ + Pause)
    return std::nullopt;
  const auto Floor =
      std::find_if(TailSamples_.rbegin(), TailSamples_.rend(), [&](const TailSample &S) {
        return !S.FromSnapshot_ && S.ReceivedAt_ + Options_.ForgetLag_ <= Now;
      });
  if (Floor == TailSamples_.rend())
    return std::nullopt;
  const auto Before = std::find_if(Floor, TailSamples_.rend(), [&](const TailSample &S) {
    return S.ReceivedAt_ + Options_.DedupWindow_ <= Floor->StartedAt_;
  });
  if (Before == TailSamples_.rend() || !Table_.hasEntryChangedBefore(Before->Tail_))
    return std::nullopt;
  // A call whose position is above Floor's tail knows a record that was appended after Floor's read
  // began. So it arrived at least one deduplication window after the removed keys last changed.
  return ClaimForget{Before->Tail_, Floor->Tail_.next()};
}

bool ClaimSequencer::isSnapshotDue(TimePoint Now) const {
  if (Table_.tail().value() == 0)
    return false;
  // Each writer waits for a different time, so that in most cases only one writes a snapshot.
  const std::uint64_t WriterHash = stableHash(Writer_, static_cast<std::uint64_t>(SnapshotCount_));
  const std::uint64_t ExtraBatches =
      WriterHash % (Options_.SnapshotEvery_ / SnapshotJitterDivisor + 1);
  if (BatchesSinceSnapshot_ >= Options_.SnapshotEvery_ + ExtraBatches)
    return true;
  const Duration Jitter = Options_.SnapshotInterval_ / SnapshotJitterDivisor;
  const Duration ExtraTime{
      static_cast<std::int64_t>(WriterHash % static_cast<std::uint64_t>(Jitter.count() + 1))};
  if (Now >= LastSnapshotAt_ + Options_.SnapshotInterval_ + ExtraTime)
    return true;
  // Once the log was trimmed, a snapshot is also due when the last one lies in the older half of
  // the records that are left. The minimum pause prevents endless snapshots if the log keeps fewer
  // records than one snapshot has.
  if (First_.value() == 0 ||
      Now < LastSnapshotAt_ + Options_.SnapshotInterval_ / SnapshotPauseDivisor)
    return false;
  const std::int64_t Kept = Table_.tail().value() - First_.value();
  const auto ExtraOffsets = static_cast<std::int64_t>(
      WriterHash % static_cast<std::uint64_t>(Kept / SnapshotJitterDivisor + 1));
  return LastSnapshot_.value() < First_.value() + Kept / 2 - ExtraOffsets;
}

std::vector<TailObservation> ClaimSequencer::tailObservations(TimePoint Now) const {
  std::vector<TailObservation> Observations;
  for (const TailSample &Sample : TailSamples_)
    Observations.push_back({Sample.Tail_, std::chrono::duration_cast<std::chrono::milliseconds>(
                                              Now - Sample.ReceivedAt_)});
  return Observations;
}

void ClaimSequencer::startSnapshot(TimePoint Now) {
  LastSnapshotAt_ = Now;
  BatchesSinceSnapshot_ = 0;
  ClaimImage Image = Table_.image();
  std::vector<ClaimSnapshotPart> Parts(1);
  std::size_t Bytes = 0;
  for (ClaimEntry &Entry : Image.Entries_) {
    const std::size_t Size = Entry.Key_.str().size() + Entry.Body_.size() +
                             Entry.Holder_.str().size() + ItemOverheadBytes;
    if (Bytes + Size > Options_.SnapshotPartBytes_ && !Parts.back().Image_.Entries_.empty()) {
      Parts.emplace_back();
      Bytes = 0;
    }
    Bytes += Size;
    Parts.back().Image_.Entries_.push_back(std::move(Entry));
  }
  Parts.front().Image_.TailObservations_ = tailObservations(Now);
  const std::string Id = Writer_ + "-" + std::to_string(++SnapshotCount_);
  for (std::size_t Index = 0; Index < Parts.size(); ++Index) {
    Parts[Index].Id_ = Id;
    Parts[Index].Part_ = static_cast<std::uint32_t>(Index);
    Parts[Index].Parts_ = static_cast<std::uint32_t>(Parts.size());
    Parts[Index].Image_.Tail_ = Image.Tail_;
    Parts[Index].Image_.Floor_ = Image.Floor_;
    ClaimRecord Record;
    Record.Snapshot_ = std::move(Parts[Index]);
    SnapshotParts_.push_back(encodeClaimRecord(Record));
  }
}

std::optional<std::string> ClaimSequencer::nextMaintenanceRecord(TimePoint Now) {
  if (SnapshotParts_.empty() && isSnapshotDue(Now))
    startSnapshot(Now);
  if (!SnapshotParts_.empty()) {
    std::string Part = std::move(SnapshotParts_.front());
    SnapshotParts_.pop_front();
    if (SnapshotParts_.empty())
      ++Stats_.SnapshotsWritten_;
    return Part;
  }
  const std::optional<ClaimForget> Forget = dueForget(Now);
  if (!Forget)
    return std::nullopt;
  LastForgetAt_ = Now;
  ++Stats_.ForgetsWritten_;
  ClaimRecord Record;
  Record.Forget_ = Forget;
  return encodeClaimRecord(Record);
}

} // namespace rattancart
