#include "Gateway/GatewayProcess.h"

#include "Core/Common/ErrorCode.h"
#include "Core/Layers/SlowStartFeed.h"
#include "Gateway/GatewayGauges.h"
#include "Process/ProcessUsage.h"

#include <fmt/format.h>

#include <csignal>
#include <iterator>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

constexpr Duration DrainInterval = milliseconds(50);
constexpr Duration HousekeepingInterval = milliseconds(200);
constexpr Duration ReachInterval = milliseconds(100);
/// How long the answers to requests that a shutdown ends have time to leave.
constexpr Duration LastAnswersTime = milliseconds(200);
/// Interval of a timer whose lateness measures the delay of the event loop.
constexpr Duration LoopDelayInterval = milliseconds(250);
/// How long an engine that refuses requests despite free memory gets none at most. With slow start,
/// the few requests that it gets afterwards show sooner whether it takes them again.
constexpr Duration MaxDeclineBackoff = milliseconds(3200);
constexpr Duration SlowStartDeclineBackoff = milliseconds(400);
/// Retry-After of a request that another gateway can take at once.
constexpr Duration ShutdownRetry{};
/// Maximum number of idle connections kept per endpoint; a stream occupies one until it ends.
constexpr std::size_t IdleConnections = 16;

const char *changeName(EndpointRoster::Change Change) {
  switch (Change) {
  case EndpointRoster::Change::Added:
    return "added";
  case EndpointRoster::Change::Restarted:
    return "restarted";
  case EndpointRoster::Change::Leaving:
    return "leaving";
  case EndpointRoster::Change::Moved:
    return "moved";
  case EndpointRoster::Change::Removed:
    return "removed";
  case EndpointRoster::Change::Missing:
    return "missing";
  case EndpointRoster::Change::None:
    break;
  }
  return "none";
}

HttpServerOptions callerOptions(const CallerLimits &Limits) {
  HttpServerOptions Options;
  Options.MaxHeaderBytes_ = Limits.MaxHeaderBytes_;
  Options.MaxBodyBytes_ = Limits.MaxBodyBytes_;
  Options.HeaderTimeout_ = Limits.HeaderTimeout_;
  Options.IdleTimeout_ = Limits.IdleTimeout_;
  return Options;
}

/// A forwarded request is the caller's with a few fields more.
HttpServerOptions peerOptions(const CallerLimits &Limits) {
  constexpr std::size_t AddedHeaderBytes = 1024;
  HttpServerOptions Options = callerOptions(Limits);
  Options.MaxHeaderBytes_ += AddedHeaderBytes;
  return Options;
}

} // namespace

