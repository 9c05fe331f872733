#include "Gateway/EngineBulletin.h"

#include "Core/Common/ErrorCode.h"
#include "Net/Address.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

constexpr Duration SubscribeInterval = milliseconds(1000);
/// A subscription that is not renewed ends; three lost datagrams are borne.
constexpr Duration SubscriptionTime = milliseconds(3500);
/// Without a bulletin for this long the owner at home is looked up again.
constexpr Duration BulletinLimit = milliseconds(2500);
/// Other data centres' engines matter only while requests are sent there; what the list says of
/// them is enough for the first of these. Bulletins to all would grow as engines times gateways.
constexpr Duration OthersInterval = milliseconds(3000);
constexpr Duration OthersLimit = milliseconds(8000);
/// Requests that overflow once are likely to do so again within this time.
constexpr Duration OthersUseTime = milliseconds(5000);
/// Gateways that are named as stand-ins of the owner.
constexpr std::size_t MostMembers = 8;
/// Least time between two look-ups of one owner; each is a priced call to the store.
constexpr Duration LookupInterval = milliseconds(2000);
/// Engines in one datagram, so that it fits into one packet.
constexpr std::size_t EnginesPerDatagram = 10;
/// A silent engine gets no work for this long after the owner said so.
constexpr Duration SilentHold = milliseconds(1500);

std::string text(const boost::asio::ip::udp::endpoint &Place) {
  return fmt::format("{}:{}", Place.address().to_string(), Place.port());
}

std::unique_ptr<wire::EngineStateT> stateOf(const EndpointId &Id, const EndpointRecord &Record,
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

} // namespace

EngineBulletin::EngineBulletin(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                               MetricSet &Metrics, MetadataStore &Store, EndpointRoster &Roster,
                               GatewayCountEstimator &Census, DataCenterId Home,
                               std::vector<DataCenterId> DataCenters)
    : Time_(Time), Log_(Log), Metrics_(Metrics), Store_(Store), Roster_(Roster), Census_(Census),
      Home_(std::move(Home)), Socket_(Loop), Timer_(Loop) {
  for (DataCenterId &Place : DataCenters)
    Sources_.emplace(std::move(Place), Source{});
}

std::string EngineBulletin::group(const DataCenterId &Place) { return "rattancart-" + Place.str(); }

