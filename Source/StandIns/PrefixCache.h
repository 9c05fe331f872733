#pragma once

#include "Core/Common/Clock.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace rattancart {

/// A change of the prefix cache that an engine publishes.
struct CacheEvent {
  enum class Kind : std::uint8_t { Stored, Evicted };
  std::uint64_t Sequence_ = 0;
  Kind Kind_ = Kind::Stored;
  std::string Prefix_;
  TimePoint At_{};
};

/// The result of reading cache events. [First_, Next_) are the numbers of the events that are still
/// kept and old enough to be shown.
struct CacheEventPage {
  std::uint64_t First_ = 1;
  std::uint64_t Next_ = 1;
  std::vector<CacheEvent> Events_;
};

/// Prompt prefixes whose KV cache an engine keeps, limited in tokens; the least recently used ones
/// are evicted. Not thread-safe.
class PrefixCache {
public:
  explicit PrefixCache(std::uint64_t LimitTokens) : Limit_(LimitTokens) {}

  /// The number of tokens cached for a prefix, or 0. Marks the prefix as recently used.
  std::uint32_t lookUp(const std::string &Prefix);
  /// Caches a prefix. Ignored if it is empty, cached already or larger than the cache.
  void store(const std::string &Prefix, std::uint32_t Tokens, TimePoint Now);
  void clear(TimePoint Now);
  std::uint64_t used() const { return Used_; }
  std::uint64_t limit() const { return Limit_; }
  /// The events from number From on that are at least Lag old; GapPercent of all events are left
  /// out for good.
  CacheEventPage events(std::uint64_t From, TimePoint Now, Duration Lag,
                        std::uint32_t GapPercent) const;

private:
  struct Entry {
    std::string Prefix_;
    std::uint32_t Tokens_ = 0;
  };
  void evictOldest(TimePoint Now);
  void record(CacheEvent::Kind Kind, const std::string &Prefix, TimePoint Now);

  std::uint64_t Limit_;
  std::uint64_t Used_ = 0;
  /// Most recently used first.
  std::list<Entry> RecentFirst_;
  std::unordered_map<std::string, std::list<Entry>::iterator> Entries_;
  std::deque<CacheEvent> Events_;
  std::uint64_t NextEvent_ = 1;
};

} // namespace rattancart
