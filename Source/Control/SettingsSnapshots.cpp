#include "Control/SettingsFollower.h"

#include "Core/Common/Hash.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

// The parts of SettingsFollower that write snapshots, check changes and dump the state.
namespace rattancart {

namespace {

constexpr std::size_t MaxSnapshotTurns = 8;

} // namespace

bool SettingsFollower::isSnapshotDue() const {
  if (!Ready_ || Scan_ || Replica_.stopped() || Replica_.offset() == NoOffset)
    return false;
  const std::int64_t Behind = Replica_.offset().value() - SnapshotCovered_.value();
  return Behind >= Options_.SnapshotRecords_ ||
         Services_.Clock_.now() - SnapshotSeenAt_ >= Options_.SnapshotAge_;
}

Duration SettingsFollower::snapshotDelay() {
  std::vector<std::string> Writers = Peers_;
  if (std::find(Writers.begin(), Writers.end(), Options_.Self_.str()) == Writers.end())
    Writers.push_back(Options_.Self_.str());
  const std::vector<std::size_t> Order =
      rendezvousOrder(fmt::format("snapshot {}", SnapshotSeen_.value()), Writers, MaxSnapshotTurns);
  std::size_t Turns = 0;
  while (Turns < Order.size() && Writers[Order[Turns]] != Options_.Self_.str())
    ++Turns;
  const Duration Wait = Options_.SnapshotTurn_ * static_cast<Duration::rep>(Turns);
  return Wait + jittered(Options_.SnapshotTurn_ / 2);
}

void SettingsFollower::scheduleSnapshotIfDue() {
  if (SnapshotPending_ || !isSnapshotDue())
    return;
  SnapshotPending_ = true;
  Services_.Scheduler_.after(snapshotDelay(), guarded([this] {
                               SnapshotPending_ = false;
                               if (isSnapshotDue())
                                 writeSnapshot();
                             }));
}

void SettingsFollower::writeSnapshot() {
  std::string Body = formatSnapshot(Replica_.log());
  const LogOffset Covered = Replica_.offset();
  if (Body.size() > MaxRecordBytes) {
    Services_.Logger_.log(LogEvent::SnapshotTooLarge, {{"bytes", Body.size()}});
    return;
  }
  SnapshotPending_ = true;
  const std::size_t Bytes = Body.size();
  Services_.Log_.append("settings", std::move(Body),
                        guarded([this, Covered, Bytes](const Result<LogOffset> &Appended) {
                          SnapshotPending_ = false;
                          if (Appended)
                            Services_.Logger_.log(LogEvent::SnapshotWritten,
                                                  {{"offset", Appended->value()},
                                                   {"covered", Covered.value()},
                                                   {"bytes", Bytes}});
                        }));
}

SettingsDecision SettingsFollower::check(const SettingsChange &Change) const {
  SettingsLog Copy = Replica_.log();
  return Copy.apply(Replica_.offset().next(), formatChange(Change));
}

boost::json::object SettingsFollower::state() const {
  const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(Services_.Clock_.now() -
                                                                         SnapshotSeenAt_);
  return {{"ready", Ready_},
          {"offset", Replica_.offset().value()},
          {"revision", Replica_.log().revision().value()},
          {"floor", Replica_.log().floor().value()},
          {"digest", fmt::format("{:016x}", Replica_.digest())},
          {"leaves", Replica_.log().tree().size()},
          {"stopped_at_unknown_schema", Replica_.stopped()},
          {"platform_up", PlatformUp_},
          {"read_failures", ReadFailures_},
          {"scanning", Scan_.has_value()},
          {"gap", GapLogged_},
          {"changes_pending", Pending_.size()},
          {"snapshot_covered", SnapshotCovered_.value()},
          {"snapshot_age_ms", Age.count()},
          {"snapshot_armed", SnapshotPending_}};
}

} // namespace rattancart
