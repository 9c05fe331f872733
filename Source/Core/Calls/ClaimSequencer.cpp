#include "Core/Calls/ClaimSequencer.h"

#include "Core/Common/ErrorCode.h"
#include "Core/Common/Hash.h"

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace rattancart {

namespace {

/// JSON around one item, in bytes.
constexpr std::size_t ItemOverheadBytes = 40;
/// Tail samples in one deduplication window.
constexpr int SamplesPerWindow = 64;
constexpr Duration MinSampleInterval = std::chrono::milliseconds(100);
/// Late writers of one snapshot wait up to this share of the interval.
constexpr int SnapshotJitterShare = 4;
/// The shortest pause between two snapshots is this part of the interval.
constexpr int SnapshotPauseShare = 256;

std::size_t sizeOf(const ClaimItem &Item) {
  return Item.Call_.str().size() + Item.Key_.str().size() + Item.Body_.size() + ItemOverheadBytes;
}

ClaimOutcome::State outcomeState(ClaimVerdict::State State) {
  switch (State) {
  case ClaimVerdict::State::Won:
    return ClaimOutcome::State::Won;
  case ClaimVerdict::State::Lost:
    return ClaimOutcome::State::Lost;
  case ClaimVerdict::State::Done:
    return ClaimOutcome::State::Done;
  case ClaimVerdict::State::NotEligible:
  case ClaimVerdict::State::Open:
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
  LogUp_ = true;
  UnknownSchema_ = false;
  Samples_.clear();
  for (const ClaimMark &Mark : Loaded.Marks_)
    Samples_.push_back({Mark.Tail_, Now - Mark.Age_, Now - Mark.Age_, true});
  LastSnapshotAt_ = Now;
  BatchesSinceSnapshot_ = 0;
  SnapshotParts_.clear();
  std::vector<RequestId> Calls;
  for (const auto &[Call, Entry] : Followers_)
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

void ClaimSequencer::replyVerdict(const RequestId &Call, const ClaimVerdict &Verdict) {
  ClaimOutcome Outcome;
  Outcome.State_ = outcomeState(Verdict.State_);
  Outcome.Offset_ = Verdict.Offset_;
  Outcome.Status_ = Verdict.Status_;
  Outcome.Body_ = Verdict.Body_;
  Replies_.push_back({Call, std::move(Outcome)});
}

void ClaimSequencer::claim(const ClaimItem &Item, TimePoint Now) {
  const auto Place = Followers_.find(Item.Call_);
  if (Place != Followers_.end() && !Place->second.Refused_) {
    // The router asks again over a new link; what is known already is said again.
    if (Place->second.State_ == FollowState::Lost)
      reply(Item.Call_, ClaimOutcome::State::Lost);
    return;
  }
  const bool IsFull = Place == Followers_.end() && Followers_.size() >= Options_.MaxFollowers_;
  if (!Loaded_ || IsFull) {
    ++Stats_.Unavailable_;
    reply(Item.Call_, ClaimOutcome::State::Unavailable);
    return;
  }
  if (Place != Followers_.end()) {
    Place->second.Refused_ = false;
    Place->second.Since_ = Now;
    return;
  }
  Followers_.emplace(Item.Call_, Follower{Item, FollowState::Queued, Now, {}, false});
  FollowersOf_[Item.Key_].push_back(Item.Call_);
  // What the log has decided needs no further record: none could change it.
  if (resolve(Item.Call_))
    return;
  if (LogUp_)
    enqueue(Item, Now);
  else
    refuse(Item.Call_);
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
  const auto Place = Followers_.find(Call);
  if (Place == Followers_.end())
    return true;
  Follower &Entry = Place->second;
  const ClaimVerdict Verdict = Table_.verdictOf(Call, Entry.Item_.Key_, Entry.Item_.Position_);
  switch (Verdict.State_) {
  case ClaimVerdict::State::Open:
    return false;
  case ClaimVerdict::State::Lost:
    if (Entry.State_ != FollowState::Lost && !Entry.Refused_) {
      ++Stats_.Lost_;
      replyVerdict(Call, Verdict);
    }
    Entry.State_ = FollowState::Lost;
    return true;
  case ClaimVerdict::State::Won:
    ++(Entry.Refused_ ? Stats_.LateWins_ : Stats_.Won_);
    replyVerdict(Call, Verdict);
    break;
  case ClaimVerdict::State::NotEligible:
  case ClaimVerdict::State::Done:
    ++(Verdict.State_ == ClaimVerdict::State::Done ? Stats_.AnsweredDone_ : Stats_.NotEligible_);
    if (!Entry.Refused_)
      replyVerdict(Call, Verdict);
    break;
  }
  drop(Call);
  return true;
}

void ClaimSequencer::resolveKey(const IdempotencyKey &Key) {
  const auto Place = FollowersOf_.find(Key);
  if (Place == FollowersOf_.end())
    return;
  const std::vector<RequestId> Calls = Place->second;
  for (const RequestId &Call : Calls)
    resolve(Call);
}

void ClaimSequencer::drop(const RequestId &Call) {
  const auto Place = Followers_.find(Call);
  if (Place == Followers_.end())
    return;
  const auto OfKey = FollowersOf_.find(Place->second.Item_.Key_);
  if (OfKey != FollowersOf_.end()) {
    std::erase(OfKey->second, Call);
    if (OfKey->second.empty())
      FollowersOf_.erase(OfKey);
  }
  Followers_.erase(Place);
}

void ClaimSequencer::refuse(const RequestId &Call) {
  const auto Place = Followers_.find(Call);
  if (Place == Followers_.end() || Place->second.Refused_)
    return;
  ++Stats_.Unavailable_;
  reply(Call, ClaimOutcome::State::Unavailable);
  // A claim that waits to be appended again may have taken effect the first time.
  const bool MayWin =
      Place->second.State_ != FollowState::Queued || Place->second.RetryAt_ != TimePoint{};
  Replies_.back().Outcome_.MayStillWin_ = MayWin;
  if (MayWin)
    Place->second.Refused_ = true;
  else
    drop(Call);
}

void ClaimSequencer::refuseQueued() {
  std::erase_if(Pending_, [this](const ClaimItem &Item) {
    if (Item.Kind_ != ClaimItem::Kind::Claim)
      return false;
    refuse(Item.Call_);
    return true;
  });
}

void ClaimSequencer::onPageRead(const std::vector<StreamRecord> &Records, LogOffset First,
                                LogOffset Next, TimePoint StartedAt, TimePoint Now) {
  LogUp_ = true;
  First_ = First;
  for (const StreamRecord &Record : Records) {
    recordRead(Record, Now);
    if (UnknownSchema_)
      return;
  }
  if (Loaded_ && Table_.tail() >= Next)
    sampleTail(Next, StartedAt, Now);
}

void ClaimSequencer::recordRead(const StreamRecord &Record, TimePoint Now) {
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
    itemRead(Item);
  if (!Decoded->Items_.empty())
    ++BatchesSinceSnapshot_;
  if (Decoded->Forget_)
    LastForgetAt_ = Now;
  if (Decoded->Snapshot_)
    noteSnapshot(Record.Offset_, *Decoded->Snapshot_, Now);
}

void ClaimSequencer::itemRead(const ClaimItem &Item) {
  if (Item.Kind_ != ClaimItem::Kind::Claim) {
    Closes_.erase(Item.Call_);
    resolveKey(Item.Key_);
    return;
  }
  if (resolve(Item.Call_)) {
    // Copies that wait for their append need none any more.
    resolveKey(Item.Key_);
    return;
  }
  // The claim was read and left the key open, so it can never win.
  const auto Place = Followers_.find(Item.Call_);
  if (!Place->second.Refused_)
    reply(Item.Call_, ClaimOutcome::State::NotEligible);
  drop(Item.Call_);
}

void ClaimSequencer::noteSnapshot(LogOffset Offset, const ClaimSnapshotPart &Part, TimePoint Now) {
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
  LogUp_ = false;
  refuseQueued();
}

void ClaimSequencer::onAppended(TimePoint) {
  Appending_ = false;
  LogUp_ = true;
  InFlight_.clear();
}

void ClaimSequencer::onAppendFailed(bool MayHaveTakenEffect, TimePoint Now) {
  Appending_ = false;
  ++(MayHaveTakenEffect ? Stats_.AppendsUnknown_ : Stats_.AppendsFailed_);
  SnapshotParts_.clear();
  for (const ClaimItem &Item : std::exchange(InFlight_, {})) {
    if (Item.Kind_ != ClaimItem::Kind::Claim) {
      const auto Place = Closes_.find(Item.Call_);
      if (Place == Closes_.end())
        continue;
      Place->second.Queued_ = false;
      Place->second.RetryAt_ = Now + Options_.RetryAfter_;
      continue;
    }
    const auto Place = Followers_.find(Item.Call_);
    if (Place == Followers_.end() || Place->second.State_ != FollowState::Appended)
      continue;
    if (MayHaveTakenEffect) {
      Place->second.State_ = FollowState::Doubtful;
      Place->second.RetryAt_ = Now + Options_.RetryAfter_;
    } else if (Place->second.RetryAt_ == TimePoint{}) {
      // No append of this claim was ever handed over.
      Place->second.State_ = FollowState::Queued;
      refuse(Item.Call_);
    } else {
      Place->second.State_ = FollowState::Doubtful;
      refuse(Item.Call_);
    }
  }
  if (!MayHaveTakenEffect)
    onReadFailed(Now);
}

void ClaimSequencer::tick(TimePoint Now) {
  std::vector<RequestId> Late;
  std::vector<RequestId> Expired;
  for (auto &[Call, Entry] : Followers_) {
    const Duration Age = Now - Entry.Since_;
    if (Age > Options_.MaxTrackingTime_)
      Expired.push_back(Call);
    else if (Entry.State_ == FollowState::Lost || Entry.Refused_)
      continue;
    else if (Age > Options_.ClaimTimeout_)
      Late.push_back(Call);
    else if (Entry.State_ == FollowState::Doubtful && Now >= Entry.RetryAt_ && isAvailable()) {
      // RetryAt_ stays set: the first append may still take effect.
      Entry.State_ = FollowState::Queued;
      enqueue(Entry.Item_, Now);
    }
  }
  for (const RequestId &Call : Late)
    refuse(Call);
  for (const RequestId &Call : Expired)
    drop(Call);
  for (auto &[Call, Entry] : Closes_) {
    if (Entry.Queued_ || Now < Entry.RetryAt_)
      continue;
    Entry.Queued_ = true;
    enqueue(Entry.Item_, Now);
  }
}

bool ClaimSequencer::isClaimInFlight(const IdempotencyKey &Key) const {
  const std::vector<RequestId> &Calls = FollowersOf_.at(Key);
  return std::any_of(Calls.begin(), Calls.end(), [this](const RequestId &Call) {
    return Followers_.at(Call).State_ == FollowState::Appended;
  });
}

std::vector<ClaimItem> ClaimSequencer::takeBatch() {
  std::vector<ClaimItem> Batch;
  std::deque<ClaimItem> Left;
  std::unordered_set<IdempotencyKey> Claimed;
  std::size_t Bytes = 0;
  for (ClaimItem &Item : Pending_) {
    const bool IsClaim = Item.Kind_ == ClaimItem::Kind::Claim;
    if (IsClaim) {
      const auto Place = Followers_.find(Item.Call_);
      // Answered meanwhile, from the table or as unavailable.
      if (Place == Followers_.end() || Place->second.State_ != FollowState::Queued)
        continue;
    } else if (Closes_.find(Item.Call_) == Closes_.end()) {
      continue;
    }
    const bool IsFull = Batch.size() >= Options_.MaxBatchItems_ ||
                        (!Batch.empty() && Bytes + sizeOf(Item) > Options_.MaxBatchBytes_);
    // One claim a key at a time: an offset is then a fencing number of its own, and copies are
    // answered from the table.
    if (IsFull || (IsClaim && (isClaimInFlight(Item.Key_) || !Claimed.insert(Item.Key_).second))) {
      Left.push_back(std::move(Item));
      continue;
    }
    Bytes += sizeOf(Item);
    if (IsClaim)
      Followers_.at(Item.Call_).State_ = FollowState::Appended;
    Batch.push_back(std::move(Item));
  }
  Pending_ = std::move(Left);
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
    Body = nextMaintenance(Now);
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
  if (!Samples_.empty() && Now < Samples_.back().ReceivedAt_ + Interval)
    return;
  Samples_.push_back({Next, StartedAt, Now, false});
  // The newest sample that is older than any use stays.
  const TimePoint Oldest = Now - 2 * Options_.DedupWindow_ - 2 * Options_.ForgetLag_;
  while (Samples_.size() > 1 && Samples_[1].ReceivedAt_ < Oldest)
    Samples_.pop_front();
}

std::optional<ClaimForget> ClaimSequencer::dueForget(TimePoint Now) const {
  const Duration Pause = std::max(Options_.DedupWindow_ / SamplesPerWindow, MinSampleInterval);
  if (Now < LastForgetAt_ + Pause)
    return std::nullopt;
  const auto Floor = std::find_if(Samples_.rbegin(), Samples_.rend(), [&](const TailSample &S) {
    return !S.Inherited_ && S.ReceivedAt_ + Options_.ForgetLag_ <= Now;
  });
  if (Floor == Samples_.rend())
    return std::nullopt;
  const auto Before = std::find_if(Floor, Samples_.rend(), [&](const TailSample &S) {
    return S.ReceivedAt_ + Options_.DedupWindow_ <= Floor->StartedAt_;
  });
  if (Before == Samples_.rend() || !Table_.hasEntryBefore(Before->Tail_))
    return std::nullopt;
  // A call whose router knew the record at Floor's tail arrived after that read began.
  return ClaimForget{Before->Tail_, Floor->Tail_.next()};
}

bool ClaimSequencer::isSnapshotDue(TimePoint Now) const {
  if (Table_.tail().value() == 0)
    return false;
  // Each writer waits a different time, so that mostly one writes.
  const std::uint64_t Spread = stableHash(Writer_, static_cast<std::uint64_t>(SnapshotCount_));
  const std::uint64_t Extra = Spread % (Options_.SnapshotEvery_ / SnapshotJitterShare + 1);
  if (BatchesSinceSnapshot_ >= Options_.SnapshotEvery_ + Extra)
    return true;
  const Duration Jitter = Options_.SnapshotInterval_ / SnapshotJitterShare;
  const Duration Wait{
      static_cast<std::int64_t>(Spread % static_cast<std::uint64_t>(Jitter.count() + 1))};
  if (Now >= LastSnapshotAt_ + Options_.SnapshotInterval_ + Wait)
    return true;
  // Retention has passed half of the way to the newest snapshot, or to the stream's start. A
  // retention shorter than a snapshot must not make this go on for ever.
  if (First_.value() == 0 ||
      Now < LastSnapshotAt_ + Options_.SnapshotInterval_ / SnapshotPauseShare)
    return false;
  const std::int64_t Kept = Table_.tail().value() - First_.value();
  const auto Later = static_cast<std::int64_t>(
      Spread % static_cast<std::uint64_t>(Kept / SnapshotJitterShare + 1));
  return LastSnapshot_.value() < First_.value() + Kept / 2 - Later;
}

std::vector<ClaimMark> ClaimSequencer::marks(TimePoint Now) const {
  std::vector<ClaimMark> Marks;
  for (const TailSample &Sample : Samples_)
    Marks.push_back({Sample.Tail_, std::chrono::duration_cast<std::chrono::milliseconds>(
                                       Now - Sample.ReceivedAt_)});
  return Marks;
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
  Parts.front().Image_.Marks_ = marks(Now);
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

std::optional<std::string> ClaimSequencer::nextMaintenance(TimePoint Now) {
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
