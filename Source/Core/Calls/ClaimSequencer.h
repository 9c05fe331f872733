#pragma once

#include "Core/Calls/CallMachine.h"
#include "Core/Calls/ClaimLoader.h"
#include "Core/Calls/ClaimRecord.h"
#include "Core/Calls/ClaimTable.h"
#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattancart {

struct SequencerOptions {
  /// Bounds of one append.
  std::size_t MaxBatchItems_ = 1024;
  std::size_t MaxBatchBytes_ = 1024 * 1024;
  /// How long the first item of a batch waits for others.
  Duration Linger_ = std::chrono::milliseconds(2);
  /// Least time between two appends.
  Duration MinInterval_ = std::chrono::milliseconds(10);
  /// A claim that was not decided after this time is answered Unavailable.
  Duration ClaimTimeout_ = std::chrono::seconds(2);
  /// An append with an unknown outcome is made again after this time unless it was read back.
  Duration RetryAfter_ = std::chrono::milliseconds(300);
  /// A claim is followed for this long at most.
  Duration MaxTrackingTime_ = std::chrono::minutes(5);
  std::size_t MaxFollowers_ = 100'000;
  std::size_t MaxCloses_ = 100'000;
  /// How long a key stays decided at least.
  Duration DedupWindow_ = std::chrono::hours(24);
  /// Routers know a tail after this time, so that a floor at it refuses no call in flight.
  Duration ForgetLag_ = std::chrono::seconds(10);
  /// A snapshot is due after this many batches or this time.
  std::uint64_t SnapshotEvery_ = 2000;
  Duration SnapshotInterval_ = std::chrono::minutes(10);
  std::size_t SnapshotPartBytes_ = 512 * 1024;
};

/// The answer to a claim; Lost may be followed by another.
struct SequencerReply {
  RequestId Call_;
  ClaimOutcome Outcome_;
};

/// Counters since the start.
struct SequencerStats {
  std::uint64_t Appends_ = 0;
  std::uint64_t AppendsFailed_ = 0;
  std::uint64_t AppendsUnknown_ = 0;
  std::uint64_t ItemsAppended_ = 0;
  std::uint64_t BytesAppended_ = 0;
  std::uint64_t RecordsRead_ = 0;
  std::uint64_t RecordsMalformed_ = 0;
  std::uint64_t Won_ = 0;
  std::uint64_t Lost_ = 0;
  std::uint64_t NotEligible_ = 0;
  std::uint64_t AnsweredDone_ = 0;
  std::uint64_t Unavailable_ = 0;
  std::uint64_t LateWins_ = 0;
  std::uint64_t SnapshotsWritten_ = 0;
  std::uint64_t ForgetsWritten_ = 0;
};

/// Orders claims through the log: gathers them into batches, one append at a time, and answers
/// each only from what was read back.
///
/// An append whose answer was lost is looked for in the stream and made again after a while; the
/// table's rules make a second copy harmless. The shell asks nextAppend, makes the append, reports
/// its outcome, and passes on all that it reads from the stream. Not thread-safe.
class ClaimSequencer {
public:
  /// Writer: unique for each process; names its snapshots.
  ClaimSequencer(std::string Writer, SequencerOptions Options);

  /// Starts from a state read from the log. Claims are refused before.
  void load(LoadedClaims Loaded, TimePoint Now);
  /// Drops the state, for example after a gap; claims are refused until the next load.
  void unload(TimePoint Now);

  /// Takes a claim. A second copy of a call that is followed is answered once.
  /// Precondition: Item is a claim.
  void claim(const ClaimItem &Item, TimePoint Now);
  /// Takes the end of a claim; false if too many wait. Precondition: Item is done or released.
  bool close(const ClaimItem &Item, TimePoint Now);

  /// Records read from the stream, in order and without gap. First is the oldest offset kept, Next
  /// that of the next append; StartedAt is when the read was begun.
  void onPageRead(const std::vector<StreamRecord> &Records, LogOffset First, LogOffset Next,
                  TimePoint StartedAt, TimePoint Now);
  void onReadFailed(TimePoint Now);
  /// The append took effect; it is answered once it is read.
  void onAppended(TimePoint Now);
  void onAppendFailed(bool MayHaveTakenEffect, TimePoint Now);

  /// The record to append now, if any. None is given until its outcome was reported.
  std::optional<std::string> nextAppend(TimePoint Now);
  /// When the items that wait may be appended. Precondition: pending() is not 0.
  TimePoint appendDueAt() const {
    return std::max(BatchDueAt_, LastAppendAt_ + Options_.MinInterval_);
  }
  /// Answers and repeats what waited too long. Call it at least every 100 ms.
  void tick(TimePoint Now);
  /// The replies since the last call.
  std::vector<SequencerReply> takeReplies();