GatewayProcess::GatewayProcess(GatewaySettings Settings, std::string SettingsFile,
                               const GatewayPlatform &Platform, const Clock &Time, Logger &Log)
    : Settings_(std::move(Settings)), SettingsFile_(std::move(SettingsFile)), Time_(Time),
      Log_(Log), Random_(std::random_device{}()), Client_(Loop_, IdleConnections),
      StoreClient_(Loop_, IdleConnections),
      Store_(Platform.MakeStore_(Loop_, Time, Log, Metrics_, StoreClient_, Settings_.Store_)),
      Prober_({Loop_, Time, Log, Metrics_, Client_, Platform.Protocol_, Roster_, Random_},
              Settings_.Detection_),
      Paths_(Roster_, Settings_.Process_.DataCenter_), Retries_(Settings_.Retries_, Time.now()),
      CountEstimator_(Settings_.DataCenters_, Settings_.Process_.DataCenter_,
                      GatewayCountOptions::forWindow(Settings_.Retries_.Window_)),
      TrialPosition_(std::uniform_real_distribution<double>(0, 1)(Random_)), Limiter_(Random_),
      Reach_({Time, Log, Metrics_, Client_, Platform.Protocol_, Roster_, Random_}),
      Peers_(Settings_.Process_.DataCenter_), Datagrams_(Loop_, Log, Metrics_),
      SlowStart_(Settings_.SlowStart_),
      StateBroadcast_(Loop_, Time, Log, Datagrams_, *Store_, Roster_, CountEstimator_, Quarantine_,
                      Limiter_, Settings_.Process_.DataCenter_, Settings_.DataCenters_),
      StoreRelay_({Loop_, Time, Log, Metrics_, *Store_, Datagrams_, StateBroadcast_, Client_},
                  Settings_.Process_.DataCenter_, Settings_.StoreReaders_,
                  {listPollTiming(Settings_.Freshness_).Interval_,
                   configPollTiming(Settings_.Freshness_).Wait_}),
      PlacementCoordinator_({Loop_, Time, Log, Metrics_, Client_, Platform.Protocol_, *Store_,
                             Roster_, Config_, Paths_, Prober_, StateBroadcast_},
                            Settings_.Process_.DataCenter_, Settings_.DataCenters_.size()),
      Context_{Loop_,
               Time,
               Log,
               Metrics_,
               Client_,
               Platform.Protocol_,
               Roster_,
               Paths_,
               Retries_,
               Prober_,
               AdmissionQueue_,
               Quarantine_,
               Limiter_,
               Random_,
               Settings_.Process_.DataCenter_,
               Settings_.ResponseLimits_},
      RequestHandler_(Context_, Config_), PeerHandler_(Context_, Config_, RequestHandler_),
      Protocol_(Platform.Protocol_), CallerServer_(Loop_, callerOptions({}), *this, Log),
      StateHandler_(*this), StateHttp_(Loop_, {}, StateHandler_, Log),
      MetricsHttp_(Loop_, {}, StateHandler_, Log),
      PeerServer_(Loop_, peerOptions({}), PeerHandler_, Log),
      Signals_(Loop_, [this] { onShutdownSignal(); }), ReloadSignal_(Loop_, SIGHUP),
      Drain_({Settings_.ShutdownGrace_, Settings_.ShutdownLimit_}), DrainTimer_(Loop_),
      Housekeeping_(Loop_), LoopDelayTimer_(Loop_), ReachTimer_(Loop_) {}

GatewayProcess::~GatewayProcess() = default;

std::error_code GatewayProcess::start() {
  if (const std::error_code Failure = StateHttp_.listen(Settings_.StateListen_))
    return Failure;
  if (!Settings_.MetricsListen_.empty())
    if (const std::error_code Failure = MetricsHttp_.listen(Settings_.MetricsListen_))
      return Failure;
  if (const std::error_code Failure = StateBroadcast_.listen(Settings_.PeerListen_))
    return Failure;
  if (const std::error_code Failure = PeerServer_.listen(NetAddress(StateBroadcast_.member())))
    return Failure;
  if (const std::error_code Failure = CallerServer_.listen(Settings_.Listen_))
    return Failure;
  RequestHandler_.queueUntilReady({.MaxWait_ = Settings_.StartupMaxWait_}, Time_.now());
  subscribeToEngineEvents();
  startForwarding();
  PeerHandler_.onConfigRequest([this](const HttpRequest &Request, const HttpResponderPtr &To) {
    StoreRelay_.handOutConfig(Request, To);
  });
  StoreRelay_.start();
  Store_->follow(*this);
  PlacementCoordinator_.start();
  watchReload();
  Housekeeping_.every(HousekeepingInterval, [this] { updateReadiness(); });
  measureLoopDelay();
  Log_.log(LogEvent::ProcessStarted, {{"listen", CallerServer_.address().str()},
                                      {"state", StateHttp_.address().str()},
                                      {"peers", StateBroadcast_.member()},
                                      {"store", Settings_.Store_.str()},
                                      {"data_center", Settings_.Process_.DataCenter_.str()}});
  return {};
}

