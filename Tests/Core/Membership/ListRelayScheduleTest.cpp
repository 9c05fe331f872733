#include "Core/Membership/ListRelay.h"
#include "Core/Recovery/StorePolling.h"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <functional>
#include <memory>
#include <ostream>
#include <queue>
#include <set>

using namespace rattancart;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{1h};
constexpr Duration Length = 60s;
/// Within these times, changes must take effect at gateways that reach the store.
constexpr FreshnessBounds Bounds{3000ms, 3000ms};
/// A call that gets no answer ends this long after the time that it asks the store to wait.
constexpr Duration ResponseTime = 1200ms;
/// A read that began in an outage may take that long, so that what is written then is late.
const Duration StuckRead = configPollTiming(Bounds).Wait_ + ResponseTime;
constexpr std::size_t FewGateways = 12;
constexpr std::size_t Readers = 2;
/// After a log shrank, this process can't notice for that long that positions mean other records.
/// This doesn't depend on readers.
constexpr Duration ShrinkNoticed = 2500ms;

/// What goes wrong during a run.
struct Faults {
  const char *Name_;
  /// Share of datagrams that are lost, that arrive up to 4 s late, and that arrive twice.
  double Lost_ = 0;
  double Late_ = 0;
  double Twice_ = 0;
  bool ReadersDie_ = false;
  bool GatewaysPause_ = false;
  /// Single gateways can't reach the store for some seconds.
  bool GatewaysCutOff_ = false;
  /// The store is out of reach of all for some seconds.
  bool StoreAway_ = false;
  /// The log of the list and of the configuration loses its last records.
  bool LogsShrink_ = false;
  /// Share of reads of the configuration that don't notice a record before their wait ends.
  double MissedWakeups_ = 0;
  std::size_t Readers_ = Readers;
  std::size_t Gateways_ = FewGateways;
  /// The configuration changes all the time.
  bool ConfigChanges_ = true;
  /// Readers hand the configuration out, and that many of these transfers fail, stop for good or
  /// take up to 2 s.
  bool Offers_ = false;
  double FetchesFail_ = 0;
  double FetchesStop_ = 0;
  double FetchesSlow_ = 0;
};

std::ostream &operator<<(std::ostream &Out, const Faults &Case) { return Out << Case.Name_; }

const Faults FaultCases[] = {
    {.Name_ = "calm"},
    {.Name_ = "bad network", .Lost_ = 0.3, .Late_ = 0.3, .Twice_ = 0.3},
    {.Name_ = "no network", .Lost_ = 1},
    {.Name_ = "readers die", .Lost_ = 0.05, .Late_ = 0.1, .ReadersDie_ = true},
    {.Name_ = "gateways pause", .Lost_ = 0.05, .Late_ = 0.1, .Twice_ = 0.1, .GatewaysPause_ = true},
    {.Name_ = "gateways cut off from the store",
     .Lost_ = 0.05,
     .Late_ = 0.1,
     .GatewaysCutOff_ = true},
    {.Name_ = "store away", .Lost_ = 0.05, .Late_ = 0.2, .Twice_ = 0.1, .StoreAway_ = true},
    {.Name_ = "logs shrink", .Lost_ = 0.05, .Late_ = 0.3, .Twice_ = 0.1, .LogsShrink_ = true},
    {.Name_ = "missed wake-ups", .Lost_ = 0.1, .Late_ = 0.1, .MissedWakeups_ = 0.5},
    {.Name_ = "transfers between gateways fail",
     .Lost_ = 0.1,
     .FetchesFail_ = 0.4,
     .FetchesStop_ = 0.3,
     .FetchesSlow_ = 0.2},
    {.Name_ = "everything",
     .Lost_ = 0.2,
     .Late_ = 0.2,
     .Twice_ = 0.2,
     .ReadersDie_ = true,
     .GatewaysPause_ = true,
     .GatewaysCutOff_ = true,
     .StoreAway_ = true,
     .LogsShrink_ = true,
     .MissedWakeups_ = 0.2,
     .FetchesFail_ = 0.2,
     .FetchesStop_ = 0.1,
     .FetchesSlow_ = 0.1},
};