  void setDedupWindow(Duration Window) { Options_.DedupWindow_ = Window; }
  bool isLoaded() const { return Loaded_; }
  /// Whether claims can be ordered now, as far as is known.
  bool isAvailable() const { return Loaded_ && LogUp_; }
  /// Whether reading stopped at a record of a newer version.
  bool isStoppedAtUnknownSchema() const { return UnknownSchema_; }
  const ClaimTable &table() const { return Table_; }
  const SequencerStats &stats() const { return Stats_; }
  std::size_t trackedClaims() const { return Followers_.size(); }
  std::size_t pending() const { return Pending_.size(); }
  std::size_t unconfirmedCloses() const { return Closes_.size(); }
  LogOffset lastSnapshot() const { return LastSnapshot_; }
  bool isAppending() const { return Appending_; }

private:
  enum class FollowState : std::uint8_t {
    /// Waits for an append.
    Queued,
    /// Handed to the log and not yet read.
    Appended,
    /// As Appended, but the append's outcome is not known.
    Doubtful,
    /// Another call holds the key.
    Lost,
  };
  struct Follower {
    ClaimItem Item_;
    FollowState State_ = FollowState::Queued;
    TimePoint Since_{};
    TimePoint RetryAt_{};
    /// Answered Unavailable; followed on to report a late win.
    bool Refused_ = false;
  };
  struct PendingClose {
    ClaimItem Item_;
    bool Queued_ = true;
    TimePoint RetryAt_{};
  };
  /// A tail that was read: records before it existed at ReceivedAt_, later ones were appended
  /// after StartedAt_.
  struct TailSample {
    LogOffset Tail_{0};
    TimePoint StartedAt_{};
    TimePoint ReceivedAt_{};
    /// Taken over from a snapshot: StartedAt_ is not known.
    bool Inherited_ = false;
  };

  void reply(const RequestId &Call, ClaimOutcome::State State);
  void replyVerdict(const RequestId &Call, const ClaimVerdict &Verdict);
  /// Answers a follower from the table; false if the claim is still open.
  bool resolve(const RequestId &Call);
  void resolveKey(const IdempotencyKey &Key);
  void refuse(const RequestId &Call);
  void drop(const RequestId &Call);
  void refuseQueued();
  void recordRead(const StreamRecord &Record, TimePoint Now);
  void itemRead(const ClaimItem &Item);
  void noteSnapshot(LogOffset Offset, const ClaimSnapshotPart &Part, TimePoint Now);
  void sampleTail(LogOffset Next, TimePoint StartedAt, TimePoint Now);
  void enqueue(const ClaimItem &Item, TimePoint Now);
  bool isClaimInFlight(const IdempotencyKey &Key) const;
  std::vector<ClaimItem> takeBatch();
  std::optional<std::string> nextMaintenance(TimePoint Now);
  std::optional<ClaimForget> dueForget(TimePoint Now) const;
  bool isSnapshotDue(TimePoint Now) const;
  void startSnapshot(TimePoint Now);
  std::vector<ClaimMark> marks(TimePoint Now) const;

  std::string Writer_;
  SequencerOptions Options_;
  ClaimTable Table_;
  bool Loaded_ = false;
  bool LogUp_ = false;
  bool UnknownSchema_ = false;
  bool Appending_ = false;
  TimePoint BatchDueAt_{};
  TimePoint LastAppendAt_{};
  std::deque<ClaimItem> Pending_;
  /// Calls of the append in flight.
  std::vector<ClaimItem> InFlight_;
  std::unordered_map<RequestId, Follower> Followers_;
  std::unordered_map<IdempotencyKey, std::vector<RequestId>> FollowersOf_;
  std::unordered_map<RequestId, PendingClose> Closes_;
  std::vector<SequencerReply> Replies_;
  std::deque<TailSample> Samples_;
  TimePoint LastForgetAt_{};
  std::deque<std::string> SnapshotParts_;
  std::uint64_t SnapshotCount_ = 0;
  LogOffset LastSnapshot_ = NoOffset;
  LogOffset SnapshotBegin_ = NoOffset;
  std::string SnapshotId_;
  std::uint32_t SnapshotPartsSeen_ = 0;
  TimePoint LastSnapshotAt_{};
  std::uint64_t BatchesSinceSnapshot_ = 0;
  LogOffset First_{0};
  SequencerStats Stats_;
};

} // namespace rattancart