void GatewayProcess::subscribeToEngineEvents() {
  Context_.SlowStart_ = &SlowStart_;
  Context_.Turns_ = Store_.get();
  Paths_.setSlowStart(&SlowStart_);
  takeSlowStartOptions(Settings_.SlowStart_);
  Context_.OnNoPathAtHome_ = [this] { StateBroadcast_.noteRemoteUse(); };
  Context_.OnRemoteLimit_ = [this] { StateBroadcast_.noteRemoteUse(); };
  Limiter_.onChange([this](const EndpointLimit &Limit) {
    Log_.log(LogEvent::EndpointLimited,
             {{"endpoint", Limit.Endpoint_.str()},
              {"run", Limit.Run_.value()},
              {"per_second", Limit.Rate_ ? Limit.Rate_->PerSecond_ : -1}});
    StateBroadcast_.reportLimit(Limit.Endpoint_);
  });
  Client_.onIdleClosed([this](const NetAddress &Address) {
    const EndpointRecord *Record = Roster_.findByAddress(Address);
    if (Record && Record->reported())
      Prober_.suspect(Record->Listing_.Id_);
  });
  Quarantine_.onReport([this] { StateBroadcast_.reportPromptSuspects(); });
  StateBroadcast_.onReceived([this] { Prober_.noteOtherReception(); });
  StateBroadcast_.onSilent(
      [this](const SilenceReport &Report) { return Prober_.onReported(Report); });
  StateBroadcast_.onOwnerFinding(
      [this](const EndpointId &Engine) { return Prober_.rejectsOwnerFinding(Engine); });
  Prober_.onSilent([this](const EndpointId &Engine, bool Refused) {
    const EndpointRecord *Record = Roster_.find(Engine);
    // While the links of this gateway are in doubt, the others need not look for a lost engine.
    if (Record && !Reach_.inDoubt(Record->Listing_.Service_))
      StateBroadcast_.announceSilent(Engine, Record->Listing_.DataCenter_, Refused);
    RequestHandler_.onEngineSilent(Engine);
    PlacementCoordinator_.onEngineSilent(Engine);
  });
}

void GatewayProcess::startForwarding() {
  Context_.Reach_ = &Reach_;
  Context_.Peers_ = &Peers_;
  Context_.Member_ = StateBroadcast_.member();
  Client_.onConnect([this](const NetAddress &Address, bool Accepted, Duration Took) {
    Reach_.onConnect(Address, Accepted, Took);
  });
  Reach_.onChange([this](const ReachabilityChange &Change) { onReachabilityChange(Change); });
  StateBroadcast_.onPeer([this](const PeerGateway &Peer) { Peers_.onNamed(Peer, Time_.now()); });
  ReachTimer_.every(ReachInterval, [this] { Reach_.tick(); });
}

void GatewayProcess::onReachabilityChange(const ReachabilityChange &Change) {
  StateBroadcast_.setIsolated(Reach_.isIsolatedFromAny());
  const ServingIndexPtr &Config = Config_.current();
  const ServingService *Service = Config ? Config->service(Change.Service_) : nullptr;
  if (Service && Service->Model_)
    PlacementCoordinator_.setIsolated(Change.Isolated_);
}

std::string GatewayProcess::listening() const {
  return CallerServer_.address().str() + " state " + StateHttp_.address().str();
}

void GatewayProcess::run() { Loop_.run(); }

void GatewayProcess::onConfig(ServingConfig Config) {
  const ConfigRevision Revision = Config.Revision_;
  const CallerLimits Limits = Config.Limits_;
  if (!Config_.replaceIfNewer(std::move(Config), Time_.now())) {
    Log_.log(LogEvent::StaleViewIgnored, {{"revision", Revision.value()}});
    return;
  }
  CallerServer_.setLimits(callerOptions(Limits));
  PeerServer_.setLimits(peerOptions(Limits));
  const ServingConfig &Current = Config_.current()->config();
  Log_.log(LogEvent::ConfigInForce,
           {{"revision", Revision.value()},
            {"routes", Current.Routes_.size()},
            {"customers", Current.Customers_ ? Current.Customers_->size() : 0},
            {"keys_required", static_cast<int>(Current.Customers_.has_value())}});
  routeWaitingRequests();
}

