#include "Core/Membership/ListRelay.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
const ListRelay::Options Usual{1500ms, 2000ms};
const GatewayRun Reader{1};

EndpointListing entry(const std::string &Id, EndpointState State = EndpointState::Live) {
  EndpointListing Listing;
  Listing.Id_ = EndpointId(Id);
  Listing.State_ = State;
  return Listing;
}

/// A gateway that listed at Start and follows the log from 100.
ListRelay relayAt100(StoreRole Role) {
  ListRelay Relay(Usual, 1);
  Relay.setRole(Role);
  Relay.onListEntry(EndpointId("a"), entry("a"));
  Relay.onListed(100, Start);
  return Relay;
}

struct ReadersCase {
  const char *Name_;
  std::string Owner_;
  std::vector<std::string> StandIns_;
  std::size_t Count_;
  std::vector<std::string> Expected_;
};

std::ostream &operator<<(std::ostream &Out, const ReadersCase &Case) { return Out << Case.Name_; }

const ReadersCase ReadersCases[] = {
    {"switched off", "b", {"a", "b", "c"}, 0, {}},
    {"owner not known", "", {"a", "b", "c"}, 2, {}},
    {"the owner is the first stand-in", "a", {"a", "b", "c"}, 2, {"a", "b"}},
    {"the owner is a later stand-in", "c", {"a", "b", "c"}, 2, {"c", "a"}},
    {"the owner is not among the stand-ins named", "z", {"a", "b", "c"}, 2, {"z", "a"}},
    {"one reader", "b", {"a", "b", "c"}, 1, {"b"}},
    {"as many gateways as readers", "a", {"a", "b"}, 2, {}},
    {"one more gateway than readers", "a", {"a", "b", "c"}, 2, {"a", "b"}},
    {"a gateway alone", "a", {"a"}, 2, {}},
};

struct SpanCase {
  const char *Name_;
  ListPosition From_;
  ListPosition To_;
  bool AtEnd_;
  /// When the read began, after the listing here.
  Duration ReadAt_;
  SpanOutcome Expected_;
  /// By how much the knowledge gets newer.
  Duration Newer_;
  std::size_t Changes_;
};

std::ostream &operator<<(std::ostream &Out, const SpanCase &Case) { return Out << Case.Name_; }

/// The span has changes at 95, 105 and 115 where it contains them.
const SpanCase SpanCases[] = {
    {"from the position here", 100, 120, true, 500ms, SpanOutcome::Applied, 500ms, 2},
    {"across the position here", 90, 120, true, 500ms, SpanOutcome::Applied, 500ms, 2},
    {"up to the position here", 90, 100, true, 500ms, SpanOutcome::Applied, 500ms, 0},
    {"beyond the position here", 101, 120, true, 500ms, SpanOutcome::Elsewhere, 0ms, 0},
    {"the reader's log got shorter", 80, 99, true, 500ms, SpanOutcome::Elsewhere, 0ms, 0},
    {"not up to the end of the log", 90, 110, false, 500ms, SpanOutcome::Applied, 0ms, 1},
    {"read before the listing here", 90, 120, true, -10ms, SpanOutcome::Old, 0ms, 0},
    {"read as the listing here began", 90, 120, true, 0ms, SpanOutcome::Old, 0ms, 0},
};

struct DueCase {
  const char *Name_;
  StoreRole Role_;
  bool Trusted_;
  /// When a reader's read began that this gateway learned of, after its own; 0 for none.
  Duration Learned_;
  Duration Least_;
  Duration Most_;
};

std::ostream &operator<<(std::ostream &Out, const DueCase &Case) { return Out << Case.Name_; }

const DueCase DueCases[] = {
    {"alone", StoreRole::Alone, true, 0ms, 1500ms, 1500ms},
    {"a reader reads more often", StoreRole::Reader, true, 0ms, 750ms, 750ms},
    {"a reader after an outage", StoreRole::Reader, false, 0ms, 1500ms, 1500ms},
    {"a receiver without readers", StoreRole::Receiver, true, 0ms, 1500ms, 1500ms},
    {"a receiver", StoreRole::Receiver, true, 700ms, 2200ms, 2200ms},
    {"a receiver in an outage", StoreRole::Receiver, false, 700ms, 1500ms, 1500ms},
    {"a receiver that has not read for long", StoreRole::Receiver, true, 20s, 8s, 10s},
};

