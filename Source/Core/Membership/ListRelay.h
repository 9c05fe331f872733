#pragma once

#include "Core/Membership/ListJournal.h"
#include "Core/Membership/ReaderClocks.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rattancart {

/// How a gateway gets what the store holds.
enum class StoreRole : std::uint8_t {
  /// Reads for itself alone.
  Alone,
  /// Reads for itself and for the other gateways of its data centre.
  Reader,
  /// Gets the list from readers, and reads it only when that is due.
  Receiver,
};

/// The gateways of a data centre that read the store for the others: the owner of the placement and
/// the first of its stand-ins, Count in total. Empty if Count is 0, if the owner is not known, or
/// if there are not more gateways than that. Thread-safe.
std::vector<std::string> storeReaders(const std::string &Owner,
                                      const std::vector<std::string> &StandIns, std::size_t Count);

/// What a reader publishes.
struct ListPublication {
  /// The start of the read that found the end of the list's log; nothing if there was none.
  std::optional<TimePoint> ListReadAt_;
  std::vector<ListSpan> Spans_;
  /// The end of the configuration's log; nothing if it is not known for certain.
  std::optional<ListPosition> ConfigEnd_;
  /// The era of the store in which these positions hold, if the store names eras.
  std::optional<StoreEra> Era_;
};

/// Why a read of the list is due.
enum class ListReadCause : std::uint8_t {
  /// This gateway reads for itself, or for others.
  Own,
  /// What it knows from readers is too old, or it has not read itself for long.
  Due,
};

/// Why a read of the configuration is given up.
enum class ConfigReadEnd : std::uint8_t {
  /// It goes on.
  None,
  /// A reader announced an end of the log that differs from the position here.
  Announced,
  /// Readers announce nothing more, or this gateway is no receiver any more.
  Unannounced,
  /// A reader named a later era of the store, which only an answer of the store can confirm.
  LaterEra,
};

/// A configuration that a reader offers to other gateways.
struct ConfigOffer {
  GatewayRun Reader_;
  /// The address at which the reader hands it out.
  std::string Source_;
  /// The end of the configuration's log that it has read.
  ListPosition End_ = 0;
};

/// What becomes of a span that a reader published.
enum class SpanOutcome : std::uint8_t {
  Applied,
  /// It tells no more than what is known.
  Old,
  /// The position here is not within the span.
  Elsewhere,
  /// It was applied, but the reader then knows other entries than this gateway.
  Diverged,
  /// This gateway trusts only its own reads now.
  Untrusted,
  /// Its positions are those of another era of the store.
  OtherEra,
};

/// Decides when a gateway reads the store, what a reader publishes, and what a receiver takes over.
///
/// A receiver knows for each state of the list a time up to which it is complete: the start of the
/// read that found it, as a lower bound in the receiver's clock. It reads the list itself as soon
/// as that time is as old as the interval at which it would read it alone. Its knowledge is thus
/// never older than without readers, whatever readers and datagrams do.
///
/// Renewals of entries, which correct the list of a gateway that reads alone, are not relayed. So
/// readers publish a digest of all entries. A receiver that differs lists anew, and until then uses
/// only its own reads.
///
/// Positions are compared only within one era of the store. Not thread-safe.
class ListRelay {
public:
  struct Options {
    /// How often a gateway that reads for itself alone reads the list.
    Duration ListInterval_ = std::chrono::milliseconds(1500);
    /// How long the store holds a read of the configuration of such a gateway.
    Duration ConfigWait_ = std::chrono::milliseconds(2000);
  };

  ListRelay(Options Use, std::mt19937::result_type Seed);

  void setRole(StoreRole Role) { Role_ = Role; }
  StoreRole role() const { return Role_; }
  /// The era of the store, if it names eras.
  std::optional<StoreEra> era() const { return Era_; }
  /// While Trusted is false, because the store is out of reach or entries of the list may reappear,
  /// the gateway uses only its own reads and publishes nothing.
  void setTrusted(bool Trusted) { Trusted_ = Trusted; }

  /// The store names this era. If it named another one before, nothing that was learned from the
  /// store or from readers is used any more, until the list and the configuration were listed anew.
  void setEra(StoreEra Era);

  /// An entry of a listing, or one that a complete listing lacks.
  void onListEntry(const EndpointId &Id, const std::optional<EndpointListing> &Listing);
  /// A listing that began at ReadAt is complete; the log is followed from Position.
  void onListed(ListPosition Position, TimePoint ReadAt);
  /// The newest record of an entry can't be used.
  void onListEntryRejected(const EndpointId &Id) { Journal_.forget(Id); }
  /// A record of the list's log in an own read.
  void onListRecord(ListPosition Offset, const EndpointId &Id,
                    const std::optional<EndpointListing> &Listing);
  /// An own read that began at ReadAt led to Position; the log's end was End.
  void onListRead(ListPosition Position, ListPosition End, TimePoint ReadAt);
  /// When the next own read of the list is due. Interval is the time between two reads of a gateway
  /// that reads for itself alone, now.
  TimePoint listReadDue(Duration Interval) const;
  ListReadCause listReadCause() const;
  /// Whether the list must be listed anew, since a reader knows other entries.
  bool listingDue(TimePoint Now) const { return Diverged_ && Now >= ListingDueAt_; }
  /// How long the store may hold a read of the list that waits for Usual if it has no readers.
  Duration listWait(Duration Usual) const;
  /// The time up to which the list is known to be complete; the epoch before the first listing.
  TimePoint listKnownAt() const { return KnownAt_; }