void GatewayProcess::onListed(EndpointListing Listing) {
  ListHeardAt_ = Time_.now();
  Prober_.noteOtherReception();
  const EndpointId Id = Listing.Id_;
  const EndpointRoster::Change Change = Roster_.updateListing(std::move(Listing), Time_.now());
  if (Change == EndpointRoster::Change::None)
    return;
  SlowStart_.observe(conditionOf(*Roster_.find(Id), Time_.wallNow(), Time_.now()), Time_.now());
  const EndpointListing &Now = Roster_.find(Id)->Listing_;
  const bool Leaving = Now.State_ != EndpointState::Live;
  Log_.log(Leaving ? LogEvent::EndpointLeaving : LogEvent::EndpointAdded,
           {{"endpoint", Id.str()},
            {"change", changeName(Change)},
            {"service", Now.Service_.str()},
            {"address", Now.Address_.str()},
            {"data_center", Now.DataCenter_.str()},
            {"kind", Now.Kind_},
            {"run", Now.Run_.value()},
            {"from", Now.Layers_.Begin_},
            {"to", Now.Layers_.End_}});
  // Connections to an earlier run at the same address are dead.
  Client_.closeIdle(Now.Address_);
}

void GatewayProcess::onUnlisted(const EndpointId &Id, std::optional<TimePoint> MayReappearUntil) {
  const TimePoint Now = Time_.now();
  const EndpointRoster::Change Change = Roster_.removeListing(Id, MayReappearUntil, Now);
  if (Change == EndpointRoster::Change::None)
    return;
  const bool Missing = Change == EndpointRoster::Change::Missing;
  if (!Missing) {
    Limiter_.remove(Id);
    SlowStart_.remove(Id, Now);
  }
  Log_.log(Missing ? LogEvent::EndpointMissing : LogEvent::EndpointGone,
           {{"endpoint", Id.str()},
            {"reason", "unlisted"},
            {"kept_ms", Missing ? (*MayReappearUntil - Now) / milliseconds(1) : 0}});
}

void GatewayProcess::onStoreReturned(const StoreReturn &) {
  // What is in force stays: an older configuration is ignored, and endpoints that are missing from
  // the copy are kept until they have had time to register again.
}

void GatewayProcess::onListComplete() {
  ListComplete_ = true;
  routeWaitingRequests();
}

void GatewayProcess::routeWaitingRequests() {
  if (Config_.current() && ListComplete_)
    RequestHandler_.onReady();
}

void GatewayProcess::onStoreReachable(bool Reachable) {
  StoreReachable_ = Reachable;
  CountEstimator_.setStoreReachable(Reachable, Time_.now());
  Log_.log(Reachable ? LogEvent::PlatformBack : LogEvent::PlatformLost,
           {{"store", Settings_.Store_.str()}});
}

void GatewayProcess::updateReadiness() {
  for (const EndpointId &Id : Roster_.prune(Time_.now())) {
    Limiter_.remove(Id);
    SlowStart_.remove(Id, Time_.now());
    Log_.log(LogEvent::EndpointGone, {{"endpoint", Id.str()}, {"reason", "did not come back"}});
  }
  countGateways();
  updateReserve();
  updateSlowStart();
  const std::string Reason = notReadyReason();
  if (Reason.empty() == WasReady_)
    return;
  WasReady_ = Reason.empty();
  if (WasReady_)
    Log_.log(LogEvent::ProcessReady, {{"revision", Config_.current()->config().Revision_.value()},
                                      {"endpoints", Roster_.all().size()}});
  else
    Log_.log(LogEvent::ProcessNotReady, {{"reason", Reason}});
}