struct ConfigCase {
  const char *Name_;
  StoreRole Role_;
  bool Trusted_;
  /// The end that a reader announces; nothing for no announcement.
  std::optional<ListPosition> Announced_;
  /// How old the announcement is as it arrives.
  Duration Age_;
  Duration Wait_;
};

std::ostream &operator<<(std::ostream &Out, const ConfigCase &Case) { return Out << Case.Name_; }

/// The position here is 7.
const ConfigCase ConfigCases[] = {
    {"alone", StoreRole::Alone, true, 7, 0ms, 2s},
    {"a reader", StoreRole::Reader, true, 7, 0ms, 1s},
    {"a receiver", StoreRole::Receiver, true, 7, 0ms, 10s},
    {"a receiver in an outage", StoreRole::Receiver, false, 7, 0ms, 2s},
    {"no announcement", StoreRole::Receiver, true, std::nullopt, 0ms, 2s},
    {"an announcement that arrived late", StoreRole::Receiver, true, 7, 1100ms, 2s},
    {"a longer log is announced", StoreRole::Receiver, true, 8, 0ms, 2s},
    {"a shorter log is announced", StoreRole::Receiver, true, 6, 0ms, 2s},
};

struct GiveUpCase {
  const char *Name_;
  /// The end that a reader announces 400 ms after the read began, again each 200 ms.
  ListPosition Announced_;
  /// When it announces nothing more.
  Duration SilentFrom_;
  /// When the read is given up; 0 if it is not.
  Duration Expected_;
  ConfigReadEnd End_;
};

std::ostream &operator<<(std::ostream &Out, const GiveUpCase &Case) { return Out << Case.Name_; }

const GiveUpCase GiveUpCases[] = {
    {"no change", 7, 20s, 0ms, ConfigReadEnd::None},
    {"a longer log", 8, 20s, 700ms, ConfigReadEnd::Announced},
    {"a shorter log", 6, 20s, 700ms, ConfigReadEnd::Announced},
    {"the readers fall silent", 7, 3s, 3900ms, ConfigReadEnd::Unannounced},
};

struct RoundTripCase {
  const char *Name_;
  Duration Way_;
  Duration Back_;
  /// How long the datagram that is judged was on its way.
  Duration Transit_;
};

std::ostream &operator<<(std::ostream &Out, const RoundTripCase &Case) { return Out << Case.Name_; }

const RoundTripCase RoundTripCases[] = {
    {"fast", 1ms, 1ms, 1ms},
    {"the subscription was late", 900ms, 1ms, 1ms},
    {"the answer was late", 1ms, 900ms, 1ms},
    {"the datagram was late", 1ms, 1ms, 4s},
};

/// What a gateway at position 7 of the configuration's log is told, and what it does 500 ms later.
struct OfferCase {
  const char *Name_;
  StoreRole Role_;
  bool Trusted_;
  ListPosition End_;
  const char *Source_;
  /// The reader did not hand the configuration out.
  bool Refused_;
  /// An own read that began after the announcement still led to position 7.
  bool Disproved_;
  /// Whether it fetches the configuration, and whether it reads the store at once.
  bool Fetches_;
  bool Reads_;
};

std::ostream &operator<<(std::ostream &Out, const OfferCase &Case) { return Out << Case.Name_; }

const OfferCase OfferCases[] = {
    {"a later end", StoreRole::Receiver, true, 9, "a:1", false, false, true, false},
    {"the same end", StoreRole::Receiver, true, 7, "a:1", false, false, false, false},
    {"an earlier end", StoreRole::Receiver, true, 6, "a:1", false, false, false, true},
    {"an earlier end that is wrong", StoreRole::Receiver, true, 6, "a:1", false, true, false,
     false},
    {"declined", StoreRole::Receiver, true, 9, "a:1", true, false, false, true},
    {"declined, and wrong", StoreRole::Receiver, true, 9, "a:1", true, true, false, false},
    {"not handed out", StoreRole::Receiver, true, 9, "", false, false, false, true},
    {"the store is away", StoreRole::Receiver, false, 9, "a:1", false, false, false, true},
    {"a reader", StoreRole::Reader, true, 9, "a:1", false, false, false, true},
    {"alone", StoreRole::Alone, true, 9, "a:1", false, false, false, true},
};

} // namespace

