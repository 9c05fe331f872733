#include "Core/Membership/ListRelay.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// A reader reads this many times as often as a gateway alone. So receivers hear of a read of the
/// list before their own is due, also if it waited in the store for half of the time; and they hear
/// of a configuration in time also if the store answers the reader only at the end of its wait and
/// some announcements are lost.
constexpr int ReaderRate = 2;
/// Each gateway reads the list itself at intervals in this range, so that a faulty reader misleads
/// it no longer. Random, so that receivers whose reads were due together don't stay together.
constexpr Duration MinOwnReadInterval = milliseconds(8000);
constexpr Duration MaxOwnReadInterval = milliseconds(10000);
/// Minimum time between two reads if one did not reach the end of the log.
constexpr Duration MinReadSpacing = milliseconds(200);
/// Range of the time between two listings that a gateway makes since a reader knows other entries.
/// It doubles each time, since the reader may be the one that is wrong.
constexpr Duration MinListingBackoff = milliseconds(5000);
constexpr Duration MaxListingBackoff = milliseconds(60000);
/// Entries that agreed for this long since the last listing were right.
constexpr Duration AgreedTime = milliseconds(60000);
/// How long the store holds a receiver's read of the configuration.
constexpr Duration LongConfigWait = milliseconds(10000);
/// An announcement of the configuration's end counts for this long at most.
constexpr Duration MaxAnnouncementLifetime = milliseconds(1000);
/// The store answers a waiting read within this time after a record was written.
constexpr Duration AnswerTime = milliseconds(300);
/// A gateway reads the store itself if it has not reached an announced end of the configuration's
/// log within this time, whatever other gateways offer.
constexpr Duration FetchPatience = milliseconds(1000);

} // namespace

std::vector<std::string> storeReaders(const std::string &Owner,
                                      const std::vector<std::string> &StandIns, std::size_t Count) {
  if (Count == 0 || Owner.empty())
    return {};
  std::vector<std::string> Readers{Owner};
  bool Others = false;
  for (const std::string &Each : StandIns) {
    if (Each == Owner)
      continue;
    if (Readers.size() < Count)
      Readers.push_back(Each);
    else
      Others = true;
  }
  return Others ? Readers : std::vector<std::string>();
}

ListRelay::ListRelay(Options Use, std::mt19937::result_type Seed)
    : Options_(Use), Random_(Seed), OwnReadInterval_(MinOwnReadInterval),
      OwnConfigReadInterval_(MinOwnReadInterval) {}

Duration ListRelay::drawOwnReadInterval() {
  return Duration(std::uniform_int_distribution<Duration::rep>(
      MinOwnReadInterval.count(), MaxOwnReadInterval.count())(Random_));
}

void ListRelay::setEra(StoreEra Era) {
  if (Era_ == Era)
    return;
  const bool First = !std::exchange(Era_, Era);
  NamedEra_.reset();
  FollowedEra_.reset();
  Announcements_.clear();
  if (First)
    return;
  onConfigLost();
  PublishedReadAt_.reset();
  Diverged_ = false;
}

void ListRelay::onListEntry(const EndpointId &Id, const std::optional<EndpointListing> &Listing) {
  Journal_.learn(Id, Listing);
}

void ListRelay::onListed(ListPosition Position, TimePoint ReadAt) {
  Journal_.restart(Position);
  PublishedReadAt_.reset();
  KnownAt_ = ReadAt;
  OwnReadAt_ = ReadAt;
  Diverged_ = false;
}

void ListRelay::onListRecord(ListPosition Offset, const EndpointId &Id,
                             const std::optional<EndpointListing> &Listing) {
  Journal_.onRecord(Offset, Id, Listing);
}

void ListRelay::onListRead(ListPosition Position, ListPosition End, TimePoint ReadAt) {
  OwnReadAt_ = ReadAt;
  OwnReadInterval_ = drawOwnReadInterval();
  if (Position < End)
    return;
  KnownAt_ = std::max(KnownAt_, ReadAt);
  Journal_.onReadToEnd(End, ReadAt);
  PublishedReadAt_ = ReadAt;
}

TimePoint ListRelay::listReadDue(Duration Interval) const {
  if (Role_ == StoreRole::Reader && Trusted_)
    return OwnReadAt_ + std::min(Interval, Options_.ListInterval_ / ReaderRate);
  if (isReceiving())
    return std::max(std::min(KnownAt_ + Interval, OwnReadAt_ + OwnReadInterval_),
                    OwnReadAt_ + MinReadSpacing);
  return OwnReadAt_ + Interval;
}

ListReadCause ListRelay::listReadCause() const {
  return Role_ == StoreRole::Receiver ? ListReadCause::Due : ListReadCause::Own;
}

Duration ListRelay::listWait(Duration Usual) const {
  if (Role_ != StoreRole::Reader)
    return Usual;
  return std::min(Usual, Options_.ListInterval_ / ReaderRate / 2);
}

