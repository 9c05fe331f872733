#include "Gateway/PlacementCoordinator.h"

#include <utility>
#include <vector>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// An owner that does not renew its membership for this long loses the duty; the store's minimum is
/// 1 s. Long enough for one lost response and its retry.
constexpr Duration TimeToLive = milliseconds(3000);
constexpr Duration JoinInterval = milliseconds(1000);
constexpr Duration JoinRetryInterval = milliseconds(400);
/// Time between two rounds of polls, and between two polls of an engine whose memory is mostly
/// free. Each report is charged for. A busy engine can fill up within a few hundred milliseconds,
/// and gateways that choose by an older report fill it together.
constexpr Duration PollInterval = milliseconds(200);
constexpr Duration IdlePollInterval = milliseconds(600);
/// Time between two probes of an engine that is silent but not lost yet; a probe takes up to 50 ms.
constexpr Duration DoubtInterval = milliseconds(100);
/// An engine with more of its memory in use than this share is busy.
constexpr double BusyMemoryShare = 0.3;
/// Time limits of an order, which an engine answers within a few ms.
constexpr Duration OrderTimeout = milliseconds(600);
constexpr Duration OrderConnectTimeout = milliseconds(300);

/// If no join has succeeded for this long, two attempts have failed.
constexpr Duration StoreLostTimeout = milliseconds(2200);
/// An owner that publishes nothing for this long while the store is unreachable counts as lost. The
/// first of its stand-ins then takes over under the group's last fencing number; if that one is
/// lost too, the next follows after StandInInterval. If two take over at once, engines accept only
/// one of two conflicting orders, since each order states the expected number of earlier orders. An
/// owner that the store names later has a higher fencing number than both.
constexpr Duration OwnerLostTimeout = milliseconds(2000);
constexpr Duration StandInInterval = milliseconds(700);