/// What gateways share with each other.
struct SharingCase {
  const char *Name_;
  std::size_t Readers_;
  bool Offers_;
};

std::ostream &operator<<(std::ostream &Out, const SharingCase &Case) { return Out << Case.Name_; }

const SharingCase SharingCases[] = {
    {"no readers", 0, false},
    {"readers", Readers, false},
    {"readers that hand the configuration out", Readers, true},
};

struct TimeRange {
  TimePoint Begin_;
  TimePoint End_;
  bool contains(TimePoint At) const { return At >= Begin_ && At < End_; }
  bool overlaps(TimePoint From, TimePoint To) const { return Begin_ < To && From < End_; }
};

bool anyContains(const std::vector<TimeRange> &Ranges, TimePoint At) {
  return std::any_of(Ranges.begin(), Ranges.end(),
                     [&](const TimeRange &Each) { return Each.contains(At); });
}

/// Runs functions in the order of their times.
class Events {
public:
  TimePoint now() const { return Now_; }
  void at(TimePoint Time, std::function<void()> Run) {
    Queue_.push({std::max(Time, Now_), Next_++, std::move(Run)});
  }
  void runUntil(TimePoint End) {
    while (!Queue_.empty() && Queue_.top().At_ <= End) {
      const Event Current = Queue_.top();
      Queue_.pop();
      Now_ = Current.At_;
      Current.Run_();
    }
  }

private:
  struct Event {
    TimePoint At_;
    std::uint64_t Number_;
    std::function<void()> Run_;
    bool operator<(const Event &Other) const {
      return std::tie(Other.At_, Other.Number_) < std::tie(At_, Number_);
    }
  };
  TimePoint Now_ = Start;
  std::uint64_t Next_ = 0;
  std::priority_queue<Event> Queue_;
};

struct Record {
  EndpointId Id_;
  std::optional<EndpointListing> Listing_;
};

struct Store {
  std::vector<Record> List_;
  /// Revisions of the configuration.
  std::vector<std::uint64_t> Config_{1};
  std::size_t Calls_ = 0;

  std::map<EndpointId, EndpointListing> newest() const {
    std::map<EndpointId, EndpointListing> Entries;
    for (const Record &Each : List_)
      if (Each.Listing_)
        Entries.insert_or_assign(Each.Id_, *Each.Listing_);
      else
        Entries.erase(Each.Id_);
    return Entries;
  }
};

struct Message {
  GatewayRun Run_;
  Duration ReadAt_{};
  Duration SentAt_{};
  std::vector<ListSpan> Spans_;
  std::optional<ListPosition> ConfigEnd_;
  std::optional<StoreEra> Era_;
  /// Where the reader hands the configuration out; empty if it doesn't.
  std::string Source_;
};

class Site;

/// One gateway: its reads of the store as platform/PlatformStore makes them.
class Gateway {
public:
  Gateway(Site &Owner, std::size_t Index, unsigned Seed);

  void start();
  void receive(const Message &Received);
  void tick();
  /// Runs a function when this process next runs; never if it has ended.
  void run(std::function<void()> Work);

  std::size_t index() const { return Index_; }
  bool isEnded() const;
  Duration clock() const;

  std::vector<TimeRange> Paused_;
  std::vector<TimeRange> CutOff_;
  TimePoint EndsAt_ = TimePoint::max();
  /// What this gateway knows.
  std::map<EndpointId, EndpointListing> Entries_;
  std::uint64_t Revision_ = 0;
  StoreRole Role_ = StoreRole::Alone;

private:
  void call(Duration Wait, const std::function<void(bool)> &Done);
  void list();
  void read();
  void scheduleRead();
  void retry(const std::function<void()> &Next);
  void apply(const EndpointId &Id, const std::optional<EndpointListing> &Listing, bool Relayed);
  void listConfig();
  void readConfig(Duration Wait);
  void pollConfig(std::uint64_t Number, TimePoint Until, bool Misses);
  void onConfigAnswer();
  /// Makes the next own read of the configuration when it is due.
  void scheduleConfigRead();
  void fetchConfig();
  void takeFetched(const ConfigOffer &Offer, const Gateway &From, std::uint64_t Number);
  void publish();

