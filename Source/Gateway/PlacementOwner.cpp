#include "Gateway/PlacementOwner.h"

#include <utility>
#include <vector>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// An owner that is silent this long loses the duty; the store allows no less than 1 s. Long enough
/// for one lost answer and its repeat.
constexpr Duration TimeToLive = milliseconds(3000);
constexpr Duration JoinInterval = milliseconds(1000);
constexpr Duration JoinRetry = milliseconds(400);
/// Between two rounds of reports. Each report is priced; requests count what they send themselves.
constexpr Duration PollInterval = milliseconds(600);
/// While an order is under way, its end opens or closes a path.
constexpr Duration UnsettledPollInterval = milliseconds(200);
/// An engine answers an order within a few ms.
constexpr Duration OrderTime = milliseconds(600);
constexpr Duration OrderConnectTime = milliseconds(300);

/// Without an answer to a join for this long, two tries have failed.
constexpr Duration StoreLostTime = milliseconds(2200);
/// An owner that publishes nothing for this long while the store is away is gone. The first of the
/// data centre's gateways then stands in under the group's last fencing number, the others one
/// after the other if that one is gone too. Should two stand in at once, the count of orders in
/// each order lets only one of two orders through; a new owner has a higher number than both.
constexpr Duration OwnerLostTime = milliseconds(2000);
constexpr Duration StandInStep = milliseconds(700);

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
  case OrderOutcome::Unknown:
    break;
  }
  return "unknown";
}

} // namespace

PlacementOwner::PlacementOwner(Parts Use, DataCenterId Home, std::size_t DataCenters)
    : Use_(Use), Home_(std::move(Home)), DataCenters_(DataCenters), JoinTimer_(Use.Loop_),
      PollTimer_(Use.Loop_) {}

void PlacementOwner::start() {
  Use_.Bulletin_.onOutranked([this](FencingNumber Higher) {
    RefusedFence_ = Controller_.fence().value_or(RefusedFence_);
    Use_.Log_.log(LogEvent::DutyOutranked, {{"data_center", Home_.str()},
                                            {"fence", RefusedFence_.value()},
                                            {"higher", Higher.value()}});
    setOwner(std::nullopt, "outranked");
  });
  join();
  poll();
}

void PlacementOwner::stop() {
  if (Stopped_ || (owns() && storeLost()))
    return;
  Stopped_ = true;
  JoinTimer_.cancel();
  setOwner(std::nullopt, "shutdown");
  Use_.Store_.leave(EngineBulletin::group(Home_), Use_.Bulletin_.member());
}

void PlacementOwner::join() {
  Use_.Store_.join(EngineBulletin::group(Home_), Use_.Bulletin_.member(), TimeToLive, Generation_,
                   [this](const std::optional<Membership> &Place, std::error_code Failure) {
                     onJoined(Place, Failure);
                   });
}

void PlacementOwner::onJoined(const std::optional<Membership> &Place, std::error_code Failure) {
  if (Stopped_)
    return;
  if (!Place) {
    // The duty stays: engines refuse this owner's orders once there is another one.
    Use_.Metrics_.count("joins_total", "failed");
    if (Failure)
      JoinTimer_.after(JoinRetry, [this] { join(); });
    return;
  }
  Use_.Metrics_.count("joins_total", "ok");
  JoinedAt_ = Use_.Time_.now();
  const bool Changed = Place->Generation_ != Generation_;
  Generation_ = Place->Generation_;
  const bool Owns = Place->OwnsDuty_ && Generation_ > RefusedFence_;
  setOwner(Owns ? std::optional(Generation_) : std::nullopt, "group");
  // A partition that moved is dealt out once its last holder has joined with the new generation.
  JoinTimer_.after(Changed ? JoinRetry : JoinInterval, [this] { join(); });
}

bool PlacementOwner::storeLost() const {
  return JoinedAt_ != TimePoint{} && Use_.Time_.now() - JoinedAt_ > StoreLostTime;
}

void PlacementOwner::standIn() {
  const auto Silence = Use_.Bulletin_.ownerSilence();
  const auto Rank = Use_.Bulletin_.rank();
  if (owns() || !storeLost() || !Silence || !Rank || Generation_ <= RefusedFence_)
    return;
  if (*Silence > OwnerLostTime + static_cast<std::int64_t>(*Rank) * StandInStep)
    setOwner(Generation_, "stand-in");
}

