#pragma once

#include "Control/SettingsHistory.h"
#include "Control/SettingsScan.h"
#include "Control/SettingsScheduler.h"
#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"
#include "Core/Common/Logger.h"
#include "Core/Settings/SettingsReplica.h"
#include "LogClient/HttpLogClient.h"

#include <boost/json/object.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace rattancart {

struct SettingsFollowerOptions {
  InstanceId Self_;
  /// How long one read waits for the next record.
  Duration ReadWait_ = std::chrono::seconds(10);
  std::size_t PageRecords_ = 256;
  /// Bounds of the delay after a failed read; it doubles with each failure in a row.
  Duration MinRetryDelay_ = std::chrono::milliseconds(100);
  Duration MaxRetryDelay_ = std::chrono::seconds(2);
  /// A snapshot is due after this many records or after SnapshotAge_, whichever comes first. The
  /// age must be well below the log's retention time.
  std::int64_t SnapshotRecords_ = 256;
  Duration SnapshotAge_ = std::chrono::minutes(15);
  /// To avoid that all processes write a due snapshot, the process at place N of the rendezvous
  /// order waits N times this long first.
  Duration SnapshotTurn_ = std::chrono::seconds(10);
  /// The outcome of a change that was not read back within this time is reported as unknown.
  Duration SubmitTimeout_ = std::chrono::seconds(5);
  std::size_t HistoryLimit_ = 1000;
};

/// Receives what the follower applied, in order of offset. Called on the event loop.
class SettingsListener {
public:
  virtual ~SettingsListener() = default;
  /// The record at Offset was applied.
  virtual void onSettingsRecord(LogOffset Offset, std::string_view Body) = 0;
  /// The whole state was replaced by a newer one, which the replica already has.
  virtual void onSettingsImage() = 0;
};

/// The outcome of a submitted change.
struct SubmitOutcome {
  enum class State : std::uint8_t {
    Accepted,
    /// The change has no effect and never will; Error_ says why.
    Rejected,
    /// The change may have taken effect or may do so later; ask again with its id.
    Unknown
  };
  State State_ = State::Unknown;
  ChangeId Change_;
  /// The offset of the record that decided the change.
  LogOffset Offset_ = NoOffset;
  Error Error_;
};

/// Follows the stream "settings", publishes changes and writes snapshots. Not thread-safe.
class SettingsFollower {
public:
  /// The objects that the follower uses. All outlive it.
  struct Services {
    LogService &Log_;
    const Clock &Clock_;
    Scheduler &Scheduler_;
    Logger &Logger_;
    std::mt19937_64 &Random_;
  };

  /// Precondition: Listener outlives the follower.
  SettingsFollower(Services Used, SettingsFollowerOptions Options, SettingsListener &Listener);
  ~SettingsFollower();
  SettingsFollower(const SettingsFollower &) = delete;
  SettingsFollower &operator=(const SettingsFollower &) = delete;

  /// Starts to read the stream. Call it once.
  void start();
  /// Sets the instances that may write snapshots; whether this one is in the list doesn't matter.
  void setPeers(std::vector<std::string> Peers) { Peers_ = std::move(Peers); }
  /// Replaces the settings by a peer's image if that is newer.
  ReplicaResult offerImage(LogOffset Offset, const std::string &Body);
  /// Applies a peer's record if it is the next one. If the result is State::Gap, the caller must
  /// get an image.
  ReplicaResult offerRecord(LogOffset Offset, const std::string &Body);
  /// Appends a change and calls Done once it was read back, or after SubmitTimeout_. Done is never
  /// called from within submit.
  void submit(const SettingsChange &Change, std::function<void(const SubmitOutcome &)> Done);
  /// The outcome of a change as far as this process knows; Unknown if it has not seen it.
  SubmitOutcome findChange(const ChangeId &Id) const;

  /// The decision on Change if it were the next record. Changes nothing.
  SettingsDecision check(const SettingsChange &Change) const;

  const SettingsReplica &replica() const { return Replica_; }
  const SettingsHistory &history() const { return History_; }
  /// Whether the process has settings, that is, whether it has read the log to its end or received
  /// a peer's image.
  bool ready() const { return Ready_; }
  /// Whether the last read of the log succeeded.
  bool platformUp() const { return PlatformUp_; }
  /// The follower's part of the state dump.
  boost::json::object state() const;

private:
  struct Pending {
    ChangeId Change_;
    std::function<void(const SubmitOutcome &)> Done_;
  };

  void read();
  void onPage(Result<LogPage> Page);
  void onReadFailed(const Error &Failure);
  void readAgainLater();
  void handlePage(LogPage Page);
  void finishScan();
  void reportGap(std::string Detail);
  ReplicaResult applyImage(LogOffset Offset, const std::string &Body);
  ReplicaResult applyRecord(LogOffset Offset, const std::string &Body);
  bool mayHaveEarlierCopy(const SettingsDecision &Item) const;
  void recordDecision(const SettingsDecision &Item);
  void logStopped(const std::string &Detail);
  void resolvePending();
  void answer(std::uint64_t Ticket, const SubmitOutcome &Outcome);
  void onAppended(std::uint64_t Ticket, const Result<LogOffset> &Appended);
  bool isSnapshotDue() const;
  void scheduleSnapshotIfDue();
  Duration snapshotDelay();
  void writeSnapshot();
  Duration jittered(Duration Full);
  /// Wraps a handler so that it does nothing once the follower is destroyed.
  template <typename Function> auto guarded(Function Handler) {
    return [Alive = std::weak_ptr<bool>(Alive_), Handler = std::move(Handler)](auto &&...Values) {
      if (!Alive.expired())
        Handler(std::forward<decltype(Values)>(Values)...);
    };
  }

  Services Services_;
  SettingsFollowerOptions Options_;
  SettingsListener &Listener_;
  SettingsReplica Replica_;
  SettingsHistory History_;
  std::vector<std::string> Peers_;
  /// Set while the whole retained part of the log is read.
  std::optional<SettingsScan> Scan_;
  bool Ready_ = false;
  bool PlatformUp_ = false;
  bool PlatformLostLogged_ = false;
  bool GapLogged_ = false;
  bool Reading_ = false;
  TimePoint ReadStartedAt_{};
  bool StoppedLogged_ = false;
  std::uint32_t ReadFailures_ = 0;
  /// This process has seen every record after this offset itself, not just an image that covers it.
  LogOffset RecordsSeenAfter_ = NoOffset;
  /// The newest snapshot record that was read. Its offset selects the writer of the next one.
  LogOffset SnapshotSeen_ = NoOffset;
  LogOffset SnapshotCovered_ = NoOffset;
  TimePoint SnapshotSeenAt_{};
  bool SnapshotPending_ = false;
  std::uint64_t NextTicket_ = 0;
  std::map<std::uint64_t, Pending> Pending_;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace rattancart