BOOST_DATA_TEST_CASE(TheOwnerAndTheFirstStandInsRead, ReadersCases, Case) {
  const auto Readers = storeReaders(Case.Owner_, Case.StandIns_, Case.Count_);
  BOOST_TEST(Readers == Case.Expected_, boost::test_tools::per_element());
}

// Guards against changes that are skipped, applied twice or undone by a late datagram, and against
// knowledge that counts as newer than it is.
BOOST_DATA_TEST_CASE(AReceiverTakesOverWhatFollowsItsPosition, SpanCases, Case) {
  ListRelay Relay = relayAt100(StoreRole::Receiver);
  ListSpan Span{
      Case.From_, Case.To_, Case.AtEnd_, Case.Changes_ > 0 ? 0 : digestOf(entry("a")), {}};
  for (const ListPosition Offset : {95, 105, 115})
    if (Offset >= Span.From_ && Offset < Span.To_)
      Span.Changes_.push_back({Offset, EndpointId("a"), std::nullopt});
  std::vector<ListChange> Changes;
  BOOST_TEST(
      (Relay.accept(Span, Start + Case.ReadAt_, 100, Start + 1s, Changes) == Case.Expected_));
  BOOST_TEST((Relay.listKnownAt() - Start == Case.Newer_));
  BOOST_TEST(Changes.size() == Case.Changes_);
}

// Guards against a gateway that uses what readers say while its own view of an outage counts.
BOOST_AUTO_TEST_CASE(InAnOutageOnlyOwnReadsCount) {
  ListRelay Relay = relayAt100(StoreRole::Receiver);
  Relay.setTrusted(false);
  std::vector<ListChange> Changes;
  const ListSpan Span{100, 120, true, 0, {{105, EndpointId("a"), std::nullopt}}};
  BOOST_TEST((Relay.accept(Span, Start + 1s, 100, Start + 1s, Changes) == SpanOutcome::Untrusted));
  ListRelay Publishing = relayAt100(StoreRole::Reader);
  Publishing.onListRead(110, 110, Start + 1s);
  BOOST_TEST(Publishing.publication(Start + 1s).has_value());
  Publishing.setTrusted(false);
  BOOST_TEST(!Publishing.publication(Start + 1s).has_value());
}

// Guards against a gateway whose list differs from the store's for good: a renewal would correct
// it, but renewals are not relayed.
BOOST_AUTO_TEST_CASE(AReceiverThatKnowsOtherEntriesListsAnew) {
  ListRelay Relay = relayAt100(StoreRole::Receiver);
  std::vector<ListChange> Changes;
  const auto Publish = [&](TimePoint At, ListPosition From, std::uint64_t Digest) {
    return Relay.accept({From, From + 10, true, Digest, {}}, At, From, At, Changes);
  };
  const std::uint64_t Same = digestOf(entry("a"));
  BOOST_TEST((Publish(Start + 1s, 100, Same) == SpanOutcome::Applied));
  BOOST_TEST(!Relay.listingDue(Start + 1s));
  const std::uint64_t Other = digestOf(entry("a", EndpointState::Leaving));
  BOOST_TEST((Publish(Start + 2s, 110, Other) == SpanOutcome::Diverged));
  BOOST_TEST((Relay.listKnownAt() == Start + 1s));
  BOOST_TEST(Relay.listingDue(Start + 2s));
  // Until it has listed, only its own reads count.
  BOOST_TEST((Publish(Start + 3s, 120, Same) == SpanOutcome::Untrusted));
  BOOST_TEST((Relay.listReadDue(1500ms) == Start + 1500ms));
  Relay.onListed(130, Start + 3s);
  BOOST_TEST(!Relay.listingDue(Start + 3s));
  // If the reader is wrong, a listing doesn't help, and the next one is not soon.
  BOOST_TEST((Publish(Start + 4s, 130, Other) == SpanOutcome::Diverged));
  BOOST_TEST(!Relay.listingDue(Start + 4s));
  BOOST_TEST(Relay.listingDue(Start + 7s));
}