SpanOutcome ListRelay::accept(const ListSpan &Span, TimePoint ReadAt, ListPosition Position,
                              TimePoint Now, std::vector<ListChange> &Changes) {
  if (!isReceiving())
    return SpanOutcome::Untrusted;
  if (Span.Era_ != Era_)
    return SpanOutcome::OtherEra;
  // Guards against datagrams that are late: of an earlier state, or of the log before it shrank.
  if (ReadAt <= KnownAt_)
    return SpanOutcome::Old;
  if (Position < Span.From_ || Position > Span.To_)
    return SpanOutcome::Elsewhere;
  for (const ListChange &Change : Span.Changes_) {
    if (Change.Offset_ < Position)
      continue;
    Journal_.learn(Change.Id_, Change.Listing_);
    Changes.push_back(Change);
  }
  // What this gateway would publish has to come from its own reads.
  Journal_.restart(Span.To_);
  PublishedReadAt_.reset();
  if (Span.AtEnd_ && Span.Digest_ != Journal_.digest()) {
    onDiverged(Now);
    return SpanOutcome::Diverged;
  }
  if (Span.AtEnd_)
    KnownAt_ = ReadAt;
  return SpanOutcome::Applied;
}

void ListRelay::onDiverged(TimePoint Now) {
  const bool First = DivergedAt_ == TimePoint{} || Now - DivergedAt_ > AgreedTime;
  ListingDueAt_ = First ? Now : std::max(Now, ListingDueAt_ + ListingBackoff_);
  ListingBackoff_ = First ? MinListingBackoff : std::min(ListingBackoff_ * 2, MaxListingBackoff);
  DivergedAt_ = Now;
  Diverged_ = true;
}

void ListRelay::onConfigReadBegins(ListPosition Position, Duration Wait, TimePoint Now) {
  ConfigReadBegan_ = Now;
  ConfigReadFrom_ = Position;
  ConfigReadWait_ = Wait;
  // The answer to a read that does not wait names the era.
  if (Wait == Duration{})
    FollowedEra_ = NamedEra_;
}

void ListRelay::onConfigRead(ListPosition Position, TimePoint Now) {
  for (auto &[Reader, Each] : Announcements_)
    if (ConfigReadBegan_ && *ConfigReadBegan_ >= Each.Since_ && Each.End_ != Position)
      Each.Followed_ = true;
  if (ConfigReadBegan_ && ConfigLag_ && *ConfigReadBegan_ >= ConfigLag_->Since_)
    ConfigLag_.reset();
  ConfigReadBegan_.reset();
  ConfigPosition_ = Position;
  updateConfigLag();
  OwnConfigReadAt_ = Now;
  OwnConfigReadInterval_ = drawOwnReadInterval();
}

void ListRelay::onConfigLost() {
  ConfigReadBegan_.reset();
  ConfigPosition_.reset();
  ConfigLag_.reset();
}

void ListRelay::onConfigAnnounced(GatewayRun Reader, ListPosition End, std::optional<StoreEra> Era,
                                  TimePoint SentAt, TimePoint Now, std::string Source) {
  if (Era != Era_) {
    if (Era && Era_ && *Era > *Era_)
      NamedEra_ = std::max(NamedEra_, Era);
    return;
  }
  std::erase_if(Announcements_, [&](const auto &Entry) { return !isFresh(Entry.second, Now); });
  const auto [Known, Added] =
      Announcements_.try_emplace(Reader, Announcement{End, SentAt, Now, false, Source});
  if (!Added && SentAt > Known->second.SentAt_) {
    Known->second.SentAt_ = SentAt;
    if (Known->second.End_ != End)
      Known->second = {End, SentAt, Now, false, Source};
    Known->second.Source_ = std::move(Source);
  }
  updateConfigLag();
}

void ListRelay::updateConfigLag() {
  // An announcement of a later end does not make the earlier one any newer.
  if (!ConfigPosition_ || (ConfigLag_ && ConfigLag_->End_ > *ConfigPosition_))
    return;
  ConfigLag_.reset();
  for (const auto &[Reader, Each] : Announcements_)
    if (Each.End_ > *ConfigPosition_ && !Each.Followed_ &&
        (!ConfigLag_ || Each.Since_ < ConfigLag_->Since_))
      ConfigLag_ = {Each.End_, Each.Since_};
}

bool ListRelay::reliesOnOffers(TimePoint Now) const {
  return Role_ == StoreRole::Receiver && Trusted_ && ConfigPosition_ &&
         std::any_of(Announcements_.begin(), Announcements_.end(), [&](const auto &Entry) {
           return isFresh(Entry.second, Now) && !Entry.second.Source_.empty();
         });
}

std::optional<ConfigOffer> ListRelay::configOffer(TimePoint Now) {
  if (!reliesOnOffers(Now))
    return std::nullopt;
  std::vector<ConfigOffer> Latest;
  for (const auto &[Reader, Each] : Announcements_) {
    if (!isFresh(Each, Now) || Each.Source_.empty() || Each.Refused_ ||
        Each.End_ <= *ConfigPosition_)
      continue;
    if (!Latest.empty() && Each.End_ > Latest.front().End_)
      Latest.clear();
    if (Latest.empty() || Each.End_ == Latest.front().End_)
      Latest.push_back({Reader, Each.Source_, Each.End_});
  }
  if (Latest.empty())
    return std::nullopt;
  // The receivers spread over the readers.
  return Latest[std::uniform_int_distribution<std::size_t>(0, Latest.size() - 1)(Random_)];
}