void PlacementOwner::setOwner(std::optional<FencingNumber> Fence, const char *Reason) {
  const auto Before = Controller_.fence();
  Controller_.setOwner(Fence);
  Use_.Bulletin_.setOwner(Fence);
  if (Before.has_value() == Fence.has_value())
    return;
  Use_.Log_.log(Fence ? LogEvent::DutyGained : LogEvent::DutyLost,
                {{"data_center", Home_.str()},
                 {"fence", Fence ? Fence->value() : Before->value()},
                 {"reason", Reason}});
}

void PlacementOwner::poll() {
  if (Stopped_)
    return;
  standIn();
  const ServingIndexPtr &Config = Use_.Config_.current();
  std::vector<EndpointId> Engines;
  if (owns() && Config)
    for (const auto &[Id, Record] : Use_.Roster_.all()) {
      const ServingService *Service = Config->service(Record.Listing_.Service_);
      if (Record.Listing_.DataCenter_ == Home_ && Service && Service->Model_ &&
          Record.Listing_.State_ == EndpointState::Live)
        Engines.push_back(Id);
    }
  PollsOpen_ = Engines.size() + 1;
  for (const EndpointId &Engine : Engines)
    Use_.Health_.poll(Engine, [this] { onPolled(); });
  onPolled();
}

void PlacementOwner::onPolled() {
  if (--PollsOpen_ > 0)
    return;
  place();
  if (owns())
    Use_.Bulletin_.publish();
  PollTimer_.after(Controller_.unsettled() ? UnsettledPollInterval : PollInterval,
                   [this] { poll(); });
}

void PlacementOwner::onEngineSilent(const EndpointId &Engine) {
  const EndpointRecord *Record = Use_.Roster_.find(Engine);
  if (Record && Record->Listing_.DataCenter_ == Home_)
    place();
}

void PlacementOwner::place() {
  const ServingIndexPtr &Config = Use_.Config_.current();
  if (!owns() || !Config)
    return;
  const TimePoint Now = Use_.Time_.now();
  for (const ServingService &Service : Config->config().Services_) {
    if (!Service.Model_)
      continue;
    auto Whole = Use_.Paths_.whole(*Service.Model_, Service.Id_, Now);
    std::erase(Whole, Home_);
    const PlacementScope Scope{Home_, DataCenters_, Whole.size()};
    for (const PlacementOrder &Order :
         Controller_.tick(*Service.Model_, Service.Id_, Scope, Use_.Roster_, Now))
      send(Order);
  }
}

void PlacementOwner::send(const PlacementOrder &Order) {
  Use_.Log_.log(LogEvent::LayersOrdered, {{"engine", Order.Engine_.str()},
                                          {"from", Order.Layers_.Begin_},
                                          {"to", Order.Layers_.End_},
                                          {"fence", Order.Fence_.value()},
                                          {"expected_orders", Order.ExpectedOrders_},
                                          {"fills_gap", static_cast<int>(Order.FillsGap_)},
                                          {"cuts", static_cast<int>(Order.CutsStreams_)}});
  HttpSendOptions Options;
  Options.Use_ = ConnectionUse::Fresh;
  Options.ConnectTimeout_ = OrderConnectTime;
  Options.ResponseTimeout_ = OrderTime;
  Use_.Client_.send(Order.Address_, Use_.Dialect_.orderRequest(Order), Options,
                    [this, Order](const HttpResult &Result) {
                      OrderOutcome Outcome = OrderOutcome::Unknown;
                      if (!Result.Error_)
                        Outcome = Use_.Dialect_.parseOrderResponse(Result.Response_);
                      else if (!Result.BytesHandedOver_)
                        Outcome = OrderOutcome::NotRun;
                      Use_.Metrics_.count("orders_total", outcomeName(Outcome));
                      Use_.Log_.log(LogEvent::OrderEnded, {{"engine", Order.Engine_.str()},
                                                           {"outcome", outcomeName(Outcome)},
                                                           {"status", Result.Response_.Status_},
                                                           {"body", Result.Response_.Body_}});
                      Controller_.ended(Order, Outcome, Use_.Time_.now());
                      if (Outcome != OrderOutcome::Fenced)
                        return;
                      RefusedFence_ = Order.Fence_;
                      setOwner(std::nullopt, "fenced");
                    });
}

} // namespace rattancart