  Site &Site_;
  std::size_t Index_;
  std::mt19937 Random_;
  Duration ClockAhead_;
  ListRelay Relay_;
  ReaderClocks Clocks_;
  OutageDetector Outage_;
  StoreBackoff Backoff_;
  StoreBackoff ConfigBackoff_;
  ListPosition Position_ = 0;
  TimePoint CalledAt_{};
  bool Idle_ = false;
  std::uint64_t ScheduledRead_ = 0;
  ListPosition ConfigPosition_ = 0;
  std::uint64_t ConfigRead_ = 0;
  bool ConfigIdle_ = false;
  std::uint64_t ConfigSchedule_ = 0;
  std::uint64_t ConfigFetch_ = 0;
  bool Fetching_ = false;
  std::set<EndpointId> Removed_;
  TimePoint SubscribedAt_{};
  TimePoint PublishedAt_{};
  std::optional<TimePoint> PublishedRead_;
};

/// The store, the gateways of one data centre and the network between them.
class Site {
public:
  Site(const Faults &Case, unsigned Seed);

  void run();
  double randomFraction() { return std::uniform_real_distribution<double>(0, 1)(Random_); }
  Duration draw(Duration Least, Duration Most) {
    return Duration(
        std::uniform_int_distribution<Duration::rep>(Least.count(), Most.count())(Random_));
  }
  /// Delivers to a gateway as the network does.
  void deliver(Gateway &To, const std::function<void()> &Receive);
  /// The gateways that read: the first ones that are not known to be lost.
  std::vector<std::size_t> readers() const;

  Faults Faults_;
  Events Events_;
  Store Store_;
  std::vector<TimeRange> StoreAway_;
  std::vector<std::unique_ptr<Gateway>> Gateways_;
  std::size_t Late_ = 0;
  std::size_t LateConfigs_ = 0;
  std::size_t Reappeared_ = 0;
  std::size_t Applied_ = 0;
  std::size_t Diverged_ = 0;
  /// Configurations that came from other gateways.
  std::size_t Fetched_ = 0;
  std::size_t Checked_ = 0;

private:
  void planFaults();
  void heartbeat();
  void write(const EndpointId &Id, const std::optional<EndpointListing> &Listing);
  void changeList();
  void changeConfig();
  void shrink();
  /// Whether the gateway ran and reached the store all the time.
  bool isHealthy(const Gateway &Each, TimePoint From, TimePoint To) const;

  std::mt19937 Random_;
  std::map<EndpointId, EndpointListing> Truth_;
  std::vector<EndpointId> Lost_;
  std::uint64_t Revision_ = 1;
  int NextEndpoint_ = 0;
  std::vector<TimePoint> ShrunkAt_;
};

Gateway::Gateway(Site &Owner, std::size_t Index, unsigned Seed)
    : Site_(Owner), Index_(Index), Random_(Seed),
      ClockAhead_(std::chrono::seconds(static_cast<int>(Seed % 1000) * 77)),
      Relay_({listPollTiming(Bounds).Interval_, configPollTiming(Bounds).Wait_}, Seed) {}

bool Gateway::isEnded() const { return Site_.Events_.now() >= EndsAt_; }

Duration Gateway::clock() const { return Site_.Events_.now().time_since_epoch() - ClockAhead_; }

void Gateway::run(std::function<void()> Work) {
  const TimePoint Now = Site_.Events_.now();
  if (isEnded())
    return;
  for (const TimeRange &Each : Paused_)
    if (Each.contains(Now))
      return Site_.Events_.at(Each.End_, [this, Work = std::move(Work)] { run(Work); });
  Work();
}

void Gateway::start() {
  list();
  listConfig();
  tick();
}

void Gateway::call(Duration Wait, const std::function<void(bool)> &Done) {
  ++Site_.Store_.Calls_;
  const TimePoint Began = Site_.Events_.now();
  const bool Away = anyContains(Site_.StoreAway_, Began) || anyContains(CutOff_, Began);
  const Duration Took = Away ? Wait + ResponseTime : Site_.draw(2ms, 20ms);
  Site_.Events_.at(Began + Took, [this, Began, Away, Done] {
    run([this, Began, Away, Done] {
      const TimePoint Now = Site_.Events_.now();
      if (Away)
        Outage_.onFailed(Began);
      else
        Outage_.onAnswered(Now);
      Done(!Away);
    });
  });
}