BOOST_DATA_TEST_CASE(AReadOfTheListIsDueAsItsAgeDemands, DueCases, Case) {
  ListRelay Relay = relayAt100(StoreRole::Receiver);
  Relay.onListRead(100, 100, Start);
  std::vector<ListChange> Changes;
  if (Case.Learned_ > 0ms)
    Relay.accept({100, 110, true, digestOf(entry("a")), {}}, Start + Case.Learned_, 100,
                 Start + Case.Learned_, Changes);
  Relay.setRole(Case.Role_);
  Relay.setTrusted(Case.Trusted_);
  const Duration Due = Relay.listReadDue(1500ms) - Start;
  BOOST_TEST((Due >= Case.Least_ && Due <= Case.Most_));
}

// Guards against datagrams for entries that were merely renewed, and against changes that no
// receiver can follow.
BOOST_AUTO_TEST_CASE(AReaderPublishesChangesAndNoRenewals) {
  ListRelay Relay = relayAt100(StoreRole::Reader);
  BOOST_TEST(Relay.publication(Start)->Spans_.empty());
  Relay.onListRecord(100, EndpointId("a"), entry("a"));
  Relay.onListRecord(101, EndpointId("a"), entry("a", EndpointState::Leaving));
  Relay.onListRecord(102, EndpointId("a"), entry("a", EndpointState::Leaving));
  Relay.onListRecord(103, EndpointId("b"), entry("b"));
  Relay.onListRecord(104, EndpointId("a"), std::nullopt);
  Relay.onListRecord(105, EndpointId("a"), std::nullopt);
  Relay.onListRead(106, 106, Start + 1s);
  const auto Content = Relay.publication(Start + 1s);
  BOOST_REQUIRE(Content->Spans_.size() == 1U);
  const ListSpan &Span = Content->Spans_.front();
  BOOST_TEST(Span.From_ == 100U);
  BOOST_TEST(Span.To_ == 106U);
  BOOST_TEST(Span.AtEnd_);
  std::vector<ListPosition> Offsets;
  for (const ListChange &Change : Span.Changes_)
    Offsets.push_back(Change.Offset_);
  BOOST_TEST(Offsets == std::vector<ListPosition>({101, 103, 104}),
             boost::test_tools::per_element());
}

// Guards against a receiver that loses the thread when some datagrams are lost, and against one
// that takes part of a publication for all of it.
BOOST_AUTO_TEST_CASE(SpansReachBackAndFitIntoDatagrams) {
  ListRelay Relay = relayAt100(StoreRole::Reader);
  ListPosition Next = 100;
  for (int Read = 0; Read < 8; ++Read) {
    for (int I = 0; I < 4; ++I, ++Next)
      Relay.onListRecord(Next, EndpointId("new-" + std::to_string(Next)),
                         entry("new-" + std::to_string(Next)));
    Relay.onListRead(Next, Next, Start + Read * 750ms);
  }
  const auto Spans = Relay.publication(Start + 6s)->Spans_;
  BOOST_REQUIRE(Spans.size() > 1U);
  BOOST_TEST(Spans.front().From_ <= Next - 12);
  BOOST_TEST(Spans.front().From_ > 100U);
  for (std::size_t I = 0; I < Spans.size(); ++I) {
    BOOST_TEST(Spans[I].Changes_.size() <= 8U);
    BOOST_TEST(Spans[I].AtEnd_ == (I + 1 == Spans.size()));
    BOOST_TEST((I == 0 || Spans[I].From_ == Spans[I - 1].To_));
  }
  BOOST_TEST(Spans.back().To_ == Next);
}