  /// Decides on a span from a read that began at ReadAt or later. If it is applied, the caller's
  /// position moves from Position to its end, and Changes are those that are new.
  SpanOutcome accept(const ListSpan &Span, TimePoint ReadAt, ListPosition Position, TimePoint Now,
                     std::vector<ListChange> &Changes);

  /// A read of the configuration from Position begins; the store holds it for Wait.
  void onConfigReadBegins(ListPosition Position, Duration Wait, TimePoint Now);
  /// A read or listing of the configuration was answered at Now and led to Position.
  void onConfigRead(ListPosition Position, TimePoint Now);
  /// A read of the configuration failed or was given up, or its listing begins anew.
  void onConfigLost();
  /// A reader announced at SentAt or later the end of the configuration's log in that era of the
  /// store; no era if the reader knows of none. It hands the configuration out at Source, unless
  /// that is empty.
  void onConfigAnnounced(GatewayRun Reader, ListPosition End, std::optional<StoreEra> Era,
                         TimePoint SentAt, TimePoint Now, std::string Source = {});
  /// The offer of a later configuration to take now; nothing if there is none.
  std::optional<ConfigOffer> configOffer(TimePoint Now);
  /// A fetch ended without a configuration that could be used: the reader's offer is taken no
  /// further.
  void onConfigFetchFailed(GatewayRun Reader);
  /// A configuration was fetched and led to Position.
  void onConfigFetched(ListPosition Position);
  /// When the next own read of the configuration is due. It is due at once unless readers offer
  /// what they read: then they are relied on, and checked from time to time.
  TimePoint configReadDue(TimePoint Now) const;
  /// The latest end of the configuration's log that readers announce now, if it lies after the
  /// position of this gateway.
  std::optional<ListPosition> laterConfigEnd(TimePoint Now) const;
  /// How long the store may hold the next read of the configuration.
  Duration configWait(TimePoint Now) const;
  /// Whether to give up the read of the configuration that is under way, and why.
  ConfigReadEnd configReadEnd(TimePoint Now);

  /// What this gateway publishes; nothing if it is not a reader.
  std::optional<ListPublication> publication(TimePoint Now) const;

private:
  struct Announcement {
    ListPosition End_ = 0;
    TimePoint SentAt_;
    /// Since when the reader announces this end.
    TimePoint Since_;
    /// A read was given up for this end, or one that began later did not show it.
    bool Followed_ = false;
    std::string Source_;
    /// The reader did not hand out the configuration at this end.
    bool Refused_ = false;
  };

  /// An end of the configuration's log that readers have announced since then.
  struct ConfigLag {
    ListPosition End_ = 0;
    TimePoint Since_;
  };
  void updateConfigLag();

  /// Whether this gateway uses what readers publish now.
  bool isReceiving() const { return Role_ == StoreRole::Receiver && Trusted_ && !Diverged_; }
  void onDiverged(TimePoint Now);
  Duration drawOwnReadInterval();
  bool isFresh(const Announcement &Each, TimePoint Now) const;
  bool hasFreshAnnouncement(TimePoint Now) const;
  /// Whether this gateway relies on readers that offer the configuration.
  bool reliesOnOffers(TimePoint Now) const;

  Options Options_;
  mutable std::mt19937 Random_;
  StoreRole Role_ = StoreRole::Alone;
  bool Trusted_ = true;
  ListJournal Journal_;
  TimePoint KnownAt_{};
  /// Start of the last own read or listing that was answered, and the time to the next one if
  /// readers spare all others.
  TimePoint OwnReadAt_{};
  Duration OwnReadInterval_{};
  std::optional<TimePoint> PublishedReadAt_;
  /// A reader knows other entries; the list is listed anew at the time given, and the time between
  /// two such listings.
  bool Diverged_ = false;
  TimePoint ListingDueAt_{};
  Duration ListingBackoff_{};
  TimePoint DivergedAt_{};
  /// The position in the configuration's log; nothing after a failure.
  std::optional<ListPosition> ConfigPosition_;
  std::optional<StoreEra> Era_;
  /// The latest era that a reader has named and that a read was given up for.
  std::optional<StoreEra> FollowedEra_;
  /// The latest era that a reader has named.
  std::optional<StoreEra> NamedEra_;
  /// The read of the configuration that is under way.
  std::optional<TimePoint> ConfigReadBegan_;
  ListPosition ConfigReadFrom_ = 0;
  Duration ConfigReadWait_{};
  /// When the last own read of the configuration was answered, and the time to the next one if
  /// readers spare all others.
  TimePoint OwnConfigReadAt_{};
  Duration OwnConfigReadInterval_{};
  /// The first announced end of the configuration's log that this gateway has not reached yet.
  std::optional<ConfigLag> ConfigLag_;
  std::map<GatewayRun, Announcement> Announcements_;
};

} // namespace rattancart
