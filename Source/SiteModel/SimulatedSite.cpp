#include "SiteModel/SimulatedSite.h"

#include "Core/Layers/SlowStartFeed.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

constexpr Duration TickInterval = milliseconds(10);
/// The owner of an engine polls it and passes the report on to the gateways, so a report is
/// ReportLag old when the gateways receive it.
constexpr Duration ReportInterval = milliseconds(200);
/// Gateways of other data centres get the states of an owner less often.
constexpr Duration RemoteStatesInterval = std::chrono::seconds(3);
/// Gateways repeat their reports about parts of prompts.
constexpr Duration SuspectReportInterval = std::chrono::seconds(1);
constexpr Duration ReportLag = milliseconds(200);
constexpr Duration ProbeAnswerTime = milliseconds(1);
constexpr Duration ProbeTimeout = milliseconds(50);
constexpr Duration SilenceDuration = milliseconds(1500);
constexpr Duration RecheckInterval = milliseconds(500);
constexpr Duration DoubtInterval = milliseconds(100);
constexpr Duration DatagramDelay = milliseconds(1);
constexpr Duration ReachInterval = milliseconds(100);
/// Owners name gateways that reach engines.
constexpr Duration PeerInterval = milliseconds(1000);
constexpr Duration TurnDelay = milliseconds(8);

/// Counts some events and discards all log lines.
class EventCounter final : public Logger {
public:
  explicit EventCounter(SimulatedSite::LogCounts &Counts) : Counts_(Counts) {}
  void log(LogEvent Event, std::initializer_list<LogField>) override {
    Counts_.Resumes_ += Event == LogEvent::StreamResumed ? 1 : 0;
    Counts_.NoticedCrashes_ += Event == LogEvent::EngineEndedAtStart ? 1 : 0;
  }

private:
  SimulatedSite::LogCounts &Counts_;
};

/// Records one response as its caller sees it.
class RecordingResponder final : public HttpResponder {
public:
  RecordingResponder(const Clock &Time, std::shared_ptr<CallerView> View)
      : Time_(Time), View_(std::move(View)) {}

  void send(HttpResponse Response) override {
    View_->Status_ = Response.Status_;
    View_->Error_ = std::atoi(std::string(Response.Headers_.get("error")).c_str());
    finishChunked();
  }
  void startChunked(HttpResponse Head) override { View_->Status_ = Head.Status_; }
  void sendChunk(std::string_view Data) override {
    const TimePoint Now = Time_.now();
    std::uint64_t Id = 0;
    std::from_chars(Data.data() + 4, Data.data() + Data.size(), Id);
    if (View_->EventIds_.empty())
      View_->TimeToFirstEvent_ = Now - View_->SentAt_;
    else
      View_->LongestPause_ = std::max(View_->LongestPause_, Now - View_->LastEventAt_);
    View_->EventIds_.push_back(Id);
    View_->LastEventAt_ = Now;
  }
  void finishChunked() override {
    View_->Complete_ = true;
    View_->EndedAt_ = Time_.now();
  }
  void abort() override {
    View_->Aborted_ = true;
    View_->EndedAt_ = Time_.now();
  }
  bool isOpen() const override { return !View_->ended(); }
  std::size_t queuedBytes() const override { return 0; }
  void onClosed(std::function<void()> Handler) override { View_->OnLeave_ = std::move(Handler); }

private:
  const Clock &Time_;
  std::shared_ptr<CallerView> View_;
};

ServingConfig makeConfig(const LayeredModel &Model) {
  ServingConfig Config;
  Config.Revision_ = ConfigRevision(1);
  ServingRoute Route;
  Route.Id_ = RouteId("brief");
  Route.Host_ = "site";
  Route.PathPrefix_ = "/";
  Route.Kind_ = RequestKind::Stream;
  Route.Services_ = {{ServiceId("brief"), 1}};
  Route.Timeout_ = std::chrono::seconds(20);
  Route.MaxAttempts_ = 2;
  Route.Public_ = true;
  Route.Resumable_ = true;
  Config.Routes_.push_back(Route);
  Config.Services_.push_back({ServiceId("brief"), 1000, Model});
  return Config;
}

} // namespace