// Guards against an entry too large for a datagram, which would stop all that follows it.
BOOST_AUTO_TEST_CASE(ReceiversReadHugeEntriesThemselves) {
  ListRelay Relay = relayAt100(StoreRole::Reader);
  EndpointListing Huge = entry("huge");
  Huge.Kind_ = std::string(2000, 'x');
  Relay.onListRecord(100, EndpointId("huge"), Huge);
  Relay.onListRecord(101, EndpointId("b"), entry("b"));
  Relay.onListRead(102, 102, Start + 1s);
  const auto Spans = Relay.publication(Start + 1s)->Spans_;
  BOOST_REQUIRE(Spans.size() == 1U);
  BOOST_TEST(Spans.front().From_ == 101U);
  BOOST_TEST(Spans.front().Changes_.size() == 1U);
}

BOOST_DATA_TEST_CASE(OnlyFreshAnnouncementsAllowLongReads, ConfigCases, Case) {
  ListRelay Relay(Usual, 1);
  Relay.setRole(Case.Role_);
  Relay.setTrusted(Case.Trusted_);
  Relay.onConfigRead(7, Start);
  if (Case.Announced_)
    Relay.onConfigAnnounced(Reader, *Case.Announced_, std::nullopt, Start - Case.Age_, Start);
  BOOST_TEST((Relay.configWait(Start) == Case.Wait_));
}

// Guards against a configuration that comes late because the read that waits for it misses it.
BOOST_DATA_TEST_CASE(ALongReadIsGivenUpWhenAnnouncementsSaySo, GiveUpCases, Case) {
  ListRelay Relay(Usual, 1);
  Relay.setRole(StoreRole::Receiver);
  Relay.onConfigRead(7, Start);
  Relay.onConfigAnnounced(Reader, 7, std::nullopt, Start, Start);
  Relay.onConfigReadBegins(7, Relay.configWait(Start), Start);
  Duration GivenUp{};
  ConfigReadEnd End = ConfigReadEnd::None;
  for (Duration At = 100ms; At < 9s && End == ConfigReadEnd::None; At += 100ms) {
    if (At % 200ms == 0ms && At < Case.SilentFrom_)
      Relay.onConfigAnnounced(Reader, At < 400ms ? 7 : Case.Announced_, std::nullopt, Start + At,
                              Start + At);
    End = Relay.configReadEnd(Start + At);
    GivenUp = End == ConfigReadEnd::None ? 0ms : At;
  }
  BOOST_TEST((End == Case.End_));
  BOOST_TEST((GivenUp == Case.Expected_));
}

// Guards against a reader with a wrong end of the log that makes all receivers read all the time.
BOOST_AUTO_TEST_CASE(AnEndThatTheLogDoesNotShowIsFollowedOnce) {
  ListRelay Relay(Usual, 1);
  Relay.setRole(StoreRole::Receiver);
  Relay.onConfigRead(7, Start);
  int Anew = 0;
  Relay.onConfigReadBegins(7, 10s, Start);
  for (Duration At = 0ms; At < 10s; At += 100ms) {
    Relay.onConfigAnnounced(Reader, 9, std::nullopt, Start + At, Start + At);
    if (Relay.configReadEnd(Start + At) == ConfigReadEnd::None)
      continue;
    ++Anew;
    Relay.onConfigRead(7, Start + At);
    BOOST_TEST((Relay.configWait(Start + At) == 2s));
    Relay.onConfigReadBegins(7, 10s, Start + At);
  }
  BOOST_TEST(Anew == 1);
}

// Guards against a receiver that reads a configuration from the store although readers hand it out,
// and against one that relies on an offer which leads nowhere.
BOOST_DATA_TEST_CASE(OffersAreTakenOrTheStoreIsRead, OfferCases, Case) {
  ListRelay Relay(Usual, 1);
  Relay.setRole(Case.Role_);
  Relay.setTrusted(Case.Trusted_);
  Relay.onConfigRead(7, Start);
  Relay.onConfigAnnounced(Reader, Case.End_, std::nullopt, Start, Start, Case.Source_);
  if (Case.Refused_)
    Relay.onConfigFetchFailed(Reader);
  if (Case.Disproved_) {
    Relay.onConfigReadBegins(7, 0ms, Start + 300ms);
    Relay.onConfigRead(7, Start + 310ms);
  }
  const TimePoint Now = Start + 500ms;
  const auto Offer = Relay.configOffer(Now);
  BOOST_TEST(Offer.has_value() == Case.Fetches_);
  if (Offer)
    BOOST_TEST(Offer->End_ == Case.End_);
  BOOST_TEST((Relay.configReadDue(Now) <= Now) == Case.Reads_);
}