std::error_code EngineBulletin::listen(const NetAddress &Address) {
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

void EngineBulletin::receive() {
  Socket_.async_receive_from(boost::asio::buffer(Buffer_), Sender_,
                             [this](boost::system::error_code E, std::size_t Size) {
                               if (E == boost::asio::error::operation_aborted)
                                 return;
                               if (!E)
                                 onDatagram(Size);
                               receive();
                             });
}

void EngineBulletin::onDatagram(std::size_t Size) {
  flatbuffers::Verifier Verifier(Buffer_.data(), Size);
  if (!wire::VerifyGatewayDatagramBuffer(Verifier)) {
    Log_.log(LogEvent::FrameRejected, {{"bytes", Size}, {"reason", "datagram"}});
    return;
  }
  wire::GatewayDatagramT Content;
  wire::GetGatewayDatagram(Buffer_.data())->UnPackTo(&Content);
  if (auto *States = Content.payload.AsEngineStates()) {
    passOn(*States);
    return onStates(*States);
  }
  if (const auto *Told = Content.payload.AsEngineSilent())
    return onTold(*Told);
  if (const auto *Request = Content.payload.AsEngineSubscribe())
    if (Request->data_center == Home_.str()) {
      Subscriber &Known = Subscribers_[Sender_];
      Known.Until_ = Time_.now() + SubscriptionTime;
      Known.Home_ = DataCenterId(Request->home);
      Known.InUse_ = Request->in_use;
    }
}

void EngineBulletin::onStates(const wire::EngineStatesT &States) {
  const auto From = Sources_.find(DataCenterId(States.data_center));
  if (From == Sources_.end())
    return;
  if (Fence_ && From->first == Home_) {
    const FencingNumber Other(States.fence);
    if (Other > *Fence_ && Outranked_)
      Outranked_(Other);
    return;
  }
  const TimePoint Now = Time_.now();
  From->second.HeardAt_ = Now;
  From->second.SaidSilent_ = false;
  Census_.onCountReported(From->first, States.gateways, Now);
  if (!States.members.empty())
    From->second.Members_ = States.members;
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

void EngineBulletin::publish() {
  const TimePoint Now = Time_.now();
  std::erase_if(Subscribers_, [&](const auto &Entry) { return Entry.second.Until_ < Now; });
  if (!Fence_)
    return;
  Census_.onCountReported(Home_, homeGateways(), Now);
  std::map<DataCenterId, std::vector<std::string>> Receivers;
  for (auto &[To, Each] : Subscribers_) {
    if (Each.Home_ != Home_ && !Each.InUse_ && Now < Each.NextAt_)
      continue;
    Each.NextAt_ = Now + OthersInterval;
    Receivers[Each.Home_].push_back(text(To));
  }
  if (Receivers.empty())
    return;
  std::vector<wire::EngineStatesT> Parts = stateParts();
  for (const RelayGroup &Group : planRelays(Receivers, Random_))
    sendParts(Parts, Group);
}

void EngineBulletin::sendParts(std::vector<wire::EngineStatesT> &Parts, const RelayGroup &Group) {
  const auto To = parseAddress(NetAddress(Group.Relay_));
  if (!To)
    return;
  for (wire::EngineStatesT &Part : Parts) {
    Part.pass_to = Group.Receivers_;
    send({To->address(), To->port()}, packStates(Part));
  }
}

void EngineBulletin::passOn(wire::EngineStatesT &States) {
  const std::vector<std::string> Others = std::exchange(States.pass_to, {});
  if (Others.empty())
    return;
  const Frame Packed = packStates(States);
  for (const std::string &Other : Others)
    if (const auto To = parseAddress(NetAddress(Other)))
      send({To->address(), To->port()}, Packed);
}

std::uint32_t EngineBulletin::homeGateways() const {
  const auto AtHome = [this](const auto &Entry) { return Entry.second.Home_ == Home_; };
  return static_cast<std::uint32_t>(
      1 + std::count_if(Subscribers_.begin(), Subscribers_.end(), AtHome));
}

std::vector<std::string> EngineBulletin::firstMembers() const {
  std::vector<std::string> Members{Member_};
  for (const auto &[To, Each] : Subscribers_)
    if (Each.Home_ == Home_)
      Members.push_back(text(To));
  std::sort(Members.begin(), Members.end());
  Members.resize(std::min(Members.size(), MostMembers));
  return Members;
}

std::vector<wire::EngineStatesT> EngineBulletin::stateParts() const {
  const TimePoint Now = Time_.now();
  // Without engines, the number of gateways still goes out.
  std::vector<wire::EngineStatesT> Parts(1);
  for (const auto &[Id, Record] : Roster_.all()) {
    if (Record.Listing_.DataCenter_ != Home_ || (!Record.reported() && !Record.silent(Now)))
      continue;
    if (Parts.back().engines.size() == EnginesPerDatagram)
      Parts.emplace_back();
    Parts.back().engines.push_back(stateOf(Id, Record, Now));
  }
  Parts.front().members = firstMembers();
  for (wire::EngineStatesT &Part : Parts) {
    Part.data_center = Home_.str();
    Part.fence = Fence_->value();
    Part.gateways = homeGateways();
  }
  return Parts;
}

void EngineBulletin::onTold(const wire::EngineSilentT &Told) {
  const EndpointId Engine(Told.id);
  const EndpointRecord *Record = Roster_.find(Engine);
  if (!Record || Record->silent(Time_.now()))
    return;
  if (Fence_ && Told.data_center == Home_.str())
    tellSilent(Engine, Home_);
  if (Silent_)
    Silent_(Engine);
}

void EngineBulletin::tellSilent(const EndpointId &Engine, const DataCenterId &Place) {
  wire::EngineSilentT Told;
  Told.data_center = Place.str();
  Told.id = Engine.str();
  wire::GatewayDatagramT Content;
  Content.payload.Set(std::move(Told));
  const Frame Packed = pack(Content);
  if (Fence_ && Place == Home_) {
    for (const auto &[To, Until] : Subscribers_)
      send(To, Packed);
    return;
  }
  const auto From = Sources_.find(Place);
  if (From == Sources_.end())
    return;
  if (const auto To = parseAddress(NetAddress(From->second.Owner_)))
    send({To->address(), To->port()}, Packed);
}

void EngineBulletin::useOthers() {
  const bool Known = Time_.now() < OthersUsedUntil_;
  OthersUsedUntil_ = Time_.now() + OthersUseTime;
  if (!Known)
    subscribe();
}

Duration EngineBulletin::silenceLimit(const DataCenterId &Place) const {
  return Place == Home_ ? BulletinLimit : OthersLimit;
}

std::optional<Duration> EngineBulletin::ownerSilence() const {
  const auto From = Sources_.find(Home_);
  if (From == Sources_.end() || From->second.HeardAt_ == TimePoint{})
    return std::nullopt;
  return Time_.now() - From->second.HeardAt_;
}

std::optional<std::size_t> EngineBulletin::rank() const {
  const auto From = Sources_.find(Home_);
  if (From == Sources_.end())
    return std::nullopt;
  const auto &Members = From->second.Members_;
  const auto Place = std::find(Members.begin(), Members.end(), Member_);
  if (Place == Members.end())
    return std::nullopt;
  return static_cast<std::size_t>(Place - Members.begin());
}

void EngineBulletin::subscribe() {
  logDropped();
  for (auto &[Place, From] : Sources_)
    if (!Fence_ || Place != Home_)
      subscribeAt(Place, From);
}

void EngineBulletin::subscribeAt(const DataCenterId &Place, Source &From) {
  const TimePoint Now = Time_.now();
  const bool Stale = From.Owner_.empty() || Now - From.HeardAt_ > silenceLimit(Place);
  if (Stale)
    noteSilence(Place, From, Now);
  if (Stale && !From.Asking_ &&
      (From.AskedAt_ == TimePoint{} || Now - From.AskedAt_ > LookupInterval))
    findOwner(Place, From);
  // The store names the last owner until it has lapsed, and no one while it is away itself.
  if (Stale && !From.Members_.empty())
    From.Owner_ = From.Members_[From.NextMember_++ % From.Members_.size()];
  if (From.Owner_.empty())
    return;
  const auto To = parseAddress(NetAddress(From.Owner_));
  if (!To)
    return;
  wire::EngineSubscribeT Request;
  Request.data_center = Place.str();
  Request.home = Home_.str();
  Request.in_use = Now < OthersUsedUntil_;
  wire::GatewayDatagramT Content;
  Content.payload.Set(std::move(Request));
  send({To->address(), To->port()}, pack(Content));
}

void EngineBulletin::findOwner(const DataCenterId &Place, Source &From) {
  From.Asking_ = true;
  From.AskedAt_ = Time_.now();
  Store_.findOwner(group(Place), [this, Place](std::optional<std::string> Owner) {
    Source &Known = Sources_[Place];
    Known.Asking_ = false;
    if (!Owner)
      return;
    Census_.onOwnerLookup(Place, !Owner->empty(), Time_.now());
    if (Owner->empty() || *Owner == Known.Owner_)
      return;
    Log_.log(LogEvent::OwnerFound, {{"data_center", Place.str()}, {"owner", *Owner}});
    Known.Owner_ = std::move(*Owner);
    subscribeAt(Place, Known);
  });
}

EngineBulletin::Frame EngineBulletin::packStates(const wire::EngineStatesT &States) {
  wire::GatewayDatagramT Content;
  Content.payload.Set(wire::EngineStatesT(States));
  return pack(Content);
}

EngineBulletin::Frame EngineBulletin::pack(const wire::GatewayDatagramT &Content) {
  flatbuffers::FlatBufferBuilder Builder(512);
  Builder.Finish(wire::GatewayDatagram::Pack(Builder, &Content));
  return {Builder.GetBufferPointer(), Builder.GetBufferPointer() + Builder.GetSize()};
}

void EngineBulletin::send(const Udp::endpoint &To, const Frame &Packed) {
  boost::system::error_code E;
  Socket_.send_to(boost::asio::buffer(Packed), To, 0, E);
  Metrics_.count("datagrams_total", E ? "dropped" : "sent");
  if (!E)
    return;
  ++Dropped_;
  DropReason_ = E;
}

void EngineBulletin::logDropped() {
  if (Dropped_ > 0)
    Log_.log(LogEvent::DatagramsDropped, {{"datagrams", std::exchange(Dropped_, 0)},
                                          {"receivers", Subscribers_.size()},
                                          {"reason", DropReason_.message()}});
}

void EngineBulletin::noteSilence(const DataCenterId &Place, Source &From, TimePoint Now) {
  if (From.HeardAt_ == TimePoint{} || std::exchange(From.SaidSilent_, true))
    return;
  Log_.log(LogEvent::OwnerSilent, {{"data_center", Place.str()},
                                   {"owner", From.Owner_},
                                   {"heard_ms", (Now - From.HeardAt_) / milliseconds(1)}});
}

} // namespace rattancart