void CallerView::leave() {
  if (ended())
    return;
  Left_ = true;
  if (const auto Handler = std::exchange(OnLeave_, nullptr))
    Handler();
}

bool CallerView::inTime() const {
  return Status_ == 200 && Complete_ && !Aborted_ && TimeToFirstEvent_ <= milliseconds(500) &&
         LongestPause_ <= milliseconds(200);
}

/// Finds silent engines as EngineProber does: an engine that runs answers a probe after a short
/// delay, any other engine doesn't.
class SimulatedSite::HealthMonitor final : public EngineHealthMonitor {
public:
  HealthMonitor(SimulatedSite &Site, EndpointRoster &Roster, const GatewayLink &Link)
      : Site_(Site), Roster_(Roster), Link_(Link) {}

  void check(const std::vector<EndpointId> &Engines, TimePoint Since, Callback Done) override {
    std::vector<EndpointId> Silent;
    bool Asked = false;
    for (const EndpointId &Engine : Engines) {
      const EndpointRecord *Record = Roster_.find(Engine);
      if (!Record || Record->silent(Site_.Queue_.now())) {
        Silent.push_back(Engine);
        continue;
      }
      if (Record->LastActivityAt_ >= Since)
        continue;
      Asked = true;
      if (!answers(Engine))
        Silent.push_back(Engine);
      else
        Roster_.noteActivity(Engine, Site_.Queue_.now());
    }
    const Duration Wait = Silent.empty() || !Asked ? ProbeAnswerTime : ProbeTimeout;
    Site_.Queue_.after(Wait, [this, Silent, Done = std::move(Done)] {
      for (const EndpointId &Engine : Silent)
        markSilent(Engine);
      Done(Silent);
    });
  }
  void setReachability(const ReachabilityMonitor &Reach) { Reach_ = &Reach; }
  void suspect(const EndpointId &Engine) override {
    Site_.Queue_.after(ProbeTimeout, [this, Engine] {
      if (!answers(Engine))
        markSilent(Engine);
    });
  }
  void noteActivity(const EndpointId &Engine) override {
    Roster_.noteActivity(Engine, Site_.Queue_.now());
  }
  /// Probes the silent engines again.
  void recheck() {
    for (const auto &[Id, Record] : Roster_.all())
      if (Record.silent(Site_.Queue_.now()))
        probeAgain(Id);
  }
  void probeAgain(const EndpointId &Engine) {
    if (answers(Engine))
      return Roster_.markHeard(Engine, Site_.Queue_.now());
    noteIfStopped(Engine);
    Roster_.markSilent(Engine, Site_.Queue_.now(), Site_.Queue_.now() + SilenceDuration);
  }

private:
  /// The address of an engine that has stopped refuses connections.
  bool answers(const EndpointId &Engine) const {
    return Link_.fault() == LinkFault::None &&
           Site_.Engines_.condition(Engine) == EngineCondition::Running;
  }
  void noteIfStopped(const EndpointId &Engine) {
    if (Site_.Engines_.condition(Engine) == EngineCondition::Stopped)
      Roster_.noteConnectionRefused(Engine, Site_.Queue_.now());
  }
  bool inDoubt() const { return Reach_ && Reach_->inDoubt(ServiceId("brief")); }
  void markSilent(const EndpointId &Engine) {
    const EndpointRecord *Record = Roster_.find(Engine);
    const bool Known = !Record || Record->silent(Site_.Queue_.now());
    noteIfStopped(Engine);
    Roster_.markSilent(Engine, Site_.Queue_.now(), Site_.Queue_.now() + SilenceDuration);
    if (!Known && !inDoubt())
      Site_.broadcastSilence(Engine);
  }

  SimulatedSite &Site_;
  EndpointRoster &Roster_;
  const GatewayLink &Link_;
  const ReachabilityMonitor *Reach_ = nullptr;
};