const char *outcomeName(OrderOutcome Outcome) {
  switch (Outcome) {
  case OrderOutcome::Accepted:
    return "accepted";
  case OrderOutcome::Conflict:
    return "conflict";
  case OrderOutcome::Fenced:
    return "fenced";
  case OrderOutcome::NotRun:
    return "not_run";
  case OrderOutcome::WrongEndpoint:
    return "wrong_endpoint";
  case OrderOutcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace

PlacementCoordinator::PlacementCoordinator(Dependencies Use, DataCenterId Home,
                                           std::size_t DataCenters)
    : Use_(Use), Home_(std::move(Home)), DataCenters_(DataCenters), JoinTimer_(Use.Loop_),
      PollTimer_(Use.Loop_), DoubtTimer_(Use.Loop_) {}

void PlacementCoordinator::start() {
  Use_.StateBroadcast_.onOutranked([this](FencingNumber Higher) {
    RefusedFence_ = Controller_.fence().value_or(RefusedFence_);
    Use_.Log_.log(LogEvent::DutyOutranked, {{"data_center", Home_.str()},
                                            {"fence", RefusedFence_.value()},
                                            {"higher", Higher.value()}});
    setOwner(std::nullopt, "outranked");
  });
  join();
  poll();
}

void PlacementCoordinator::stop() {
  if (Stopped_ || (owns() && storeLost()))
    return;
  Stopped_ = true;
  JoinTimer_.cancel();
  setOwner(std::nullopt, "shutdown");
  Use_.Store_.leave(EngineStateBroadcast::groupName(Home_), Use_.StateBroadcast_.member());
}

void PlacementCoordinator::setIsolated(bool Isolated) {
  if (Stopped_ || Isolated == Isolated_)
    return;
  Isolated_ = Isolated;
  // The store was not asked meanwhile, so nothing is known of it.
  JoinedAt_ = {};
  if (!Isolated)
    return join();
  JoinTimer_.cancel();
  setOwner(std::nullopt, "isolated");
  Use_.Store_.leave(EngineStateBroadcast::groupName(Home_), Use_.StateBroadcast_.member());
}

void PlacementCoordinator::join() {
  Use_.Store_.join(EngineStateBroadcast::groupName(Home_), Use_.StateBroadcast_.member(),
                   TimeToLive, Generation_,
                   [this](const std::optional<Membership> &Joined, std::error_code Failure) {
                     onJoined(Joined, Failure);
                   });
}

void PlacementCoordinator::onJoined(const std::optional<Membership> &Joined,
                                    std::error_code Failure) {
  if (Stopped_ || Isolated_)
    return;
  if (!Joined) {
    // The duty is kept: once there is another owner, engines refuse this one's orders.
    Use_.Metrics_.count("joins_total", "failed");
    if (Failure)
      JoinTimer_.after(JoinRetryInterval, [this] { join(); });
    return;
  }
  Use_.Metrics_.count("joins_total", "ok");
  JoinedAt_ = Use_.Time_.now();
  const bool Changed = Joined->Generation_ != Generation_;
  Generation_ = Joined->Generation_;
  const bool Owns = Joined->OwnsDuty_ && Generation_ > RefusedFence_;
  setOwner(Owns ? std::optional(Generation_) : std::nullopt, "group");
  // The store reassigns a partition only after its last holder has joined with the new generation,
  // so after a change this gateway joins again soon.
  JoinTimer_.after(Changed ? JoinRetryInterval : JoinInterval, [this] { join(); });
}

bool PlacementCoordinator::storeLost() const {
  return JoinedAt_ != TimePoint{} && Use_.Time_.now() - JoinedAt_ > StoreLostTimeout;
}

void PlacementCoordinator::tryStandIn() {
  const auto Silence = Use_.StateBroadcast_.ownerSilence();
  const auto Rank = Use_.StateBroadcast_.standInRank();
  if (owns() || Isolated_ || !storeLost() || !Silence || !Rank || Generation_ <= RefusedFence_)
    return;
  if (*Silence > OwnerLostTimeout + static_cast<std::int64_t>(*Rank) * StandInInterval)
    setOwner(Generation_, "stand-in");
}

void PlacementCoordinator::setOwner(std::optional<FencingNumber> Fence, const char *Reason) {
  const auto Before = Controller_.fence();
  Controller_.setOwner(Fence);
  Use_.StateBroadcast_.setOwner(Fence);
  if (Before.has_value() == Fence.has_value())
    return;
  Recoveries_.clear();
  Use_.Log_.log(Fence ? LogEvent::DutyGained : LogEvent::DutyLost,
                {{"data_center", Home_.str()},
                 {"fence", Fence ? Fence->value() : Before->value()},
                 {"reason", Reason}});
}

bool PlacementCoordinator::isPollDue(const EndpointRecord &Record) const {
  const TimePoint Now = Use_.Time_.now();
  const bool Busy =
      Record.usedTokenLayers(Now) > BusyMemoryShare * Record.Report_.TotalTokenLayers_;
  // Half an interval less, since a poll takes some time.
  // While an engine is doubtful, the other engines' reports show whether this gateway receives any.
  return Busy || Controller_.hasPendingOrders() || !Controller_.doubtfulEngines().empty() ||
         Now - Record.ReportedAt_ > IdlePollInterval - PollInterval / 2;
}

void PlacementCoordinator::poll() {
  if (Stopped_)
    return;
  tryStandIn();
  const ServingIndexPtr &Config = Use_.Config_.current();
  std::vector<EndpointId> Engines;
  if (owns() && Config)
    for (const auto &[Id, Record] : Use_.Roster_.all()) {
      const ServingService *Service = Config->service(Record.Listing_.Service_);
      if (Record.Listing_.DataCenter_ == Home_ && Service && Service->Model_ &&
          Record.Listing_.State_ == EndpointState::Live && isPollDue(Record))
        Engines.push_back(Id);
    }
  PollsOpen_ = Engines.size() + 1;
  for (const EndpointId &Engine : Engines)
    Use_.Prober_.poll(Engine, [this] { onPolled(); });
  onPolled();
}

void PlacementCoordinator::onPolled() {
  if (--PollsOpen_ > 0)
    return;
  updatePlacement();
  if (owns())
    Use_.StateBroadcast_.publish();
  PollTimer_.after(PollInterval, [this] { poll(); });
}

void PlacementCoordinator::onEngineSilent(const EndpointId &Engine) {
  const EndpointRecord *Record = Use_.Roster_.find(Engine);
  if (Record && Record->Listing_.DataCenter_ == Home_)
    updatePlacement();
}

void PlacementCoordinator::updatePlacement() {
  const ServingIndexPtr &Config = Use_.Config_.current();
  if (!owns() || !Config)
    return;
  const TimePoint Now = Use_.Time_.now();
  for (const ServingService &Service : Config->config().Services_) {
    if (!Service.Model_)
      continue;
    trackRecovery(*Service.Model_, Service.Id_);
    auto HoldingModel = Use_.Paths_.dataCentersHoldingModel(*Service.Model_, Service.Id_, Now);
    std::erase(HoldingModel, Home_);
    const PlacementScope Scope{Home_, DataCenters_, HoldingModel.size()};
    for (const PlacementOrder &Order :
         Controller_.tick(*Service.Model_, Service.Id_, Scope, Use_.Roster_, Now))
      send(Order);
    reportLosses(Service.Id_);
    reportTurn(Service.Id_);
  }
  if (Controller_.needsOtherStates())
    Use_.StateBroadcast_.noteRemoteUse();
  probeDoubtfulEngines();
}

void PlacementCoordinator::reportTurn(const ServiceId &Service) {
  const ReassignmentTurn *Turn = Controller_.turn(Service);
  if (!Turn || !Turn->change())
    return;
  const TurnChange &Change = *Turn->change();
  if (!Change.Waits_)
    Use_.Metrics_.observe("reassignment_wait_seconds", Home_.str(), Change.Waited_);
  Use_.Log_.log(Change.Waits_ ? LogEvent::ReassignmentWaits : LogEvent::ReassignmentWaitEnded,
                {{"data_center", Home_.str()},
                 {"service", Service.str()},
                 {"others", Change.Others_},
                 {"waited_ms", Change.Waited_ / milliseconds(1)}});
}

void PlacementCoordinator::probeDoubtfulEngines() {
  if (Controller_.doubtfulEngines().empty() || std::exchange(DoubtTimerRuns_, true))
    return;
  DoubtTimer_.after(DoubtInterval, [this] {
    DoubtTimerRuns_ = false;
    for (const EndpointId &Engine : Controller_.doubtfulEngines())
      Use_.Prober_.probeAgain(Engine);
    updatePlacement();
  });
}

void PlacementCoordinator::reportLosses(const ServiceId &Service) {
  const LossConfirmation *Losses = Controller_.losses(Service);
  if (!Losses)
    return;
  if (const auto &Change = Losses->planningChange()) {
    if (Change->Suspended_)
      Use_.Metrics_.count("planning_suspensions_total", Home_.str());
    else
      Use_.Metrics_.observe("planning_suspended_seconds", Home_.str(), Change->Lasted_);
    Use_.Log_.log(Change->Suspended_ ? LogEvent::PlanningSuspended : LogEvent::PlanningResumed,
                  {{"data_center", Home_.str()},
                   {"service", Service.str()},
                   {"silent", Change->Silent_},
                   {"engines", Change->Engines_},
                   {"lasted_ms", Change->Lasted_ / milliseconds(1)}});
  }
  for (const DoubtOutcome &Each : Losses->endedDoubts()) {
    Use_.Metrics_.count("engine_doubts_total", Each.Lost_ ? "lost" : "answers");
    Use_.Log_.log(LogEvent::DoubtEnded, {{"engine", Each.Engine_.str()},
                                         {"outcome", Each.Lost_ ? "lost" : "answers"},
                                         {"silent_ms", Each.Silent_ / milliseconds(1)}});
  }
}

void PlacementCoordinator::trackRecovery(const LayeredModel &Model, const ServiceId &Service) {
  const auto Millis = [](Duration Time) { return Time / milliseconds(1); };
  const std::string &DataCenter = Home_.str();
  for (const RecoveryEvent &Each :
       Recoveries_[Service].update(Model, Service, Home_, Use_.Roster_, Use_.Time_.now())) {
    switch (Each.Kind_) {
    case RecoveryEvent::Kind::Lost:
      Use_.Metrics_.count("placement_losses_total", DataCenter);
      Use_.Log_.log(LogEvent::LayersLost, {{"data_center", DataCenter},
                                           {"service", Service.str()},
                                           {"engines", Each.Engines_},
                                           {"whole", static_cast<int>(Each.Tokens_ > 0)},
                                           {"tokens_before", Each.TokensBefore_},
                                           {"tokens", Each.Tokens_}});
      break;
    case RecoveryEvent::Kind::Whole:
      Use_.Log_.log(LogEvent::ModelWholeAgain, {{"data_center", DataCenter},
                                                {"service", Service.str()},
                                                {"engines", Each.Engines_},
                                                {"after_ms", Millis(Each.Since_)},
                                                {"tokens_before", Each.TokensBefore_},
                                                {"tokens", Each.Tokens_}});
      break;
    case RecoveryEvent::Kind::Restored:
    case RecoveryEvent::Kind::GivenUp:
      const bool Restored = Each.Kind_ == RecoveryEvent::Kind::Restored;
      if (Each.WholeAfter_)
        Use_.Metrics_.observe("whole_model_seconds", DataCenter, *Each.WholeAfter_);
      if (Restored)
        Use_.Metrics_.observe("token_capacity_seconds", DataCenter, Each.Since_);
      else
        Use_.Metrics_.count("recoveries_given_up_total", DataCenter);
      Use_.Log_.log(LogEvent::RecoveryEnded,
                    {{"data_center", DataCenter},
                     {"service", Service.str()},
                     {"engines", Each.Engines_},
                     {"restored", static_cast<int>(Restored)},
                     {"whole_ms", Each.WholeAfter_ ? Millis(*Each.WholeAfter_) : -1},
                     {"after_ms", Millis(Each.Since_)},
                     {"tokens_before", Each.TokensBefore_},
                     {"tokens", Each.Tokens_}});
      break;
    }
  }
}

void PlacementCoordinator::send(const PlacementOrder &Order) {
  Use_.Log_.log(LogEvent::LayersOrdered, {{"engine", Order.Engine_.str()},
                                          {"from", Order.Layers_.Begin_},
                                          {"to", Order.Layers_.End_},
                                          {"fence", Order.Fence_.value()},
                                          {"expected_orders", Order.ExpectedOrders_},
                                          {"fills_gap", static_cast<int>(Order.FillsGap_)},
                                          {"from_scratch", static_cast<int>(Order.FromScratch_)},
                                          {"cuts", static_cast<int>(Order.CutsStreams_)}});
  const EndpointRecord *Record = Use_.Roster_.find(Order.Engine_);
  const Incarnation ListedRun = Record ? Record->Listing_.Run_ : Incarnation(0);
  HttpSendOptions Options;
  Options.Use_ = ConnectionUse::Fresh;
  Options.ConnectTimeout_ = OrderConnectTimeout;
  Options.ResponseTimeout_ = OrderTimeout;
  Use_.Client_.send(Order.Address_, Use_.Protocol_.orderRequest(Order), Options,
                    [this, Order, ListedRun](const HttpResult &Result) {
                      OrderOutcome Outcome = OrderOutcome::Unknown;
                      if (!Result.Error_)
                        Outcome = Use_.Protocol_.parseOrderResponse(Result.Response_);
                      else if (!Result.BytesHandedOver_)
                        Outcome = OrderOutcome::NotRun;
                      Use_.Metrics_.count("orders_total", outcomeName(Outcome));
                      Use_.Log_.log(LogEvent::OrderEnded, {{"engine", Order.Engine_.str()},
                                                           {"outcome", outcomeName(Outcome)},
                                                           {"status", Result.Response_.Status_},
                                                           {"body", Result.Response_.Body_}});
                      Controller_.onOrderEnded(Order, Outcome, Use_.Time_.now());
                      if (Outcome == OrderOutcome::WrongEndpoint)
                        onAddressTaken(Order, ListedRun);
                      if (Outcome != OrderOutcome::Fenced)
                        return;
                      RefusedFence_ = Order.Fence_;
                      setOwner(std::nullopt, "fenced");
                    });
}

void PlacementCoordinator::onAddressTaken(const PlacementOrder &Order, Incarnation ListedRun) {
  if (!Use_.Roster_.noteAddressTaken(Order.Engine_, Order.Address_, ListedRun, Use_.Time_.now()))
    return;
  Use_.Metrics_.count("addresses_taken_total", Home_.str());
  Use_.Log_.log(
      LogEvent::AddressTaken,
      {{"endpoint", Order.Engine_.str()}, {"address", Order.Address_.str()}, {"message", "order"}});
  // Its layers are missing now.
  updatePlacement();
}

} // namespace rattancart
