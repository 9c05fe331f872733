#include "Gateway/EngineStateBroadcast.h"

#include "Core/Common/ErrorCode.h"
#include "Net/Address.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

constexpr Duration SubscribeInterval = milliseconds(1000);
/// A subscription that is not renewed for this long ends; it survives three lost datagrams.
constexpr Duration SubscriptionLifetime = milliseconds(3500);
/// If no states arrive for this long, the owner at home is looked up again.
constexpr Duration HomeSilenceLimit = milliseconds(2500);
/// Gateways of other data centres need the states of these engines only while they send requests
/// here; for the first such requests, the endpoint list is enough. The number of datagrams would
/// otherwise grow with engines times gateways.
constexpr Duration RemoteSendInterval = milliseconds(3000);
constexpr Duration RemoteSilenceLimit = milliseconds(8000);
/// After a request was sent to another data centre, more are likely within this time.
constexpr Duration RemoteUseTime = milliseconds(5000);
/// Maximum number of gateways that are named as stand-ins of the owner.
constexpr std::size_t MaxStandIns = 8;
/// Minimum time between two lookups of one owner; each lookup is a store call that is charged for.
constexpr Duration LookupInterval = milliseconds(2000);
/// Maximum number of engines in one datagram, so that it fits into one packet.
constexpr std::size_t EnginesPerDatagram = 10;
constexpr std::size_t LimitsPerDatagram = 15;
/// A silent engine gets no work for this long after the owner has reported it.
constexpr Duration SilentHold = milliseconds(1500);

std::string addressText(const boost::asio::ip::udp::endpoint &Endpoint) {
  return fmt::format("{}:{}", Endpoint.address().to_string(), Endpoint.port());
}

std::unique_ptr<wire::EngineStateT> toWire(const EndpointId &Id, const EndpointRecord &Record,
                                           TimePoint Now) {
  auto State = std::make_unique<wire::EngineStateT>();
  State->id = Id.str();
  State->run = Record.Listing_.Run_.value();
  State->first_layer = Record.Report_.Layers_.Begin_;
  State->end_layer = Record.Report_.Layers_.End_;
  State->busy = Record.Report_.Busy_;
  State->orders = Record.Report_.Orders_;
  State->waiting = Record.Report_.Waiting_;
  State->running = Record.Report_.Running_;
  State->used = Record.Report_.UsedTokenLayers_;
  State->total = Record.Report_.TotalTokenLayers_;
  State->slowdown = Record.Report_.Slowdown_;
  State->silent = Record.silent(Now);
  State->reported = Record.reported();
  if (Record.reported())
    State->age_ms = static_cast<std::uint32_t>((Now - Record.ReportedAt_) / milliseconds(1));
  return State;
}

using WireSuspects = std::vector<std::unique_ptr<wire::PromptSuspectT>>;

WireSuspects toWire(const std::vector<PromptSuspect> &Suspects, TimePoint Now) {
  WireSuspects Encoded;
  for (const PromptSuspect &Suspect : Suspects) {
    auto Entry = std::make_unique<wire::PromptSuspectT>();
    Entry->part = Suspect.Part_.str();
    Entry->served = Suspect.Served_;
    for (const EngineCrash &Each : Suspect.Crashes_) {
      auto Crash = std::make_unique<wire::EngineCrashT>();
      Crash->engine = Each.Engine_.str();
      Crash->run = Each.Run_.value();
      Crash->age_ms = static_cast<std::uint32_t>((Now - Each.At_) / milliseconds(1));
      Crash->cleared = Each.Cleared_;
      Entry->crashes.push_back(std::move(Crash));
    }
    Encoded.push_back(std::move(Entry));
  }
  return Encoded;
}

std::vector<PromptSuspect> fromWire(const WireSuspects &Encoded, TimePoint Now) {
  std::vector<PromptSuspect> Suspects;
  for (const auto &Entry : Encoded) {
    if (!Entry)
      continue;
    PromptSuspect Suspect{PromptPartId(Entry->part), Entry->served, {}};
    for (const auto &Crash : Entry->crashes)
      if (Crash)
        Suspect.Crashes_.push_back({EndpointId(Crash->engine), Incarnation(Crash->run),
                                    Now - milliseconds(Crash->age_ms), Crash->cleared});
    Suspects.push_back(std::move(Suspect));
  }
  return Suspects;
}