void Gateway::retry(const std::function<void()> &Next) {
  Site_.Events_.at(Site_.Events_.now() + Backoff_.afterFailure(Random_),
                   [this, Next] { run(Next); });
}

void Gateway::apply(const EndpointId &Id, const std::optional<EndpointListing> &Listing,
                    bool Relayed) {
  if (!Listing) {
    if (Entries_.erase(Id) > 0)
      Removed_.insert(Id);
    return;
  }
  if (Relayed && Removed_.contains(Id))
    ++Site_.Reappeared_;
  Entries_.insert_or_assign(Id, *Listing);
}

void Gateway::list() {
  Idle_ = false;
  CalledAt_ = Site_.Events_.now();
  call(0ms, [this](bool Answered) {
    if (!Answered)
      return retry([this] { list(); });
    Backoff_.succeeded();
    const auto Newest = Site_.Store_.newest();
    for (const auto &[Id, Listing] : Newest) {
      Relay_.onListEntry(Id, Listing);
      apply(Id, Listing, false);
    }
    const auto Known = Entries_;
    for (const auto &[Id, Listing] : Known)
      if (!Newest.contains(Id)) {
        Relay_.onListEntry(Id, std::nullopt);
        apply(Id, std::nullopt, false);
      }
    Position_ = Site_.Store_.List_.size();
    Relay_.onListed(Position_, CalledAt_);
    read();
  });
}

void Gateway::read() {
  Idle_ = false;
  CalledAt_ = Site_.Events_.now();
  call(Relay_.listWait(500ms), [this](bool Answered) {
    const std::vector<Record> &Log = Site_.Store_.List_;
    if (Answered && Log.size() < Position_)
      return list();
    if (!Answered)
      return retry([this] { read(); });
    Backoff_.succeeded();
    for (; Position_ < Log.size(); ++Position_) {
      const Record &Each = Log[Position_];
      Relay_.onListRecord(Position_, Each.Id_, Each.Listing_);
      apply(Each.Id_, Each.Listing_, false);
    }
    Relay_.onListRead(Position_, Log.size(), CalledAt_);
    Idle_ = true;
    scheduleRead();
  });
}

void Gateway::scheduleRead() {
  const TimePoint Now = Site_.Events_.now();
  const Duration Interval = Outage_.listInterval(listPollTiming(Bounds).Interval_, Now);
  Site_.Events_.at(Relay_.listReadDue(Interval), [this, Number = ++ScheduledRead_] {
    run([this, Number] {
      if (Number == ScheduledRead_ && Idle_)
        read();
    });
  });
}

void Gateway::listConfig() {
  call(0ms, [this](bool Answered) {
    if (!Answered)
      return retry([this] { listConfig(); });
    Revision_ = std::max(Revision_, Site_.Store_.Config_.back());
    ConfigPosition_ = Site_.Store_.Config_.size();
    Relay_.onConfigRead(ConfigPosition_, Site_.Events_.now());
    scheduleConfigRead();
  });
}

void Gateway::scheduleConfigRead() {
  ConfigIdle_ = true;
  const TimePoint Now = Site_.Events_.now();
  Site_.Events_.at(std::max(Relay_.configReadDue(Now), Now), [this, Number = ++ConfigSchedule_] {
    run([this, Number] {
      if (Number == ConfigSchedule_ && ConfigIdle_)
        readConfig(Relay_.configWait(Site_.Events_.now()));
    });
  });
}