/// Hands out turns as the platform's store does, some time after each claim.
class SimulatedSite::Turns final : public TurnStore {
public:
  explicit Turns(SimulatedSite &Site) : Site_(Site) {}

  void claimTurn(const std::string &Key, TurnNumber After, TurnDone Done) override {
    ++Site_.TurnClaims_;
    Site_.Queue_.after(TurnDelay, [this, Key, After, Done = std::move(Done)] {
      TurnNumber &Newest = Newest_[Key];
      if (Newest > After)
        return Done({TurnOutcome::Taken, Newest});
      Newest = After.next();
      const bool Lost =
          std::uniform_real_distribution(0.0, 1.0)(Site_.TurnRandom_) < Site_.TurnLoss_;
      Done({Lost ? TurnOutcome::Unknown : TurnOutcome::Granted, Newest});
    });
  }

private:
  SimulatedSite &Site_;
  std::map<std::string, TurnNumber> Newest_;
};

struct SimulatedSite::Gateway {
  Gateway(SimulatedSite &Site, const DataCenterId &Home, bool Owner, std::uint32_t Count,
          Duration RetryWindow)
      : Link_(Site.Queue_, Site.Engines_), Health_(Site, Roster_, Link_), Paths_(Roster_, Home),
        Retries_({0.2, 202, RetryWindow}, Site.Queue_.now() - 2 * RetryWindow),
        Random_(Site.Random_()), Context_{Site.Loop_,   Site.Queue_.clock(),
                                          *Site.Log_,   Metrics_,
                                          Link_,        Site.Dialect_,
                                          Roster_,      Paths_,
                                          Retries_,     Health_,
                                          MemoryQueue_, Quarantine_,
                                          Limiter_,     Random_,
                                          Home},
        Handler_(Context_, Site.Config_), PeerHandler_(Context_, Site.Config_, Handler_),
        Reach_({Site.Queue_.clock(), *Site.Log_, Metrics_, Link_, Site.Dialect_, Roster_, Random_}),
        Peers_(Home), Home_(Home), Owner_(Owner) {
    Retries_.setProcesses(Count);
    SlowStart_.setGateways(Count);
    Quarantine_.onReport([this, &Site] { Site.reportSuspects(*this); });
    Quarantine_.spreadTrials(Count, std::uniform_real_distribution(0.0, 1.0)(Site.TurnRandom_));
    Context_.Turns_ = Site.Turns_.get();
    Health_.setReachability(Reach_);
    Context_.Reach_ = &Reach_;
    Context_.Peers_ = &Peers_;
    Link_.onConnect([this](const NetAddress &Address, bool Accepted, Duration Took) {
      Reach_.onConnect(Address, Accepted, Took);
    });
    Link_.setPeers([&Site](const NetAddress &Address) { return Site.peerHandler(Address); });
  }

  EndpointRoster Roster_;
  GatewayLink Link_;
  HealthMonitor Health_;
  PathChooser Paths_;
  RetryShare Retries_;
  StreamAdmissionQueue MemoryQueue_;
  PromptQuarantine Quarantine_;
  MetricSet Metrics_;
  std::mt19937 Random_;
  EndpointLimiter Limiter_{Random_};
  EndpointSlowStart SlowStart_{{}};
  GatewayContext Context_;
  GatewayRequestHandler Handler_;
  PeerRequestHandler PeerHandler_;
  ReachabilityMonitor Reach_;
  PeerDirectory Peers_;
  DataCenterId Home_;
  /// Whether it owns the engines of its data centre.
  bool Owner_;
  PlacementController Placement_;
};