std::unique_ptr<wire::EndpointLimitT> toWire(const LimitState &State, TimePoint Now) {
  const EndpointLimit &Limit = State.Limit_;
  auto Encoded = std::make_unique<wire::EndpointLimitT>();
  Encoded->endpoint = Limit.Endpoint_.str();
  Encoded->run = Limit.Run_.value();
  Encoded->limited = Limit.Rate_.has_value();
  Encoded->per_second = Limit.Rate_.value_or(RequestRate{}).PerSecond_;
  Encoded->age_ms = static_cast<std::uint32_t>((Now - Limit.KnownAt_) / milliseconds(1));
  Encoded->wanted = State.Wanted_.PerSecond_;
  Encoded->sent = State.Sent_;
  Encoded->gateways = State.Gateways_;
  return Encoded;
}

EndpointLimit limitFromWire(const wire::EndpointLimitT &Encoded, TimePoint Now) {
  EndpointLimit Limit{EndpointId(Encoded.endpoint), Incarnation(Encoded.run), std::nullopt,
                      Now - milliseconds(Encoded.age_ms)};
  if (Encoded.limited)
    Limit.Rate_ = RequestRate{Encoded.per_second};
  return Limit;
}

} // namespace

EngineStateBroadcast::EngineStateBroadcast(boost::asio::io_context &Loop, const Clock &Time,
                                           Logger &Log, MetricSet &Metrics, MetadataStore &Store,
                                           EndpointRoster &Roster,
                                           GatewayCountEstimator &CountEstimator,
                                           PromptQuarantine &Quarantine, EndpointLimiter &Limiter,
                                           DataCenterId Home, std::vector<DataCenterId> DataCenters)
    : Time_(Time), Log_(Log), Metrics_(Metrics), Store_(Store), Roster_(Roster),
      CountEstimator_(CountEstimator), Quarantine_(Quarantine), Limiter_(Limiter),
      Home_(std::move(Home)), Socket_(Loop), Timer_(Loop) {
  for (DataCenterId &DataCenter : DataCenters)
    Subscriptions_.emplace(std::move(DataCenter), OwnerSubscription{});
}

std::string EngineStateBroadcast::groupName(const DataCenterId &DataCenter) {
  return "rattancart-" + DataCenter.str();
}

std::error_code EngineStateBroadcast::listen(const NetAddress &Address) {
  const auto Target = parseAddress(Address);
  if (!Target)
    return Target.error().Code_;
  const Udp::endpoint Local(Target->address(), Target->port());
  boost::system::error_code E;
  Socket_.open(Local.protocol(), E);
  Socket_.set_option(Udp::socket::reuse_address(true), E);
  if (Socket_.bind(Local, E))
    return ErrorCode::BindFailed;
  const Udp::endpoint Bound = Socket_.local_endpoint(E);
  Member_ = fmt::format("{}:{}", Bound.address().to_string(), Bound.port());
  Socket_.non_blocking(true, E);
  receive();
  Timer_.every(SubscribeInterval, [this] { subscribe(); });
  return {};
}

void EngineStateBroadcast::receive() {
  Socket_.async_receive_from(boost::asio::buffer(Buffer_), Sender_,
                             [this](boost::system::error_code E, std::size_t Size) {
                               if (E == boost::asio::error::operation_aborted)
                                 return;
                               if (!E)
                                 onDatagram(Size);
                               receive();
                             });
}

void EngineStateBroadcast::onDatagram(std::size_t Size) {
  flatbuffers::Verifier Verifier(Buffer_.data(), Size);
  if (!wire::VerifyGatewayDatagramBuffer(Verifier)) {
    Log_.log(LogEvent::FrameRejected, {{"bytes", Size}, {"reason", "datagram"}});
    return;
  }
  wire::GatewayDatagramT Content;
  wire::GetGatewayDatagram(Buffer_.data())->UnPackTo(&Content);
  if (auto *States = Content.payload.AsEngineStates()) {
    relay(*States);
    return onStates(*States);
  }
  if (const auto *Message = Content.payload.AsEngineSilent())
    return onEngineSilent(*Message);
  if (const auto *Report = Content.payload.AsPromptReport())
    return Quarantine_.merge(fromWire(Report->suspects, Time_.now()), Time_.now());
  if (const auto *Request = Content.payload.AsEngineSubscribe())
    onSubscribe(*Request);
}