void Gateway::fetchConfig() {
  const TimePoint Now = Site_.Events_.now();
  const auto Offer = Fetching_ ? std::nullopt : Relay_.configOffer(Now);
  if (!Offer)
    return;
  Fetching_ = true;
  const Gateway &From = *Site_.Gateways_[Offer->Reader_.value()];
  const Faults &Case = Site_.Faults_;
  const double Fate = Site_.randomFraction();
  const bool Slow = Fate < Case.FetchesSlow_;
  const bool Fails = From.isEnded() || (!Slow && Fate < Case.FetchesSlow_ + Case.FetchesFail_);
  const bool Stops =
      anyContains(From.Paused_, Now) ||
      (!Slow && !Fails && Fate < Case.FetchesSlow_ + Case.FetchesFail_ + Case.FetchesStop_);
  const Duration Took = Stops ? 700ms : Slow ? Site_.draw(500ms, 2s) : Site_.draw(2ms, 200ms);
  Site_.Events_.at(Now + Took,
                   [this, Offer = *Offer, &From, Lost = Fails || Stops, Number = ++ConfigFetch_] {
                     run([this, Offer, &From, Lost, Number] {
                       Fetching_ = false;
                       if (Lost)
                         return Relay_.onConfigFetchFailed(Offer.Reader_);
                       takeFetched(Offer, From, Number);
                     });
                   });
}

void Gateway::takeFetched(const ConfigOffer &Offer, const Gateway &From, std::uint64_t Number) {
  if (Number != ConfigFetch_ || From.ConfigPosition_ <= ConfigPosition_)
    return Relay_.onConfigFetchFailed(Offer.Reader_);
  ++Site_.Fetched_;
  ++ConfigRead_;
  ConfigPosition_ = From.ConfigPosition_;
  Revision_ = std::max(Revision_, From.Revision_);
  Relay_.onConfigFetched(ConfigPosition_);
  scheduleConfigRead();
}

void Gateway::readConfig(Duration Wait) {
  const TimePoint Now = Site_.Events_.now();
  const bool Misses = Site_.randomFraction() < Site_.Faults_.MissedWakeups_;
  ConfigIdle_ = false;
  Relay_.onConfigReadBegins(ConfigPosition_, Wait, Now);
  call(Wait, [this, Until = Now + Wait, Misses, Number = ++ConfigRead_](bool Answered) {
    if (Number != ConfigRead_)
      return;
    if (Answered) {
      ConfigBackoff_.succeeded();
      return pollConfig(Number, Until, Misses);
    }
    Relay_.onConfigLost();
    Site_.Events_.at(Site_.Events_.now() + ConfigBackoff_.afterFailure(Random_),
                     [this] { run([this] { readConfig(0ms); }); });
  });
}

void Gateway::pollConfig(std::uint64_t Number, TimePoint Until, bool Misses) {
  if (Number != ConfigRead_)
    return;
  const TimePoint Now = Site_.Events_.now();
  const bool Found = Site_.Store_.Config_.size() > ConfigPosition_;
  if ((Found && !Misses) || Now >= Until) {
    if (!anyContains(Site_.StoreAway_, Now) && !anyContains(CutOff_, Now))
      return onConfigAnswer();
    // The answer is lost.
    Site_.Events_.at(Until + ResponseTime, [this, Number] {
      run([this, Number] {
        if (Number != ConfigRead_)
          return;
        Outage_.onFailed(Site_.Events_.now() - ResponseTime);
        Relay_.onConfigLost();
        readConfig(0ms);
      });
    });
    return;
  }
  Site_.Events_.at(std::min(Now + 20ms, Until), [this, Number, Until, Misses] {
    run([this, Number, Until, Misses] { pollConfig(Number, Until, Misses); });
  });
}

void Gateway::onConfigAnswer() {
  const std::vector<std::uint64_t> &Log = Site_.Store_.Config_;
  if (Log.size() < ConfigPosition_)
    return listConfig();
  Revision_ = std::max(Revision_, Log.back());
  ConfigPosition_ = Log.size();
  Relay_.onConfigRead(ConfigPosition_, Site_.Events_.now());
  scheduleConfigRead();
}