void GatewayProcess::countGateways() {
  const GatewayCount Count = CountEstimator_.count(Time_.now());
  if (Count.Gateways_ == Retries_.processes())
    return;
  Log_.log(LogEvent::GatewaysCounted,
           {{"gateways", Count.Gateways_.value_or(0)},
            {"before", Retries_.processes().value_or(0)},
            {"doubt", Count.UnknownReason_.empty() ? "-" : Count.UnknownReason_}});
  Retries_.setProcesses(Count.Gateways_);
  if (Count.Gateways_)
    Quarantine_.spreadTrials(*Count.Gateways_, TrialPosition_);
  Limiter_.setGateways(Count.Gateways_);
  Roster_.setGateways(Count.Gateways_);
  SlowStart_.setGateways(Count.Gateways_);
  Prober_.setGateways(Count.Gateways_);
}

void GatewayProcess::updateReserve() {
  if (!Config_.current())
    return;
  Context_.Reserve_.setGateways(
      CountEstimator_.countAt(Settings_.Process_.DataCenter_, Time_.now()));
  bool Contended = false;
  for (const ServingService &Service : Config_.current()->config().Services_) {
    if (!Config_.current()->ordersByClass(Service.Id_))
      continue;
    Contended = true;
    Context_.Reserve_.setCapacity(Service.Id_,
                                  tokenCapacity(Roster_, Service, Settings_.Process_.DataCenter_));
  }
  // The slow start of engines, which limits what a declining engine gets, applies only there.
  Roster_.setMaxDeclineBackoff(SlowStart_.enabled() && Contended ? SlowStartDeclineBackoff
                                                                 : MaxDeclineBackoff);
}

void GatewayProcess::takeSlowStartOptions(SlowStartOptions Options) {
  SlowStart_.setOptions(Options);
}

void GatewayProcess::updateSlowStart() {
  if (!SlowStart_.enabled() || !Config_.current())
    return;
  const TimePoint Now = Time_.now();
  for (const auto &[Id, Record] : Roster_.all())
    if (usesSlowStart(Record, *Config_.current()))
      SlowStart_.observe(conditionOf(Record, Time_.wallNow(), Now), Now);
  for (const SlowStartChange &Each : SlowStart_.takeChanges()) {
    if (Each.Began_) {
      Metrics_.count("slow_starts_total", Each.Cause_);
      Log_.log(LogEvent::SlowStartBegan, {{"endpoint", Each.Id_.str()},
                                          {"run", Each.Run_.value()},
                                          {"cause", Each.Cause_},
                                          {"window", Each.Window_}});
      continue;
    }
    Metrics_.observe("slow_start_seconds", Each.Cause_, Each.Took_);
    Log_.log(LogEvent::SlowStartEnded, {{"endpoint", Each.Id_.str()},
                                        {"run", Each.Run_.value()},
                                        {"outcome", Each.Cause_},
                                        {"took_ms", Each.Took_ / milliseconds(1)},
                                        {"sent", Each.Sent_},
                                        {"rejected", Each.Rejections_},
                                        {"withheld", Each.Withheld_}});
  }
}

void GatewayProcess::measureLoopDelay() {
  const TimePoint Due = Time_.now() + LoopDelayInterval;
  LoopDelayTimer_.after(LoopDelayInterval, [this, Due] {
    Metrics_.observe("loop_delay_seconds", "timer", Time_.now() - Due);
    measureLoopDelay();
  });
}

std::string GatewayProcess::notReadyReason() const {
  if (!Drain_.isReady())
    return "shutting down";
  if (!Config_.current())
    return "no configuration yet";
  if (!ListComplete_)
    return "no list of endpoints yet";
  return {};
}