SimulatedSite::SimulatedSite(unsigned Seed, LayeredModel Model,
                             const std::vector<DataCenterSetup> &DataCenters)
    : Model_(std::move(Model)), Engines_(Queue_, Model_),
      Log_(std::make_unique<EventCounter>(Counts_)), Random_(Seed), LossRandom_(Seed),
      TurnRandom_(Seed), Turns_(std::make_shared<Turns>(*this)) {
  Config_.replaceIfNewer(makeConfig(Model_), Queue_.now());
  std::uint32_t GatewayCount = 0;
  for (const DataCenterSetup &Each : DataCenters)
    GatewayCount += Each.Gateways_;
  for (const DataCenterSetup &Each : DataCenters) {
    for (const auto &[Kind, Count] : Each.EngineCounts_)
      for (int I = 0; I < Count; ++I)
        Engines_.add(EndpointId(fmt::format("{}-{}-{}", Each.Name_, Kind, I)),
                     DataCenterId(Each.Name_), Kind);
    for (std::uint32_t I = 0; I < Each.Gateways_; ++I)
      Gateways_.push_back(std::make_shared<Gateway>(*this, DataCenterId(Each.Name_), I == 0,
                                                    GatewayCount, std::chrono::seconds(10)));
    Gateways_[Gateways_.size() - Each.Gateways_]->Placement_.setOwner(FencingNumber(1));
  }
  Queue_.every(ReportInterval, [this] { updateRosters(); });
  Queue_.every(ReportInterval, [this] { updatePlacement(); });
  Queue_.every(SuspectReportInterval, [this] {
    for (const auto &Each : Gateways_)
      reportSuspects(*Each);
  });
  Queue_.every(ReportInterval, [this] { broadcastSuspects(/*ToAll=*/false); });
  Queue_.every(RemoteStatesInterval, [this] { broadcastSuspects(/*ToAll=*/true); });
  Queue_.every(TickInterval, [this] {
    for (const auto &Each : Gateways_)
      Each->Handler_.tick();
  });
  Queue_.every(ReachInterval, [this] {
    for (const auto &Each : Gateways_)
      Each->Reach_.tick();
  });
  Queue_.every(PeerInterval, [this] { namePeers(); });
  Queue_.every(RecheckInterval, [this] {
    for (const auto &Each : Gateways_)
      Each->Health_.recheck();
  });
}

std::vector<EndpointId> SimulatedSite::engineIds(const std::string &DataCenter) const {
  std::vector<EndpointId> Ids;
  for (const EndpointListing &Each : Engines_.listings())
    if (DataCenter.empty() || Each.DataCenter_.str() == DataCenter)
      Ids.push_back(Each.Id_);
  return Ids;
}

bool SimulatedSite::holdsWholeModel(const std::string &DataCenter) const {
  std::set<std::uint32_t> Held;
  for (const EndpointId &Id : engineIds(DataCenter))
    if (Engines_.condition(Id) == EngineCondition::Running)
      for (std::uint32_t Layer = Engines_.layers(Id).Begin_; Layer < Engines_.layers(Id).End_;
           ++Layer)
        Held.insert(Layer);
  return Held.size() == Model_.Layers_;
}

void SimulatedSite::runUntilLoaded() {
  const auto Whole = [this] {
    return std::all_of(Gateways_.begin(), Gateways_.end(),
                       [this](const auto &Each) { return holdsWholeModel(Each->Home_.str()); });
  };
  for (int Second = 0; Second < 120 && !Whole(); ++Second)
    Queue_.run(std::chrono::seconds(1));
  // Further copies of the layers are loaded after that.
  Queue_.run(std::chrono::seconds(20));
}

void SimulatedSite::updateRosters() {
  const TimePoint MeasuredAt = Queue_.now();
  std::vector<std::pair<EndpointListing, std::optional<EngineReport>>> Reports;
  for (EndpointListing Each : Engines_.listings()) {
    const auto Leaving = LeavingEngines_.find(Each.Id_);
    if (Leaving != LeavingEngines_.end() && Leaving->second == Each.Run_)
      Each.State_ = EndpointState::Leaving;
    const bool Answers = Engines_.condition(Each.Id_) == EngineCondition::Running;
    Reports.emplace_back(Each, Answers ? std::optional(Engines_.report(Each.Id_)) : std::nullopt);
  }
  Queue_.after(ReportLag, [this, MeasuredAt, Reports = std::move(Reports)] {
    for (const auto &Each : Gateways_) {
      for (const auto &[Listing, Report] : Reports) {
        if (UnlistedEngines_.contains(Listing.Id_))
          continue;
        Each->Roster_.updateListing(Listing, MeasuredAt);
        if (Report)
          Each->Roster_.updateReport(Listing.Id_, *Report, MeasuredAt);
      }
      updateSlowStart(*Each);
    }
  });
}