void Gateway::tick() {
  const TimePoint Now = Site_.Events_.now();
  Site_.Events_.at(Now + 100ms, [this] { run([this] { tick(); }); });
  const auto ReaderIndexes = Site_.readers();
  const bool Reads =
      std::find(ReaderIndexes.begin(), ReaderIndexes.end(), Index_) != ReaderIndexes.end();
  Role_ = ReaderIndexes.empty() ? StoreRole::Alone
          : Reads               ? StoreRole::Reader
                                : StoreRole::Receiver;
  Relay_.setRole(Role_);
  Relay_.setTrusted(!Outage_.entriesMayReappearUntil(Now));
  fetchConfig();
  if (Relay_.configReadEnd(Now) != ConfigReadEnd::None)
    readConfig(0ms);
  if (ConfigIdle_)
    scheduleConfigRead();
  if (Idle_ && Relay_.listingDue(Now)) {
    ++Site_.Diverged_;
    list();
  }
  if (Idle_)
    scheduleRead();
  if (!Reads && Now - SubscribedAt_ >= 1s) {
    SubscribedAt_ = Now;
    for (const std::size_t Index : ReaderIndexes) {
      Gateway &Reader = *Site_.Gateways_[Index];
      Site_.deliver(Reader, [this, &Reader, Now] {
        const Duration Arrived = Reader.clock();
        Site_.deliver(*this, [this, &Reader, Now, Arrived] {
          Clocks_.onExchange(GatewayRun(Reader.index()), Now, Arrived, Site_.Events_.now());
        });
      });
    }
  }
  publish();
}

void Gateway::publish() {
  const TimePoint Now = Site_.Events_.now();
  const auto Content = Relay_.publication(Now);
  if (!Content || (Content->ListReadAt_ == PublishedRead_ && Now - PublishedAt_ < 400ms))
    return;
  PublishedAt_ = Now;
  PublishedRead_ = Content->ListReadAt_;
  Message Sent{GatewayRun(Index_),
               0ms,
               clock(),
               Content->Spans_,
               Content->ConfigEnd_,
               Content->Era_,
               Site_.Faults_.Offers_ ? "reader" : ""};
  if (Content->ListReadAt_)
    Sent.ReadAt_ = Content->ListReadAt_->time_since_epoch() - ClockAhead_;
  for (const auto &Each : Site_.Gateways_)
    if (Each.get() != this)
      Site_.deliver(*Each, [To = Each.get(), Sent] { To->receive(Sent); });
}

void Gateway::receive(const Message &Received) {
  const TimePoint Now = Site_.Events_.now();
  const auto SentAt = Clocks_.earliest(Received.Run_, Received.SentAt_, Now);
  const auto ReadAt = Clocks_.earliest(Received.Run_, Received.ReadAt_, Now);
  if (!SentAt || !ReadAt)
    return;
  if (Received.ConfigEnd_)
    Relay_.onConfigAnnounced(Received.Run_, *Received.ConfigEnd_, Received.Era_, *SentAt, Now,
                             Received.Source_);
  for (const ListSpan &Span : Received.Spans_) {
    if (!Idle_)
      return;
    Relay_.setTrusted(!Outage_.entriesMayReappearUntil(Now));
    std::vector<ListChange> Changes;
    const SpanOutcome Outcome = Relay_.accept(Span, *ReadAt, Position_, Now, Changes);
    if (Outcome != SpanOutcome::Applied && Outcome != SpanOutcome::Diverged)
      continue;
    ++Site_.Applied_;
    Position_ = Span.To_;
    for (const ListChange &Change : Changes)
      apply(Change.Id_, Change.Listing_, true);
    scheduleRead();
  }
}

Site::Site(const Faults &Case, unsigned Seed) : Faults_(Case), Random_(Seed) {
  for (std::size_t I = 0; I < Case.Gateways_; ++I)
    Gateways_.push_back(std::make_unique<Gateway>(*this, I, Seed * 100 + I));
  planFaults();
}

void Site::planFaults() {
  const auto Within = [&](Duration Least, Duration Most) {
    const TimePoint Begin = Start + draw(5s, Length - 10s);
    return TimeRange{Begin, Begin + draw(Least, Most)};
  };
  if (Faults_.ReadersDie_)
    for (std::size_t I = 0; I < 3; ++I)
      Gateways_[I]->EndsAt_ = Within(0s, 1s).Begin_;
  for (const auto &Each : Gateways_)
    for (int I = 0; I < 2; ++I) {
      if (Faults_.GatewaysPause_)
        Each->Paused_.push_back(Within(200ms, 6s));
      if (Faults_.GatewaysCutOff_)
        Each->CutOff_.push_back(Within(200ms, 8s));
    }
  if (Faults_.StoreAway_)
    for (int I = 0; I < 2; ++I)
      StoreAway_.push_back(Within(500ms, 5s));
  if (Faults_.LogsShrink_)
    for (int I = 0; I < 4; ++I) {
      ShrunkAt_.push_back(Within(0s, 1s).Begin_);
      Events_.at(ShrunkAt_.back(), [this] { shrink(); });
    }
}

