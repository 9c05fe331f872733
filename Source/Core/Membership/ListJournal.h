#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/EndpointListing.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace rattancart {

/// A position in the log of a topic: the offset of the next record to read.
using ListPosition = std::uint64_t;

/// A change of one entry of the list.
struct ListChange {
  /// The offset of its record.
  ListPosition Offset_ = 0;
  EndpointId Id_;
  /// Nothing if the entry was removed.
  std::optional<EndpointListing> Listing_;
};

/// The changes between two positions of the list's log, in the order of the log.
struct ListSpan {
  ListPosition From_ = 0;
  ListPosition To_ = 0;
  /// Whether the log ended at To_ when it was read.
  bool AtEnd_ = false;
  /// If it did, the digest of all entries at To_.
  std::uint64_t Digest_ = 0;
  std::vector<ListChange> Changes_;
  /// The era of the store in which the positions hold, if it is known.
  std::optional<StoreEra> Era_;
};

/// The changes that a reader of the list has seen in the last seconds, and the entries by which it
/// tells a change from a mere renewal. Not thread-safe.
class ListJournal {
public:
  /// Learns an entry other than by reading the log: from a listing, or from another gateway.
  void learn(const EndpointId &Id, const std::optional<EndpointListing> &Listing);
  /// The newest record of an entry can't be used.
  void forget(const EndpointId &Id) { learn(Id, std::nullopt); }
  /// A number that is the same in all processes that know the same entries.
  std::uint64_t digest() const { return Digest_; }
  /// What happened before Position is not known to this journal.
  void restart(ListPosition Position);
  /// A record of the log. Precondition: the offsets rise.
  void onRecord(ListPosition Offset, const EndpointId &Id,
                const std::optional<EndpointListing> &Listing);
  /// A read that began at ReadAt reached the end of the log at End.
  void onReadToEnd(ListPosition End, TimePoint ReadAt);
  /// The spans that lead to the end of the log as it was last read, each small enough for one
  /// datagram. A receiver that missed some reads still finds its position in one of them. Empty if
  /// the log was not read to its end since the restart.
  std::vector<ListSpan> spans() const;

private:
  /// The end that a read found.
  struct ReadMark {
    TimePoint At_;
    ListPosition End_ = 0;
    std::uint64_t Digest_ = 0;
  };

  void dropBefore(ListPosition Position);

  std::map<EndpointId, EndpointListing> Entries_;
  /// The sum of the digests of all entries.
  std::uint64_t Digest_ = 0;
  ListPosition From_ = 0;
  std::deque<ReadMark> Reads_;
  std::deque<ListChange> Changes_;
};

} // namespace rattancart