void EngineStateBroadcast::onSubscribe(const wire::EngineSubscribeT &Request) {
  if (Request.data_center != Home_.str())
    return;
  const TimePoint Now = Time_.now();
  Subscriber &Known = Subscribers_[Sender_];
  Known.ExpiresAt_ = Now + SubscriptionLifetime;
  Known.Home_ = DataCenterId(Request.home);
  Known.InUse_ = Request.in_use;
  const std::string Gateway = addressText(Sender_);
  for (const auto &Each : Request.limits)
    if (Each)
      Limiter_.onDemand(Gateway, {limitFromWire(*Each, Now), {Each->wanted}, Each->sent}, Now);
}

void EngineStateBroadcast::onStates(const wire::EngineStatesT &States) {
  Quarantine_.merge(fromWire(States.suspects, Time_.now()), Time_.now());
  const auto Subscription = Subscriptions_.find(DataCenterId(States.data_center));
  if (Subscription == Subscriptions_.end())
    return;
  if (Fence_ && Subscription->first == Home_) {
    const FencingNumber Other(States.fence);
    if (Other > *Fence_ && OutrankedHandler_)
      OutrankedHandler_(Other);
    return;
  }
  const TimePoint Now = Time_.now();
  for (const auto &Each : States.limits)
    if (Each)
      Limiter_.onState({limitFromWire(*Each, Now), {Each->wanted}, Each->sent, Each->gateways},
                       Now);
  Subscription->second.HeardAt_ = Now;
  Subscription->second.SilenceLogged_ = false;
  CountEstimator_.onCountReported(Subscription->first, States.gateways, Now);
  if (!States.members.empty())
    Subscription->second.Members_ = States.members;
  for (const auto &State : States.engines) {
    if (!State)
      continue;
    const EndpointId Id(State->id);
    if (State->silent)
      Roster_.markSilent(Id, Now, Now + SilentHold);
    if (!State->reported)
      continue;
    EngineReport Report;
    Report.Run_ = Incarnation(State->run);
    Report.Layers_ = {State->first_layer, State->end_layer};
    Report.Busy_ = State->busy;
    Report.Orders_ = State->orders;
    Report.Waiting_ = State->waiting;
    Report.Running_ = State->running;
    Report.UsedTokenLayers_ = State->used;
    Report.TotalTokenLayers_ = State->total;
    Report.Slowdown_ = State->slowdown;
    Roster_.updateReport(Id, Report, Now - milliseconds(State->age_ms));
  }
}

void EngineStateBroadcast::publish() {
  const TimePoint Now = Time_.now();
  std::erase_if(Subscribers_, [&](const auto &Entry) { return Entry.second.ExpiresAt_ < Now; });
  if (!Fence_)
    return;
  CountEstimator_.onCountReported(Home_, countHomeGateways(), Now);
  std::vector<wire::EngineStatesT> Limits = limitDatagrams();
  std::map<DataCenterId, std::vector<std::string>> Receivers;
  for (auto &[To, Each] : Subscribers_) {
    if (Each.Home_ != Home_ && !Each.InUse_ && Now < Each.NextSendAt_)
      continue;
    Each.NextSendAt_ = Now + RemoteSendInterval;
    Receivers[Each.Home_].push_back(addressText(To));
  }
  if (Receivers.empty())
    return;
  std::vector<wire::EngineStatesT> Datagrams = stateDatagrams();
  std::move(Limits.begin(), Limits.end(), std::back_inserter(Datagrams));
  describeSender(Datagrams);
  for (const RelayGroup &Group : planRelays(Receivers, Random_))
    sendDatagrams(Datagrams, Group);
}

void EngineStateBroadcast::sendDatagrams(std::vector<wire::EngineStatesT> &Datagrams,
                                         const RelayGroup &Group) {
  const auto To = parseAddress(NetAddress(Group.Relay_));
  if (!To)
    return;
  for (wire::EngineStatesT &Datagram : Datagrams) {
    Datagram.pass_to = Group.Receivers_;
    send({To->address(), To->port()}, packStates(Datagram));
  }
}

