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
  /// How long one read waits for a record.
  Duration ReadWait_ = std::chrono::seconds(10);
  std::size_t PageRecords_ = 256;
  /// Bounds of the wait between reads that fail; it doubles from one to the other.
  Duration RetryFloor_ = std::chrono::milliseconds(100);
  Duration RetryCap_ = std::chrono::seconds(2);
  /// A snapshot is due after so many records or after this time, whichever comes first. The time
  /// must be well below the log's retention.
  std::int64_t SnapshotRecords_ = 256;
  Duration SnapshotAge_ = std::chrono::minutes(15);
  /// The process in place N of the rendezvous order writes a due snapshot after N such turns.
  Duration SnapshotTurn_ = std::chrono::seconds(10);
  /// A change that was not read back within this time is answered as unknown.
  Duration SubmitTimeout_ = std::chrono::seconds(5);
  std::size_t HistoryLimit_ = 1000;
};

/// Gets what the follower applied, in order of offset, from the event loop.
class SettingsListener {
public:
  virtual ~SettingsListener() = default;
  /// The record at Offset was applied.
  virtual void onSettingsRecord(LogOffset Offset, std::string_view Body) = 0;
  /// The whole state was replaced by a newer one; the replica has it.
  virtual void onSettingsImage() = 0;
};

/// What became of a submitted change.
struct SubmitOutcome {
  enum class State : std::uint8_t {
    Accepted,
    /// It has no effect and never will; Error_ says why.
    Rejected,
    /// It may take effect or have taken effect; ask again with its id.
    Unknown
  };
  State State_ = State::Unknown;
  ChangeId Change_;
  /// Where it was decided.
  LogOffset Offset_ = NoOffset;
  Error Error_;
};

/// Follows the stream "settings", publishes changes and writes snapshots. Not thread-safe.
class SettingsFollower {
public:
  /// What the follower uses. All outlive it.
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

  /// Begins to read. Call it once.
  void start();
  /// The instances that may write snapshots, this one included or not.
  void setPeers(std::vector<std::string> Peers) { Peers_ = std::move(Peers); }
  /// Takes a peer's image over if it is newer.
  ReplicaResult offerImage(LogOffset Offset, const std::string &Body);
  /// Applies a peer's record if it is the next one. At State::Gap the caller needs an image.
  ReplicaResult offerRecord(LogOffset Offset, const std::string &Body);
  /// Appends a change and calls Done once it was read back, or after SubmitTimeout_. Done is never
  /// called from within submit.
  void submit(const SettingsChange &Change, std::function<void(const SubmitOutcome &)> Done);
  /// A change's outcome as far as this process knows; Unknown if it was not seen.
  SubmitOutcome findChange(const ChangeId &Id) const;

  /// What the settings would come to if Change were the next record.
  SettingsDecision check(const SettingsChange &Change) const;

  const SettingsReplica &replica() const { return Replica_; }
  const SettingsHistory &history() const { return History_; }
  /// Whether the process has settings: the log was read to its end once, or a peer's image came.
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
  void takePage(LogPage Page);
  void finishScan();
  void reportGap(std::string Detail);
  ReplicaResult applyImage(LogOffset Offset, const std::string &Body);
  ReplicaResult applyRecord(LogOffset Offset, const std::string &Body);
  bool mayHaveEarlierCopy(const SettingsDecision &Item) const;
  void noteDecision(const SettingsDecision &Item);
  void noteStopped(const std::string &Detail);
  void resolvePending();
  void answer(std::uint64_t Ticket, const SubmitOutcome &Outcome);
  void onAppended(std::uint64_t Ticket, const Result<LogOffset> &Appended);
  bool snapshotDue() const;
  void considerSnapshot();
  Duration snapshotDelay();
  void writeSnapshot();
  Duration jittered(Duration Full);
  /// A handler that does nothing once the follower is gone.
  template <typename Function> auto guarded(Function Handler) {
    return [Alive = std::weak_ptr<bool>(Alive_), Handler = std::move(Handler)](auto &&...Values) {
      if (!Alive.expired())
        Handler(std::forward<decltype(Values)>(Values)...);
    };
  }

  Services Used_;
  SettingsFollowerOptions Options_;
  SettingsListener &Listener_;
  SettingsReplica Replica_;
  SettingsHistory History_;
  std::vector<std::string> Peers_;
  /// Set while the kept part of the log is read as a whole.
  std::optional<SettingsScan> Scan_;
  bool Ready_ = false;
  bool PlatformUp_ = false;
  bool PlatformLostLogged_ = false;
  bool GapLogged_ = false;
  bool Reading_ = false;
  TimePoint ReadAt_{};
  bool StoppedLogged_ = false;
  std::uint32_t Failures_ = 0;
  /// Every record after this one was seen as a record.
  LogOffset SeenAfter_ = NoOffset;
  /// The newest snapshot record seen, and when; the writer is drawn anew for each.
  LogOffset SnapshotSeen_ = NoOffset;
  LogOffset SnapshotCovered_ = NoOffset;
  TimePoint SnapshotSeenAt_{};
  bool SnapshotArmed_ = false;
  std::uint64_t NextTicket_ = 0;
  std::map<std::uint64_t, Pending> Pending_;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace rattancart