std::vector<std::size_t> Site::readers() const {
  std::vector<std::size_t> Indexes;
  // The loss of a reader is known after some seconds.
  for (std::size_t I = 0; I < Gateways_.size() && Indexes.size() < Faults_.Readers_; ++I)
    if (Gateways_[I]->EndsAt_ == TimePoint::max() || Events_.now() < Gateways_[I]->EndsAt_ + 4s)
      Indexes.push_back(I);
  return Indexes;
}

void Site::deliver(Gateway &To, const std::function<void()> &Receive) {
  const int Copies = randomFraction() < Faults_.Twice_ ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy) {
    if (randomFraction() < Faults_.Lost_)
      continue;
    const Duration Transit = randomFraction() < Faults_.Late_ ? draw(50ms, 4s) : draw(100us, 5ms);
    Events_.at(Events_.now() + Transit, [&To, Receive] { To.run(Receive); });
  }
}

bool Site::isHealthy(const Gateway &Each, TimePoint From, TimePoint To) const {
  const auto Overlaps = [&](const TimeRange &Range) { return Range.overlaps(From, To); };
  return Each.EndsAt_ > To && std::none_of(Each.Paused_.begin(), Each.Paused_.end(), Overlaps) &&
         std::none_of(Each.CutOff_.begin(), Each.CutOff_.end(), Overlaps) &&
         std::none_of(StoreAway_.begin(), StoreAway_.end(), Overlaps) &&
         std::none_of(ShrunkAt_.begin(), ShrunkAt_.end(),
                      [&](TimePoint At) { return At >= From - ShrinkNoticed && At < To; });
}

void Site::write(const EndpointId &Id, const std::optional<EndpointListing> &Listing) {
  Store_.List_.push_back({Id, Listing});
  if (Listing) {
    Truth_.insert_or_assign(Id, *Listing);
  } else {
    Truth_.erase(Id);
    Lost_.push_back(Id);
  }
}

void Site::heartbeat() {
  const auto Entries = Truth_;
  for (const auto &[Id, Listing] : Entries)
    write(Id, Listing);
  Events_.at(Events_.now() + 250ms, [this] { heartbeat(); });
}

void Site::changeList() {
  const TimePoint Now = Events_.now();
  Events_.at(Now + draw(100ms, 1500ms), [this] { changeList(); });
  EndpointListing Added;
  Added.Id_ = EndpointId("endpoint-" + std::to_string(NextEndpoint_++));
  write(Added.Id_, Added);
  if (Truth_.size() < 12)
    return;
  // One in two leaves as planned, and the other is removed without notice.
  EndpointListing Leaving = std::next(Truth_.begin(), draw(0ns, 11ns).count())->second;
  const EndpointId Id = Leaving.Id_;
  Leaving.State_ = EndpointState::Leaving;
  const bool Planned = randomFraction() < 0.5;
  write(Id, Planned ? std::optional(Leaving) : std::nullopt);
  const auto Check = [this, Id, Now](Duration Bound, Duration Before) {
    Events_.at(Now + Bound, [this, Id, Now, Bound, Before] {
      for (const auto &Each : Gateways_) {
        if (!isHealthy(*Each, Now - Before, Now + Bound))
          continue;
        ++Checked_;
        const auto Known = Each->Entries_.find(Id);
        if (Known != Each->Entries_.end() && Known->second.State_ == EndpointState::Live)
          ++Late_;
      }
    });
  };
  Check(Bounds.Leaving_, 0s);
  // Without an outage and without a pause shortly before, only the interval counts.
  Check(listPollTiming(Bounds).Interval_ + 150ms, 6s);
}

