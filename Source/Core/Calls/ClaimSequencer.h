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
  /// Limits of one append.
  std::size_t MaxBatchItems_ = 1024;
  std::size_t MaxBatchBytes_ = 1024 * 1024;
  /// How long the first item of a batch waits for others.
  Duration Linger_ = std::chrono::milliseconds(2);
  /// Minimum time between two appends.
  Duration MinInterval_ = std::chrono::milliseconds(10);
  /// A claim that is undecided after this time is answered Unavailable.
  Duration ClaimTimeout_ = std::chrono::seconds(2);
  /// The items of an append with an unknown outcome are appended again after this time unless they
  /// were read back.
  Duration RetryAfter_ = std::chrono::milliseconds(300);
  /// A claim is tracked, and answered, for this long at most.
  Duration MaxTrackingTime_ = std::chrono::minutes(5);
  std::size_t MaxTrackedClaims_ = 100'000;
  /// Limit of the done and released items that were not read back yet.
  std::size_t MaxCloses_ = 100'000;
  /// The minimum time for which a decided key is remembered.
  Duration DedupWindow_ = std::chrono::hours(24);
  /// Only a tail read at least this long ago becomes the table's floor. Routers know the tail by
  /// then, so the floor excludes no call in flight.
  Duration ForgetLag_ = std::chrono::seconds(10);
  /// A snapshot is due after this many batches or after SnapshotInterval_.
  std::uint64_t SnapshotEvery_ = 2000;
  Duration SnapshotInterval_ = std::chrono::minutes(10);
  std::size_t SnapshotPartBytes_ = 512 * 1024;
};

/// The answer to a claim. After Lost, another answer may follow: the holder may finish or release
/// the key.
struct SequencerReply {
  RequestId Call_;
  ClaimOutcome Outcome_;
};

/// Counters since the process started.
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

/// Orders claims through the log: appends them in batches, one append at a time, and answers each
/// claim only after the decision was read back from the stream.
///
/// If the outcome of an append is unknown, its items are appended again unless they are read back
/// in time; the table's rules make duplicates harmless. This class does no I/O: its owner appends
/// what nextAppend returns, reports the outcome, and passes on all records that it reads from the
/// stream. Not thread-safe.
class ClaimSequencer {
public:
  /// Writer: a unique id of this process, used in the ids of its snapshots.
  ClaimSequencer(std::string Writer, SequencerOptions Options);

  /// Starts from a state that was read from the log. Until then claims are answered Unavailable.
  void load(LoadedClaims Loaded, TimePoint Now);
  /// Marks the state as unusable, for example after a gap. New claims are answered Unavailable
  /// until the next load.
  void unload(TimePoint Now);

  /// Takes a claim. If the call's claim is already tracked, the two get one answer.
  /// Precondition: Item is a claim.
  void claim(const ClaimItem &Item, TimePoint Now);
  /// Takes the end of a claim; false if MaxCloses_ others were not read back yet.
  /// Precondition: Item is done or released.
  bool close(const ClaimItem &Item, TimePoint Now);

  /// Takes records read from the stream, in order and without a gap. First is the oldest offset
  /// that the log holds, Next that of the next append; the read began at StartedAt.
  void onPageRead(const std::vector<StreamRecord> &Records, LogOffset First, LogOffset Next,
                  TimePoint StartedAt, TimePoint Now);
  void onReadFailed(TimePoint Now);
  /// The append took effect. Its claims are answered once they are read back.
  void onAppended(TimePoint Now);
  void onAppendFailed(bool MayHaveTakenEffect, TimePoint Now);

  /// The record to append now, if any. Returns no other record until onAppended or onAppendFailed
  /// reported its outcome.
  std::optional<std::string> nextAppend(TimePoint Now);
  /// When the pending items may be appended. Precondition: pending() is not 0.
  TimePoint appendDueAt() const {
    return std::max(BatchDueAt_, LastAppendAt_ + Options_.MinInterval_);
  }
  /// Answers claims that timed out and appends items again that are due. Call it at least every
  /// 100 ms.
  void tick(TimePoint Now);
  /// The replies since the last call of takeReplies.
  std::vector<SequencerReply> takeReplies();