void EngineStateBroadcast::relay(wire::EngineStatesT &States) {
  const std::vector<std::string> Others = std::exchange(States.pass_to, {});
  if (Others.empty())
    return;
  const Bytes Packed = packStates(States);
  for (const std::string &Other : Others)
    if (const auto To = parseAddress(NetAddress(Other)))
      send({To->address(), To->port()}, Packed);
}

std::uint32_t EngineStateBroadcast::countHomeGateways() const {
  const auto AtHome = [this](const auto &Entry) { return Entry.second.Home_ == Home_; };
  return static_cast<std::uint32_t>(
      1 + std::count_if(Subscribers_.begin(), Subscribers_.end(), AtHome));
}

std::vector<std::string> EngineStateBroadcast::standIns() const {
  std::vector<std::string> Members{Member_};
  for (const auto &[To, Each] : Subscribers_)
    if (Each.Home_ == Home_)
      Members.push_back(addressText(To));
  std::sort(Members.begin(), Members.end());
  Members.resize(std::min(Members.size(), MaxStandIns));
  return Members;
}

std::vector<wire::EngineStatesT> EngineStateBroadcast::stateDatagrams() const {
  const TimePoint Now = Time_.now();
  // Without engines, one datagram still announces the number of gateways.
  std::vector<wire::EngineStatesT> Datagrams(1);
  for (const auto &[Id, Record] : Roster_.all()) {
    if (Record.Listing_.DataCenter_ != Home_ || (!Record.reported() && !Record.silent(Now)))
      continue;
    if (Datagrams.back().engines.size() == EnginesPerDatagram)
      Datagrams.emplace_back();
    Datagrams.back().engines.push_back(toWire(Id, Record, Now));
  }
  if (auto Suspects = suspectsDatagram())
    Datagrams.push_back(std::move(*Suspects));
  Datagrams.front().members = standIns();
  return Datagrams;
}

void EngineStateBroadcast::describeSender(std::vector<wire::EngineStatesT> &Datagrams) const {
  for (wire::EngineStatesT &Datagram : Datagrams) {
    Datagram.data_center = Home_.str();
    Datagram.fence = Fence_->value();
    Datagram.gateways = countHomeGateways();
  }
}

bool EngineStateBroadcast::isIn(const DataCenterId &DataCenter, const EndpointId &Endpoint) const {
  const EndpointRecord *Record = Roster_.find(Endpoint);
  return Record && Record->Listing_.DataCenter_ == DataCenter;
}

std::vector<LimitDemand> EngineStateBroadcast::demandsAt(const DataCenterId &DataCenter) {
  return Limiter_.takeDemands(
      [&](const EndpointId &Endpoint) { return isIn(DataCenter, Endpoint); }, Time_.now());
}

std::vector<wire::EngineStatesT> EngineStateBroadcast::limitDatagrams() {
  const TimePoint Now = Time_.now();
  for (const LimitDemand &Own : demandsAt(Home_))
    Limiter_.onDemand(Member_, Own, Now);
  std::vector<wire::EngineStatesT> Datagrams;
  for (const LimitState &State : Limiter_.states(Now)) {
    if (!isIn(Home_, State.Limit_.Endpoint_))
      continue;
    Limiter_.onState(State, Now);
    if (Datagrams.empty() || Datagrams.back().limits.size() == LimitsPerDatagram)
      Datagrams.emplace_back();
    Datagrams.back().limits.push_back(toWire(State, Now));
  }
  return Datagrams;
}

void EngineStateBroadcast::reportLimit(const EndpointId &Endpoint) {
  const EndpointRecord *Record = Roster_.find(Endpoint);
  if (!Record || (Fence_ && Record->Listing_.DataCenter_ == Home_))
    return;
  const auto Subscription = Subscriptions_.find(Record->Listing_.DataCenter_);
  if (Subscription != Subscriptions_.end())
    sendSubscriptions(Subscription->first, Subscription->second.Owner_);
}

