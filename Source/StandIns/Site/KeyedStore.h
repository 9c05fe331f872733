#pragma once

#include "Core/Common/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rattancart {

/// A record of a keyed topic; without a value it drops its key.
struct StoreRecord {
  std::string Key_;
  std::optional<std::string> Value_;
};

/// One keyed topic with one partition: a log, and the newest record of each key.
class KeyedTopic {
public:
  void append(StoreRecord Record);
  /// The offset behind the last record, and the first that is still there.
  std::uint64_t end() const { return First_ + Records_.size(); }
  std::uint64_t first() const { return First_; }
  /// Precondition: From lies between first and end.
  std::vector<StoreRecord> read(std::uint64_t From) const;
  const std::map<std::string, std::string> &newest() const { return Newest_; }
  /// Drops the log; the newest records stay.
  void truncateLogs();

private:
  std::uint64_t First_ = 0;
  std::deque<StoreRecord> Records_;
  std::map<std::string, std::string> Newest_;
};

/// A group of members that share the partitions of one topic evenly.
///
/// A partition that is to move stays with its holder until that one joins with the new generation,
/// leaves or lapses. Not thread-safe.
class MemberGroup {
public:
  explicit MemberGroup(std::uint32_t Partitions) : Holders_(Partitions) {}

  struct Place {
    std::int64_t Generation_ = 0;
    std::vector<std::uint32_t> Partitions_;
  };
  Place join(const std::string &Member, Duration TimeToLive, std::int64_t Generation,
             TimePoint Now);
  void leave(const std::string &Member, TimePoint Now);
  /// The holder of each partition; an empty name if there is none.
  const std::vector<std::string> &holders(TimePoint Now);
  std::int64_t generation() const { return Generation_; }

private:
  void expire(TimePoint Now);
  void remove(const std::string &Member);
  void deal();

  std::vector<std::string> Holders_;
  /// Who gets a partition once its holder lets go.
  std::vector<std::string> Next_;
  std::map<std::string, TimePoint> Members_;
  std::int64_t Generation_ = 0;
};

} // namespace rattancart