void SimulatedSite::enableSlowStart(SlowStartOptions Options) {
  for (const auto &Each : Gateways_) {
    Each->SlowStart_.setOptions(Options);
    Each->Context_.SlowStart_ = &Each->SlowStart_;
    Each->Paths_.setSlowStart(&Each->SlowStart_);
    updateSlowStart(*Each);
  }
}

void SimulatedSite::updateSlowStart(Gateway &Each) {
  const TimePoint Now = Queue_.now();
  for (const auto &[Id, Record] : Each.Roster_.all())
    Each.SlowStart_.observe(conditionOf(Record, Queue_.clock().wallNow(), Now), Now);
  for (const SlowStartChange &Change : Each.SlowStart_.takeChanges())
    SlowStarts_ += Change.Began_ ? 1 : 0;
}

void SimulatedSite::updatePlacement() {
  const auto DataCenters = static_cast<std::size_t>(std::count_if(
      Gateways_.begin(), Gateways_.end(), [](const auto &Each) { return Each->Owner_; }));
  for (const auto &Each : Gateways_) {
    if (!Each->Owner_)
      continue;
    auto Whole = Each->Paths_.dataCentersHoldingModel(Model_, ServiceId("brief"), Queue_.now());
    std::erase(Whole, Each->Home_);
    const PlacementScope Scope{Each->Home_, DataCenters, Whole.size()};
    for (const PlacementOrder &Order :
         Each->Placement_.tick(Model_, ServiceId("brief"), Scope, Each->Roster_, Queue_.now()))
      Each->Placement_.onOrderEnded(Order, Engines_.order(Order), Queue_.now());
    if (Each->Placement_.doubtfulEngines().empty() || std::exchange(DoubtTimerRuns_, true))
      continue;
    Queue_.after(DoubtInterval, [this] { probeDoubtfulEngines(); });
  }
}

void SimulatedSite::probeDoubtfulEngines() {
  DoubtTimerRuns_ = false;
  for (const auto &Each : Gateways_)
    for (const EndpointId &Engine : Each->Placement_.doubtfulEngines())
      Each->Health_.probeAgain(Engine);
  updatePlacement();
}

void SimulatedSite::broadcastSilence(const EndpointId &Engine) {
  for (const auto &Each : Gateways_) {
    Each->Health_.suspect(Engine);
    if (Each->Roster_.find(Engine) && Each->Roster_.find(Engine)->silent(Queue_.now()))
      Each->Handler_.onEngineSilent(Engine);
  }
  updatePlacement();
}

void SimulatedSite::reportSuspects(Gateway &From) {
  const std::vector<PromptSuspect> Reports = From.Quarantine_.takeReports();
  if (Reports.empty())
    return;
  for (const auto &Each : Gateways_)
    if (Each->Owner_ && Each.get() != &From)
      sendSuspects(Reports, *Each);
}

void SimulatedSite::broadcastSuspects(bool ToAll) {
  for (const auto &Owner : Gateways_) {
    if (!Owner->Owner_)
      continue;
    const std::vector<PromptSuspect> Suspects = Owner->Quarantine_.suspects(Queue_.now());
    if (Suspects.empty())
      continue;
    for (const auto &Each : Gateways_)
      if (Each != Owner && (ToAll || Each->Home_ == Owner->Home_))
        sendSuspects(Suspects, *Each);
  }
}