void ListRelay::onConfigFetchFailed(GatewayRun Reader) {
  if (const auto Known = Announcements_.find(Reader); Known != Announcements_.end())
    Known->second.Refused_ = true;
}

void ListRelay::onConfigFetched(ListPosition Position) {
  ConfigReadBegan_.reset();
  ConfigPosition_ = Position;
  updateConfigLag();
}

TimePoint ListRelay::configReadDue(TimePoint Now) const {
  if (!reliesOnOffers(Now))
    return Now;
  if (NamedEra_ != FollowedEra_)
    return Now;
  if (ConfigLag_ && Now - ConfigLag_->Since_ >= FetchPatience)
    return Now;
  bool Offered = false;
  bool Differs = false;
  for (const auto &[Reader, Each] : Announcements_) {
    if (!isFresh(Each, Now) || Each.End_ == *ConfigPosition_)
      continue;
    Offered = Offered || (Each.End_ > *ConfigPosition_ && !Each.Source_.empty() && !Each.Refused_);
    Differs = Differs || (Now - Each.Since_ >= AnswerTime && !Each.Followed_);
  }
  if (Differs && !Offered)
    return Now;
  return OwnConfigReadAt_ + OwnConfigReadInterval_;
}

bool ListRelay::isFresh(const Announcement &Each, TimePoint Now) const {
  return Now - Each.SentAt_ <= std::min(MaxAnnouncementLifetime, Options_.ConfigWait_ / ReaderRate);
}

bool ListRelay::hasFreshAnnouncement(TimePoint Now) const {
  return std::any_of(Announcements_.begin(), Announcements_.end(),
                     [&](const auto &Entry) { return isFresh(Entry.second, Now); });
}

std::optional<ListPosition> ListRelay::laterConfigEnd(TimePoint Now) const {
  std::optional<ListPosition> Latest;
  for (const auto &[Reader, Each] : Announcements_)
    if (ConfigPosition_ && isFresh(Each, Now) && Each.End_ > *ConfigPosition_)
      Latest = std::max(Latest, std::optional(Each.End_));
  return Latest;
}

Duration ListRelay::configWait(TimePoint Now) const {
  if (Role_ == StoreRole::Reader && Trusted_)
    return Options_.ConfigWait_ / ReaderRate;
  // The store may answer a read that waits only at the end of its wait, also for a record that came
  // while this gateway made no read.
  if (reliesOnOffers(Now) || (ConfigPosition_ && Now - OwnConfigReadAt_ > AnswerTime))
    return Duration{};
  if (Role_ != StoreRole::Receiver || !Trusted_ || !ConfigPosition_ || !hasFreshAnnouncement(Now))
    return Options_.ConfigWait_;
  for (const auto &[Reader, Each] : Announcements_)
    if (isFresh(Each, Now) && Each.End_ != *ConfigPosition_)
      return Options_.ConfigWait_;
  return std::max(LongConfigWait, Options_.ConfigWait_);
}

ConfigReadEnd ListRelay::configReadEnd(TimePoint Now) {
  if (ConfigReadBegan_ && ConfigReadWait_ > Duration{} && NamedEra_ != FollowedEra_) {
    FollowedEra_ = NamedEra_;
    return ConfigReadEnd::LaterEra;
  }
  if (!ConfigReadBegan_ || ConfigReadWait_ <= Options_.ConfigWait_)
    return ConfigReadEnd::None;
  if (Role_ != StoreRole::Receiver || !Trusted_ || !hasFreshAnnouncement(Now))
    return ConfigReadEnd::Unannounced;
  bool Differs = false;
  for (auto &[Reader, Each] : Announcements_) {
    if (!isFresh(Each, Now) || Each.Followed_ || Each.End_ == ConfigReadFrom_ ||
        Now - std::max(Each.Since_, *ConfigReadBegan_) < AnswerTime)
      continue;
    Differs = true;
    Each.Followed_ = true;
  }
  return Differs ? ConfigReadEnd::Announced : ConfigReadEnd::None;
}

std::optional<ListPublication> ListRelay::publication(TimePoint Now) const {
  if (Role_ != StoreRole::Reader || !Trusted_)
    return std::nullopt;
  ListPublication Content;
  Content.Era_ = Era_;
  Content.ListReadAt_ = PublishedReadAt_;
  if (PublishedReadAt_)
    Content.Spans_ = Journal_.spans();
  const bool Overdue = ConfigReadBegan_ && Now - *ConfigReadBegan_ > ConfigReadWait_ + AnswerTime;
  if (!Overdue)
    Content.ConfigEnd_ = ConfigPosition_;
  return Content;
}

} // namespace rattancart