std::optional<wire::EngineStatesT> EngineStateBroadcast::suspectsDatagram() const {
  const TimePoint Now = Time_.now();
  wire::EngineStatesT Datagram;
  Datagram.suspects = toWire(Quarantine_.suspects(Now), Now);
  if (Datagram.suspects.empty())
    return std::nullopt;
  return Datagram;
}

void EngineStateBroadcast::reportPromptSuspects() {
  const TimePoint Now = Time_.now();
  const std::vector<PromptSuspect> Reports = Quarantine_.takeReports();
  if (Reports.empty())
    return;
  wire::PromptReportT Report;
  Report.suspects = toWire(Reports, Now);
  wire::GatewayDatagramT Content;
  Content.payload.Set(std::move(Report));
  const Bytes Packed = pack(Content);
  for (const auto &[DataCenter, Subscription] : Subscriptions_) {
    if (Fence_ && DataCenter == Home_)
      continue;
    if (const auto To = parseAddress(NetAddress(Subscription.Owner_)))
      send({To->address(), To->port()}, Packed);
  }
}

void EngineStateBroadcast::onEngineSilent(const wire::EngineSilentT &Message) {
  const EndpointId Engine(Message.id);
  const EndpointRecord *Record = Roster_.find(Engine);
  if (!Record || Record->silent(Time_.now()))
    return;
  if (Fence_ && Message.data_center == Home_.str())
    announceSilent(Engine, Home_);
  if (SilentHandler_)
    SilentHandler_(Engine);
}

void EngineStateBroadcast::announceSilent(const EndpointId &Engine,
                                          const DataCenterId &DataCenter) {
  wire::EngineSilentT Message;
  Message.data_center = DataCenter.str();
  Message.id = Engine.str();
  wire::GatewayDatagramT Content;
  Content.payload.Set(std::move(Message));
  const Bytes Packed = pack(Content);
  if (Fence_ && DataCenter == Home_) {
    for (const auto &[To, Receiver] : Subscribers_)
      send(To, Packed);
    return;
  }
  const auto Subscription = Subscriptions_.find(DataCenter);
  if (Subscription == Subscriptions_.end())
    return;
  if (const auto To = parseAddress(NetAddress(Subscription->second.Owner_)))
    send({To->address(), To->port()}, Packed);
}

void EngineStateBroadcast::noteRemoteUse() {
  const bool Known = Time_.now() < RemoteInUseUntil_;
  RemoteInUseUntil_ = Time_.now() + RemoteUseTime;
  if (!Known)
    subscribe();
}

Duration EngineStateBroadcast::silenceLimit(const DataCenterId &DataCenter) const {
  return DataCenter == Home_ ? HomeSilenceLimit : RemoteSilenceLimit;
}

std::optional<Duration> EngineStateBroadcast::ownerSilence() const {
  const auto Subscription = Subscriptions_.find(Home_);
  if (Subscription == Subscriptions_.end() || Subscription->second.HeardAt_ == TimePoint{})
    return std::nullopt;
  return Time_.now() - Subscription->second.HeardAt_;
}

std::optional<std::size_t> EngineStateBroadcast::standInRank() const {
  const auto Subscription = Subscriptions_.find(Home_);
  if (Subscription == Subscriptions_.end())
    return std::nullopt;
  const auto &Members = Subscription->second.Members_;
  const auto Own = std::find(Members.begin(), Members.end(), Member_);
  if (Own == Members.end())
    return std::nullopt;
  return static_cast<std::size_t>(Own - Members.begin());
}

void EngineStateBroadcast::subscribe() {
  logDropped();
  reportPromptSuspects();
  for (auto &[DataCenter, Subscription] : Subscriptions_)
    if (!Fence_ || DataCenter != Home_)
      subscribeAt(DataCenter, Subscription);
}

void EngineStateBroadcast::subscribeAt(const DataCenterId &DataCenter,
                                       OwnerSubscription &Subscription) {
  const TimePoint Now = Time_.now();
  const bool Stale =
      Subscription.Owner_.empty() || Now - Subscription.HeardAt_ > silenceLimit(DataCenter);
  if (Stale)
    logOwnerSilence(DataCenter, Subscription, Now);
  if (Stale && !Subscription.LookupPending_ &&
      (Subscription.LookupAt_ == TimePoint{} || Now - Subscription.LookupAt_ > LookupInterval))
    findOwner(DataCenter, Subscription);
  // The store names a lost owner until its membership expires, and no owner while the store itself
  // is unreachable. Meanwhile one of the stand-ins may be the owner.
  if (Stale && !Subscription.Members_.empty())
    Subscription.Owner_ =
        Subscription.Members_[Subscription.NextMember_++ % Subscription.Members_.size()];
  sendSubscriptions(DataCenter, Subscription.Owner_);
}