// Guards against versions in a row that postpone the own read of a receiver whose fetches fail.
BOOST_AUTO_TEST_CASE(NewOffersDoNotPostponeTheOwnRead) {
  ListRelay Relay(Usual, 1);
  Relay.setRole(StoreRole::Receiver);
  Relay.onConfigRead(7, Start);
  Duration ReadAt{};
  for (Duration At = 0ms; At < 3s && ReadAt == 0ms; At += 100ms) {
    const TimePoint Now = Start + At;
    Relay.onConfigAnnounced(Reader, 8 + static_cast<ListPosition>(At / 300ms), std::nullopt, Now,
                            Now, "a:1");
    if (Relay.configReadDue(Now) <= Now)
      ReadAt = At;
  }
  BOOST_TEST((ReadAt == 1000ms));
}

// Guards against a first read after the loss of the readers that the store answers only at the end
// of its wait.
BOOST_AUTO_TEST_CASE(AReadAfterATimeWithoutReadsDoesNotWait) {
  ListRelay Relay(Usual, 1);
  Relay.setRole(StoreRole::Receiver);
  Relay.onConfigRead(7, Start);
  Relay.onConfigAnnounced(Reader, 7, std::nullopt, Start + 1s, Start + 1s, "a:1");
  BOOST_TEST((Relay.configReadDue(Start + 1500ms) > Start + 1500ms));
  BOOST_TEST((Relay.configReadDue(Start + 3s) <= Start + 3s));
  BOOST_TEST((Relay.configWait(Start + 3s) == 0ms));
  Relay.onConfigRead(7, Start + 3s);
  BOOST_TEST((Relay.configWait(Start + 3s) == Usual.ConfigWait_));
}

// Guards against a reader that vouches for a configuration that it can't follow itself.
BOOST_AUTO_TEST_CASE(AReaderAnnouncesNoConfigurationThatItDoesNotFollow) {
  ListRelay Relay(Usual, 1);
  Relay.setRole(StoreRole::Reader);
  BOOST_TEST(!Relay.publication(Start)->ConfigEnd_.has_value());
  Relay.onConfigRead(7, Start);
  Relay.onConfigReadBegins(7, 2s, Start);
  BOOST_TEST(Relay.publication(Start + 2s)->ConfigEnd_.value_or(0) == 7U);
  BOOST_TEST(!Relay.publication(Start + 2500ms)->ConfigEnd_.has_value());
  Relay.onConfigRead(7, Start);
  Relay.onConfigLost();
  BOOST_TEST(!Relay.publication(Start + 2500ms)->ConfigEnd_.has_value());
}

// Guards against late datagrams whose contents count as newer than they are.
BOOST_DATA_TEST_CASE(TimesOfReadersAreNeverTakenForLaterThanTheyWere, RoundTripCases, Case) {
  ReaderClocks Clocks;
  // The other gateway's clock shows this much less.
  const Duration Ahead = Start.time_since_epoch() - 5min;
  const TimePoint Arrival = Start + Case.Way_;
  const TimePoint Answered = Arrival + Case.Back_;
  BOOST_TEST(!Clocks.earliest(Reader, 5min, Answered).has_value());
  Clocks.onExchange(Reader, Start, Arrival.time_since_epoch() - Ahead, Answered);
  const TimePoint ReadAt = Answered + 100ms;
  const auto Taken =
      Clocks.earliest(Reader, ReadAt.time_since_epoch() - Ahead, ReadAt + Case.Transit_);
  BOOST_REQUIRE(Taken.has_value());
  BOOST_TEST((*Taken <= ReadAt));
  BOOST_TEST((*Taken >= ReadAt - Case.Way_));
  BOOST_TEST(!Clocks.earliest(Reader, ReadAt.time_since_epoch() - Ahead, ReadAt + 60s).has_value());
}