  void setDedupWindow(Duration Window) { Options_.DedupWindow_ = Window; }
  bool isLoaded() const { return Loaded_; }
  /// Whether the state is loaded and the last exchange with the log succeeded.
  bool isAvailable() const { return Loaded_ && LogReachable_; }
  /// Whether reading stopped at a record of a schema that this version can't decode.
  bool isStoppedAtUnknownSchema() const { return UnknownSchema_; }
  const ClaimTable &table() const { return Table_; }
  const SequencerStats &stats() const { return Stats_; }
  std::size_t trackedClaims() const { return TrackedClaims_.size(); }
  std::size_t pending() const { return Pending_.size(); }
  /// Done and released items that were not read back yet.
  std::size_t unconfirmedCloses() const { return Closes_.size(); }
  LogOffset lastSnapshot() const { return LastSnapshot_; }
  bool isAppending() const { return Appending_; }

private:
  enum class TrackingState : std::uint8_t {
    /// Waits in Pending_.
    Queued,
    /// Handed to the log and not read back yet.
    Appended,
    /// As Appended, but the outcome of the append is not known.
    AppendUnknown,
    /// Another call holds the key and is not done.
    Lost,
  };
  struct TrackedClaim {
    ClaimItem Item_;
    TrackingState State_ = TrackingState::Queued;
    TimePoint Since_{};
    /// When to append the claim again. Set once an append of it had an unknown outcome, and never
    /// reset.
    TimePoint RetryAt_{};
    /// Whether it was answered Unavailable. It is tracked further, to report a late win.
    bool AnsweredUnavailable_ = false;
  };
  struct PendingClose {
    ClaimItem Item_;
    /// False after an append of it failed, until it is queued again.
    bool Queued_ = true;
    TimePoint RetryAt_{};
  };
  /// A tail that a read returned: the records before it existed at ReceivedAt_, and later records
  /// were appended after StartedAt_.
  struct TailSample {
    LogOffset Tail_{0};
    TimePoint StartedAt_{};
    TimePoint ReceivedAt_{};
    /// It comes from a snapshot, so the real StartedAt_ is not known.
    bool FromSnapshot_ = false;
  };

  void reply(const RequestId &Call, ClaimOutcome::State State);
  void replyDecision(const RequestId &Call, const ClaimDecision &Decision);
  /// Answers a tracked claim from the table; false if the claim is still open.
  bool resolve(const RequestId &Call);
  /// Does so for all tracked claims of the key.
  void resolveKey(const IdempotencyKey &Key);
  /// Answers a tracked claim Unavailable unless it was already. Tracks it further if it may still
  /// win.
  void answerUnavailable(const RequestId &Call);
  void stopTracking(const RequestId &Call);
  void answerQueuedUnavailable();
  void processRecord(const StreamRecord &Record, TimePoint Now);
  void processItem(const ClaimItem &Item);
  void trackSnapshot(LogOffset Offset, const ClaimSnapshotPart &Part, TimePoint Now);
  void sampleTail(LogOffset Next, TimePoint StartedAt, TimePoint Now);
  void enqueue(const ClaimItem &Item, TimePoint Now);
  bool isClaimInFlight(const IdempotencyKey &Key) const;
  std::vector<ClaimItem> takeBatch();
  std::optional<std::string> nextMaintenanceRecord(TimePoint Now);
  std::optional<ClaimForget> dueForget(TimePoint Now) const;
  bool isSnapshotDue(TimePoint Now) const;
  void startSnapshot(TimePoint Now);
  std::vector<TailObservation> tailObservations(TimePoint Now) const;

  std::string Writer_;
  SequencerOptions Options_;
  ClaimTable Table_;
  bool Loaded_ = false;
  bool LogReachable_ = false;
  bool UnknownSchema_ = false;
  bool Appending_ = false;
  TimePoint BatchDueAt_{};
  TimePoint LastAppendAt_{};
  std::deque<ClaimItem> Pending_;
  /// The items of the append in flight.
  std::vector<ClaimItem> InFlight_;
  std::unordered_map<RequestId, TrackedClaim> TrackedClaims_;
  std::unordered_map<IdempotencyKey, std::vector<RequestId>> TrackedByKey_;
  std::unordered_map<RequestId, PendingClose> Closes_;
  std::vector<SequencerReply> Replies_;
  std::deque<TailSample> TailSamples_;
  TimePoint LastForgetAt_{};
  /// Encoded parts of the own snapshot that are not appended yet.
  std::deque<std::string> SnapshotParts_;
  std::uint64_t SnapshotCount_ = 0;
  /// The oldest record that is needed to start from the last complete snapshot.
  LogOffset LastSnapshot_ = NoOffset;
  /// The snapshot whose parts are being read, by its first part's offset and its id.
  LogOffset SnapshotBegin_ = NoOffset;
  std::string SnapshotId_;
  std::uint32_t SnapshotPartsSeen_ = 0;
  TimePoint LastSnapshotAt_{};
  std::uint64_t BatchesSinceSnapshot_ = 0;
  /// The oldest offset that the log holds.
  LogOffset First_{0};
  SequencerStats Stats_;
};

} // namespace rattancart