void GatewayProcess::handle(HttpRequest Request, HttpResponderPtr Responder) {
  Prober_.noteOtherReception();
  if (Drain_.takesRequests())
    return RequestHandler_.handle(std::move(Request), std::move(Responder));
  const CallerRequest Caller = Protocol_.parseRequest(Request);
  if (!mayOutlastShutdown(Caller))
    return RequestHandler_.handle(std::move(Request), std::move(Responder));
  Metrics_.count("refusals_total", errorInfo(ErrorCode::ShuttingDown).Name_);
  Log_.log(LogEvent::RequestRefused, {{"id", Caller.Id_.str()},
                                      {"status", 503},
                                      {"error", static_cast<int>(ErrorCode::ShuttingDown)},
                                      {"reason", errorInfo(ErrorCode::ShuttingDown).Text_}});
  Responder->send(Protocol_.errorResponse(503, ErrorCode::ShuttingDown, ShutdownRetry));
}

bool GatewayProcess::mayOutlastShutdown(const CallerRequest &Caller) const {
  return !Caller.TimeBudget_ || Time_.now() + *Caller.TimeBudget_ >= ShutdownEnd_;
}

std::size_t GatewayProcess::inFlight() const {
  // An open connection may still deliver a request.
  return RequestHandler_.inFlight() + CallerServer_.stats().Open_;
}

void GatewayProcess::onShutdownSignal() {
  // A repeated signal doesn't end a shutdown early: it would cut the requests in flight.
  if (!Drain_.isReady())
    return;
  Log_.log(LogEvent::ShutdownStarted, {{"in_flight", RequestHandler_.inFlight()}});
  PlacementCoordinator_.stop();
  PeerHandler_.setAccepting(false);
  PeerServer_.announceClose();
  CallerServer_.announceClose();
  ShutdownEnd_ = Time_.now() + Settings_.ShutdownLimit_;
  Drain_.request(inFlight(), Time_.now());
  DrainTimer_.every(DrainInterval, [this] { drainTick(); });
  drainTick();
}

void GatewayProcess::drainTick() {
  Drain_.tick(inFlight(), Time_.now());
  if (Drain_.phase() == DrainPhase::Draining && std::exchange(Accepting_, false)) {
    CallerServer_.drain();
    PeerServer_.drain();
  }
  if (Drain_.phase() == DrainPhase::Finished)
    finish();
}

void GatewayProcess::finish() {
  const std::size_t Cut = RequestHandler_.inFlight();
  if (Cut > 0)
    Log_.log(LogEvent::ShutdownCut, {{"requests", Cut}});
  Log_.log(LogEvent::ShutdownFinished, {{"in_flight", Cut}});
  DrainTimer_.cancel();
  if (Cut == 0)
    return Loop_.stop();
  RequestHandler_.shutDown();
  DrainTimer_.after(LastAnswersTime, [this] { Loop_.stop(); });
}

void GatewayProcess::watchReload() {
  ReloadSignal_.async_wait([this](boost::system::error_code E, int) {
    if (E)
      return;
    reload();
    watchReload();
  });
}

void GatewayProcess::reload() {
  SettingsFaults Faults;
  const GatewaySettings Loaded = loadGatewaySettings(SettingsFile_, Faults);
  Metrics_.count("reloads_total", Faults.empty() ? "taken" : "invalid");
  if (!Faults.empty()) {
    Log_.log(LogEvent::SettingsFileInvalid, {{"faults", Faults.size()}});
    return;
  }
  // Addresses can't change while the process runs, so only these settings are taken over.
  Settings_.Retries_ = Loaded.Retries_;
  Settings_.ResponseLimits_ = Loaded.ResponseLimits_;
  Context_.ResponseLimits_ = Loaded.ResponseLimits_;
  Settings_.SlowStart_ = Loaded.SlowStart_;
  takeSlowStartOptions(Loaded.SlowStart_);
  Settings_.Detection_ = Loaded.Detection_;
  Prober_.setOptions(Loaded.Detection_);
  Retries_.setOptions(Loaded.Retries_, Time_.now());
  CountEstimator_.setOptions(GatewayCountOptions::forWindow(Loaded.Retries_.Window_));
  Log_.log(LogEvent::SettingsReloaded, {{"file", SettingsFile_}});
}