void Site::changeConfig() {
  const TimePoint Now = Events_.now();
  Events_.at(Now + draw(500ms, 5s), [this] { changeConfig(); });
  Store_.Config_.push_back(++Revision_);
  Events_.at(Now + Bounds.Configuration_, [this, Now, Written = Revision_] {
    for (const auto &Each : Gateways_)
      if (isHealthy(*Each, Now - StuckRead, Now + Bounds.Configuration_)) {
        ++Checked_;
        LateConfigs_ += Each->Revision_ < Written ? 1 : 0;
      }
  });
}

void Site::shrink() {
  auto &Log = Store_.List_;
  Log.resize(Log.size() - std::min<std::size_t>(Log.size(), draw(1ns, 60ns).count()));
  auto &Config = Store_.Config_;
  if (Config.size() > 1)
    Config.pop_back();
  // The writers write anew what was lost.
  const auto Entries = Truth_;
  for (const auto &[Id, Listing] : Entries)
    write(Id, Listing);
  const auto Ended = Lost_;
  for (const EndpointId &Id : Ended)
    Log.push_back({Id, std::nullopt});
  Config.back() = std::max(Config.back(), Revision_);
}

void Site::run() {
  for (; NextEndpoint_ < 12; ++NextEndpoint_) {
    EndpointListing Added;
    Added.Id_ = EndpointId("endpoint-" + std::to_string(NextEndpoint_));
    write(Added.Id_, Added);
  }
  heartbeat();
  for (const auto &Each : Gateways_)
    Events_.at(Start + draw(0s, 2s), [&Each] { Each->start(); });
  Events_.at(Start + 4s, [this] {
    changeList();
    if (Faults_.ConfigChanges_)
      changeConfig();
  });
  Events_.runUntil(Start + Length);
}

unsigned seeds() {
  const char *Text = std::getenv("RATTANCART_SCHEDULES");
  return Text ? static_cast<unsigned>(std::strtoul(Text, nullptr, 10)) : 12;
}

} // namespace

// Guards against gateways that learn of a change later than without readers, whatever becomes of
// readers and datagrams, and against late datagrams that bring back what was removed.
BOOST_DATA_TEST_CASE(ChangesTakeEffectInTimeWhateverReadersDo,
                     boost::unit_test::data::make(FaultCases) *
                         boost::unit_test::data::make(SharingCases),
                     Case, Sharing) {
  Faults Varied = Case;
  Varied.Readers_ = Sharing.Readers_;
  Varied.Offers_ = Sharing.Offers_;
  for (unsigned Seed = 1; Seed <= seeds(); ++Seed) {
    Site Simulated(Varied, Seed);
    Simulated.run();
    BOOST_TEST_CONTEXT("seed " << Seed) {
      BOOST_TEST(Simulated.Late_ == 0U);
      BOOST_TEST(Simulated.LateConfigs_ == 0U);
      BOOST_TEST(Simulated.Reappeared_ == 0U);
      BOOST_TEST(Simulated.Checked_ > 0U);
      // Only a log that shrank makes gateways differ.
      BOOST_TEST((Simulated.Diverged_ == 0 || Case.LogsShrink_));
      BOOST_TEST((Simulated.Applied_ > 0) == (Sharing.Readers_ > 0 && Case.Lost_ < 1));
      BOOST_TEST((Simulated.Fetched_ > 0) == (Sharing.Offers_ && Case.Lost_ < 1));
    }
  }
}

// Guards against readers that spare the others no calls.
BOOST_AUTO_TEST_CASE(AFewReadersMakeASmallPartOfTheCalls) {
  const auto Calls = [](std::size_t ReaderCount) {
    const Faults Calm{.Name_ = "calm",
                      .Lost_ = 0.01,
                      .Readers_ = ReaderCount,
                      .Gateways_ = 25,
                      .ConfigChanges_ = false};
    Site Simulated(Calm, 1);
    Simulated.run();
    return Simulated.Store_.Calls_;
  };
  const std::size_t Alone = Calls(0);
  const std::size_t Shared = Calls(Readers);
  BOOST_TEST_MESSAGE("calls of 25 gateways in 60 s: " << Shared << ", without readers " << Alone);
  BOOST_TEST(Shared * 5 < Alone * 2);
}
