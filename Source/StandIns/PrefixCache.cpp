#include "StandIns/PrefixCache.h"

#include "Core/Common/Hash.h"

namespace rattancart {

namespace {

constexpr std::size_t MaxEvents = 10000;

bool isInGap(std::uint64_t Sequence, std::uint32_t Percent) {
  return stableHash(std::to_string(Sequence)) % 100 < Percent;
}

} // namespace

std::uint32_t PrefixCache::lookUp(const std::string &Prefix) {
  const auto It = Entries_.find(Prefix);
  if (It == Entries_.end())
    return 0;
  RecentFirst_.splice(RecentFirst_.begin(), RecentFirst_, It->second);
  return It->second->Tokens_;
}

void PrefixCache::store(const std::string &Prefix, std::uint32_t Tokens, TimePoint Now) {
  if (Prefix.empty() || Tokens > Limit_ || lookUp(Prefix) > 0)
    return;
  while (Used_ + Tokens > Limit_)
    evictOldest(Now);
  RecentFirst_.push_front({Prefix, Tokens});
  Entries_[Prefix] = RecentFirst_.begin();
  Used_ += Tokens;
  record(CacheEvent::Kind::Stored, Prefix, Now);
}

void PrefixCache::clear(TimePoint Now) {
  while (!RecentFirst_.empty())
    evictOldest(Now);
}

CacheEventPage PrefixCache::events(std::uint64_t From, TimePoint Now, Duration Lag,
                                   std::uint32_t GapPercent) const {
  CacheEventPage Page;
  Page.First_ = Events_.empty() ? NextEvent_ : Events_.front().Sequence_;
  Page.Next_ = Page.First_;
  for (const CacheEvent &Event : Events_) {
    if (Event.At_ > Now - Lag)
      break;
    Page.Next_ = Event.Sequence_ + 1;
    if (Event.Sequence_ >= From && !isInGap(Event.Sequence_, GapPercent))
      Page.Events_.push_back(Event);
  }
  return Page;
}

void PrefixCache::evictOldest(TimePoint Now) {
  const Entry Oldest = RecentFirst_.back();
  RecentFirst_.pop_back();
  Entries_.erase(Oldest.Prefix_);
  Used_ -= Oldest.Tokens_;
  record(CacheEvent::Kind::Evicted, Oldest.Prefix_, Now);
}

void PrefixCache::record(CacheEvent::Kind Kind, const std::string &Prefix, TimePoint Now) {
  Events_.push_back({NextEvent_++, Kind, Prefix, Now});
  if (Events_.size() > MaxEvents)
    Events_.pop_front();
}

} // namespace rattancart