// Guards against times from a gateway whose clock went on while the clock here stood still.
BOOST_AUTO_TEST_CASE(TimesInTheFutureAreNotBelieved) {
  ReaderClocks Clocks;
  Clocks.onExchange(Reader, Start, 5min, Start + 1ms);
  BOOST_TEST(!Clocks.earliest(Reader, 5min + 2s, Start + 1s).has_value());
  BOOST_TEST(Clocks.earliest(Reader, 5min + 1s, Start + 1s).has_value());
}

namespace {

/// What a receiver in an era of the store does with what a reader publishes in another one.
struct EraCase {
  const char *Name_;
  std::optional<StoreEra> Own_;
  std::optional<StoreEra> Readers_;
  SpanOutcome Outcome_;
  /// Whether the announcement lets reads of the configuration wait long.
  bool Waits_ = false;
  ConfigReadEnd End_ = ConfigReadEnd::None;
};

std::ostream &operator<<(std::ostream &Out, const EraCase &Case) { return Out << Case.Name_; }

const EraCase EraCases[] = {
    {"no eras", {}, {}, SpanOutcome::Applied, true},
    {"the same era", StoreEra(3), StoreEra(3), SpanOutcome::Applied, true},
    {"an earlier era", StoreEra(3), StoreEra(2), SpanOutcome::OtherEra},
    {"a later era", StoreEra(3), StoreEra(4), SpanOutcome::OtherEra, false,
     ConfigReadEnd::LaterEra},
    {"a reader without an era", StoreEra(3), {}, SpanOutcome::OtherEra},
    {"a receiver without an era", {}, StoreEra(3), SpanOutcome::OtherEra},
};

} // namespace

// Guards against positions of one era that are compared with those of another, and against a
// receiver that does not look when a reader knows a later era.
BOOST_DATA_TEST_CASE(PositionsOfOtherErasAreNotUsed, EraCases, Case) {
  ListRelay Relay(Usual, 1);
  Relay.setRole(StoreRole::Receiver);
  if (Case.Own_)
    Relay.setEra(*Case.Own_);
  Relay.onListed(100, Start);
  Relay.onConfigRead(7, Start);
  std::vector<ListChange> Changes;
  const ListSpan Span{.From_ = 100, .To_ = 102, .Era_ = Case.Readers_};
  BOOST_TEST((Relay.accept(Span, Start + 1s, 100, Start + 1s, Changes) == Case.Outcome_));
  Relay.onConfigAnnounced(Reader, 7, Case.Readers_, Start, Start);
  BOOST_TEST((Relay.configWait(Start) > Usual.ConfigWait_) == Case.Waits_);
  Relay.onConfigReadBegins(7, Relay.configWait(Start), Start);
  BOOST_TEST((Relay.configReadEnd(Start + 100ms) == Case.End_));
  BOOST_TEST((Relay.configReadEnd(Start + 200ms) == ConfigReadEnd::None));
}

// Guards against a reader that publishes positions of the era before the store returned.
BOOST_AUTO_TEST_CASE(AReaderPublishesNothingUntilItHasListedAnew) {
  ListRelay Relay(Usual, 1);
  Relay.setRole(StoreRole::Reader);
  Relay.setEra(StoreEra(3));
  Relay.onListed(100, Start);
  Relay.onListRead(100, 100, Start);
  Relay.onConfigRead(7, Start);
  BOOST_TEST(Relay.publication(Start)->ConfigEnd_.has_value());
  Relay.setEra(StoreEra(4));
  BOOST_TEST(!Relay.publication(Start)->ConfigEnd_.has_value());
  BOOST_TEST(!Relay.publication(Start)->ListReadAt_.has_value());
  Relay.onListed(90, Start + 1s);
  Relay.onListRead(91, 91, Start + 1s);
  Relay.onConfigRead(6, Start);
  const auto Content = Relay.publication(Start + 1s);
  BOOST_TEST(Content->ConfigEnd_.has_value());
  BOOST_TEST(Content->ListReadAt_.has_value());
  BOOST_TEST((Content->Era_ == StoreEra(4)));
}
