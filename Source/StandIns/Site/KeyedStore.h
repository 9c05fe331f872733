#pragma once

#include "Core/Common/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattancart {

/// A record of a keyed topic; without a value it deletes its key.
struct StoreRecord {
  std::string Key_;
  std::optional<std::string> Value_;
};

/// A keyed topic with one partition: its log, and the newest value of each key.
class KeyedTopic {
public:
  void append(StoreRecord Record);
  /// The offset after the last record.
  std::uint64_t end() const { return First_ + Records_.size(); }
  /// The offset of the first record that the log still holds.
  std::uint64_t first() const { return First_; }
  /// Precondition: From lies between first and end.
  std::vector<StoreRecord> read(std::uint64_t From) const;
  const std::map<std::string, std::string> &newest() const { return Newest_; }
  /// Removes all records from the log; end() and the newest values stay.
  void truncateLogs();

private:
  std::uint64_t First_ = 0;
  std::deque<StoreRecord> Records_;
  std::map<std::string, std::string> Newest_;
};

/// A group of members that share the partitions of one topic evenly.
///
/// A partition that is assigned to another member stays with its owner until the owner joins with
/// the new generation, leaves or lets its membership expire. Not thread-safe.
class MemberGroup {
public:
  explicit MemberGroup(std::uint32_t Partitions) : Owners_(Partitions) {}

  struct Assignment {
    std::int64_t Generation_ = 0;
    std::vector<std::uint32_t> Partitions_;
  };
  /// Adds a member or renews its membership for TimeToLive. Generation is the newest one that the
  /// member has seen. Returns the partitions that it owns and may keep.
  Assignment join(const std::string &Member, Duration TimeToLive, std::int64_t Generation,
                  TimePoint Now);
  void leave(const std::string &Member, TimePoint Now);
  /// The owner of each partition; an empty name if there is none.
  const std::vector<std::string> &owners(TimePoint Now);
  std::int64_t generation() const { return Generation_; }

private:
  void expire(TimePoint Now);
  void remove(const std::string &Member);
  void rebalance();

  std::vector<std::string> Owners_;
  /// The member that gets each partition once its owner releases it.
  std::vector<std::string> TargetOwners_;
  /// When each membership expires.
  std::map<std::string, TimePoint> Members_;
  std::int64_t Generation_ = 0;
};

} // namespace rattancart