void EngineStateBroadcast::sendSubscriptions(const DataCenterId &DataCenter,
                                             const std::string &Owner) {
  const auto To = parseAddress(NetAddress(Owner));
  if (!To)
    return;
  const TimePoint Now = Time_.now();
  const std::vector<LimitDemand> Demands = demandsAt(DataCenter);
  std::size_t Next = 0;
  do {
    wire::EngineSubscribeT Request;
    Request.data_center = DataCenter.str();
    Request.home = Home_.str();
    Request.in_use = Now < RemoteInUseUntil_;
    for (; Next < Demands.size() && Request.limits.size() < LimitsPerDatagram; ++Next)
      Request.limits.push_back(toWire(
          LimitState{Demands[Next].Limit_, Demands[Next].Wanted_, Demands[Next].Sent_, 0}, Now));
    wire::GatewayDatagramT Content;
    Content.payload.Set(std::move(Request));
    send({To->address(), To->port()}, pack(Content));
  } while (Next < Demands.size());
}

void EngineStateBroadcast::findOwner(const DataCenterId &DataCenter,
                                     OwnerSubscription &Subscription) {
  Subscription.LookupPending_ = true;
  Subscription.LookupAt_ = Time_.now();
  Store_.findOwner(groupName(DataCenter), [this, DataCenter](std::optional<std::string> Owner) {
    OwnerSubscription &Known = Subscriptions_[DataCenter];
    Known.LookupPending_ = false;
    if (!Owner)
      return;
    CountEstimator_.onOwnerLookup(DataCenter, !Owner->empty(), Time_.now());
    if (Owner->empty() || *Owner == Known.Owner_)
      return;
    Log_.log(LogEvent::OwnerFound, {{"data_center", DataCenter.str()}, {"owner", *Owner}});
    Known.Owner_ = std::move(*Owner);
    subscribeAt(DataCenter, Known);
  });
}

EngineStateBroadcast::Bytes EngineStateBroadcast::packStates(const wire::EngineStatesT &States) {
  wire::GatewayDatagramT Content;
  Content.payload.Set(wire::EngineStatesT(States));
  return pack(Content);
}

EngineStateBroadcast::Bytes EngineStateBroadcast::pack(const wire::GatewayDatagramT &Content) {
  flatbuffers::FlatBufferBuilder Builder(512);
  Builder.Finish(wire::GatewayDatagram::Pack(Builder, &Content));
  return {Builder.GetBufferPointer(), Builder.GetBufferPointer() + Builder.GetSize()};
}

void EngineStateBroadcast::send(const Udp::endpoint &To, const Bytes &Packed) {
  boost::system::error_code E;
  Socket_.send_to(boost::asio::buffer(Packed), To, 0, E);
  Metrics_.count("datagrams_total", E ? "dropped" : "sent");
  if (!E)
    return;
  ++Dropped_;
  DropReason_ = E;
}

void EngineStateBroadcast::logDropped() {
  if (Dropped_ > 0)
    Log_.log(LogEvent::DatagramsDropped, {{"datagrams", std::exchange(Dropped_, 0)},
                                          {"receivers", Subscribers_.size()},
                                          {"reason", DropReason_.message()}});
}

void EngineStateBroadcast::logOwnerSilence(const DataCenterId &DataCenter,
                                           OwnerSubscription &Subscription, TimePoint Now) {
  if (Subscription.HeardAt_ == TimePoint{} || std::exchange(Subscription.SilenceLogged_, true))
    return;
  Log_.log(LogEvent::OwnerSilent, {{"data_center", DataCenter.str()},
                                   {"owner", Subscription.Owner_},
                                   {"heard_ms", (Now - Subscription.HeardAt_) / milliseconds(1)}});
}

} // namespace rattancart