void SimulatedSite::sendSuspects(const std::vector<PromptSuspect> &Suspects, Gateway &To) {
  if (std::uniform_real_distribution(0.0, 1.0)(LossRandom_) < DatagramLoss_)
    return;
  const TimePoint SentAt = Queue_.now();
  Queue_.after(DatagramDelay, [this, Suspects, SentAt, &To] {
    std::vector<PromptSuspect> Received = Suspects;
    // Datagrams state ages, so the times of the receiver are later by the delay.
    for (PromptSuspect &Suspect : Received) {
      Suspect.TrialAt_ += Queue_.now() - SentAt;
      for (EngineCrash &Each : Suspect.Crashes_)
        Each.At_ += Queue_.now() - SentAt;
    }
    To.Quarantine_.merge(Received, Queue_.now());
  });
}

std::size_t SimulatedSite::quarantinedParts() const {
  std::size_t Count = 0;
  for (const auto &Each : Gateways_)
    Count += Each->Quarantine_.size();
  return Count;
}

void SimulatedSite::simulateFalseSilence(const EndpointId &Engine) {
  for (const auto &Each : Gateways_) {
    Each->Roster_.markSilent(Engine, Queue_.now(), Queue_.now() + SilenceDuration);
    Each->Handler_.onEngineSilent(Engine);
  }
}

void SimulatedSite::setListed(const EndpointId &Engine, bool Listed) {
  if (Listed) {
    UnlistedEngines_.erase(Engine);
    return;
  }
  UnlistedEngines_.insert(Engine);
  for (const auto &Each : Gateways_)
    Each->Roster_.removeListing(Engine, /*MayReappearUntil=*/std::nullopt, Queue_.now());
}

void SimulatedSite::announceLeaving(const EndpointId &Engine) {
  Engines_.setLeaving(Engine, true);
  LeavingEngines_.insert_or_assign(Engine, Engines_.report(Engine).Run_);
}

void SimulatedSite::exhaustRetryBudget() {
  for (const auto &Each : Gateways_)
    while (Each->Retries_.tryRetry(ServiceId("brief"), Queue_.now()))
      ;
}

NetAddress SimulatedSite::peerAddress(std::size_t GatewayIndex) {
  return NetAddress(fmt::format("gateway-{}", GatewayIndex));
}

HttpHandler *SimulatedSite::peerHandler(const NetAddress &Address) {
  for (std::size_t I = 0; I < Gateways_.size(); ++I)
    if (peerAddress(I) == Address)
      return &Gateways_[I]->PeerHandler_;
  return nullptr;
}

void SimulatedSite::namePeers() {
  for (std::size_t Named = 0; Named < Gateways_.size(); ++Named)
    for (const auto &Each : Gateways_)
      if (Each != Gateways_[Named] && !Gateways_[Named]->Reach_.isIsolatedFromAny())
        Each->Peers_.onNamed({peerAddress(Named), Gateways_[Named]->Home_}, Queue_.now());
}

void SimulatedSite::setLinkFault(std::size_t GatewayIndex, LinkFault Fault) {
  Gateways_[GatewayIndex]->Link_.setFault(Fault);
}

std::shared_ptr<CallerView> SimulatedSite::sendRequest(std::size_t GatewayIndex, double Prompt,
                                                       std::uint64_t Events,
                                                       const std::string &Parts,
                                                       const std::string &Host) {
  auto View = std::make_shared<CallerView>();
  View->Id_ = "r" + std::to_string(NextId_++);
  View->Host_ = Host;
  View->SentAt_ = Queue_.now();
  View->ExpectedEvents_ = Events;
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Headers_.add("Host", Host);
  Request.Headers_.add("id", View->Id_);
  Request.Headers_.add("prompt", std::to_string(Prompt));
  Request.Headers_.add("events", std::to_string(Events));
  if (!Parts.empty())
    Request.Headers_.add("parts", Parts);
  Gateways_[GatewayIndex]->Handler_.handle(
      std::move(Request), std::make_shared<RecordingResponder>(Queue_.clock(), View));
  return View;
}

std::size_t SimulatedSite::inFlight() const {
  std::size_t Count = 0;
  for (const auto &Each : Gateways_)
    Count += Each->Handler_.inFlight();
  return Count;
}

} // namespace rattancart