boost::json::object GatewayProcess::state() const {
  const HttpServerStats Server = CallerServer_.stats();
  const HttpClientStats Client = Client_.stats();
  boost::json::object State;
  State["role"] = "gateway";
  State["instance"] = Settings_.Process_.Instance_.str();
  State["data_center"] = Settings_.Process_.DataCenter_.str();
  State["not_ready"] = notReadyReason();
  State["process"] = processUsage();
  State["revision"] = Config_.current() ? Config_.current()->config().Revision_.value() : 0;
  State["owns_placement"] = PlacementCoordinator_.owns();
  State["in_flight"] = RequestHandler_.inFlight();
  boost::json::array Endpoints;
  const TimePoint Now = Time_.now();
  for (const auto &[Id, Record] : Roster_.all())
    Endpoints.push_back({{"id", Id.str()},
                         {"service", Record.Listing_.Service_.str()},
                         {"data_center", Record.Listing_.DataCenter_.str()},
                         {"state", static_cast<int>(Record.Listing_.State_)},
                         {"silent", Record.silent(Now)},
                         {"from", Record.layers().Begin_},
                         {"to", Record.layers().End_},
                         {"own_requests", Record.OwnRequests_}});
  State["endpoints"] = std::move(Endpoints);
  State["callers"] = {{"open", Server.Open_}, {"requests", Server.Requests_}};
  State["client"] = {{"sent", Client.Sent_},
                     {"failed", Client.Failed_},
                     {"connects", Client.Connects_},
                     {"idle", Client.Idle_}};
  State["metrics"] = Metrics_.state();
  return State;
}

std::string GatewayProcess::metricsText() const {
  static constexpr std::string_view Prefix = "rattancart_gateway_";
  const std::string Text = Metrics_.prometheusText(Prefix);
  GaugeText Gauges(Prefix);
  Gauges.add("in_flight", static_cast<double>(RequestHandler_.inFlight()));
  Gauges.add("ready", notReadyReason().empty() ? 1 : 0);
  Gauges.add("waiting", static_cast<double>(AdmissionQueue_.size()));
  for (const auto &[Key, Count] : AdmissionQueue_.sizeByClass())
    Gauges.add("waiting_by_class", static_cast<double>(Count),
               {{"service", Key.first.str()}, {"class", std::to_string(Key.second.value())}});
  Gauges.add("prompts_quarantined", static_cast<double>(Quarantine_.size()));
  Gauges.add("store_reachable", StoreReachable_ ? 1 : 0);
  Gauges.add("isolated", Reach_.isIsolatedFromAny() ? 1 : 0);
  Gauges.add("peers_available", static_cast<double>(Peers_.available(Time_.now())));
  Gauges.add("forwarded_in_flight", static_cast<double>(RequestHandler_.forwardedInFlight()));
  Gauges.add("owns_placement", PlacementCoordinator_.owns() ? 1 : 0);
  Gauges.add("resident_bytes", static_cast<double>(residentBytes()));
  const TimePoint Now = Time_.now();
  if (ListHeardAt_ != TimePoint{})
    Gauges.add("list_age_seconds", std::chrono::duration<double>(Now - ListHeardAt_).count());
  if (StoreRelay_.enabled()) {
    Gauges.add("list_knowledge_age_seconds",
               std::chrono::duration<double>(Now - StoreRelay_.listKnownAt()).count());
    Gauges.add("store_reader", StoreRelay_.role() == StoreRole::Reader ? 1 : 0);
  }
  addEndpointGauges(Gauges, Roster_, Now);
  addSlowStartGauges(Gauges, SlowStart_);
  addServingGauges(Gauges, Config_, Roster_, Paths_, Retries_, Now);
  addReserveGauges(Gauges, Config_, Context_.Reserve_, Now);
  return Text + Gauges.text();
}

} // namespace rattancart
