#include "Gateway/EngineStateBroadcast.h"

#include "Net/Address.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

constexpr Duration SubscribeInterval = milliseconds(1000);
/// After a request was sent to another data centre, more are likely within this time.
constexpr Duration RemoteUseTime = milliseconds(5000);
/// Maximum number of engines in one datagram, so that it fits into one packet.
constexpr std::size_t EnginesPerDatagram = 10;
constexpr std::size_t LimitsPerDatagram = 15;
constexpr std::size_t PeersPerDatagram = 6;
/// A silent engine gets no work for this long after the owner has reported it.
constexpr Duration SilentHold = milliseconds(1500);

} // namespace

EngineStateBroadcast::EngineStateBroadcast(boost::asio::io_context &Loop, const Clock &Time,
                                           Logger &Log, DatagramSocket &Datagrams,
                                           MetadataStore &Store, EndpointRoster &Roster,
                                           GatewayCountEstimator &CountEstimator,
                                           PromptQuarantine &Quarantine, EndpointLimiter &Limiter,
                                           DataCenterId Home, std::vector<DataCenterId> DataCenters)
    : Time_(Time), Datagrams_(Datagrams), Roster_(Roster), CountEstimator_(CountEstimator),
      Quarantine_(Quarantine), Limiter_(Limiter), Home_(std::move(Home)),
      Subscriptions_(Time, Log, Store, CountEstimator, Home_, std::move(DataCenters)),
      Timer_(Loop) {
  Datagrams_.onDatagram(
      [this](wire::GatewayDatagramT &Content, const DatagramSocket::Endpoint &From) {
        onDatagram(Content, From);
      });
  Subscriptions_.onRenew([this](const DataCenterId &DataCenter, const std::string &Owner) {
    sendSubscriptions(DataCenter, Owner);
  });
}

std::error_code EngineStateBroadcast::listen(const NetAddress &Address) {
  if (const std::error_code Failure = Datagrams_.listen(Address))
    return Failure;
  Timer_.every(SubscribeInterval, [this] { subscribe(); });
  return {};
}

void EngineStateBroadcast::onDatagram(wire::GatewayDatagramT &Content,
                                      const DatagramSocket::Endpoint &From) {
  if (ReceivedHandler_)
    ReceivedHandler_();
  if (auto *States = Content.payload.AsEngineStates()) {
    Datagrams_.forward(*States);
    return onStates(*States);
  }
  if (const auto *Message = Content.payload.AsEngineSilent())
    return onEngineSilent(*Message, From);
  if (const auto *Report = Content.payload.AsPromptReport())
    return Quarantine_.merge(fromWire(Report->suspects, Time_.now()), Time_.now());
  if (const auto *Request = Content.payload.AsEngineSubscribe())
    onSubscribe(*Request, From);
}

void EngineStateBroadcast::onSubscribe(const wire::EngineSubscribeT &Request,
                                       const DatagramSocket::Endpoint &From) {
  if (Request.data_center != Home_.str())
    return;
  const TimePoint Now = Time_.now();
  Subscriptions_.onSubscribe(From, DataCenterId(Request.home), Request.in_use, Request.isolated);
  const std::string Gateway = addressText(From);
  for (const auto &Each : Request.limits)
    if (Each)
      Limiter_.onDemand(Gateway, {limitFromWire(*Each, Now), {Each->wanted}, Each->sent}, Now);
}

void EngineStateBroadcast::onStates(const wire::EngineStatesT &States) {
  Quarantine_.merge(fromWire(States.suspects, Time_.now()), Time_.now());
  for (const auto &Each : States.peers)
    if (Each && PeerHandler_ && Each->address != member())
      PeerHandler_({NetAddress(Each->address), DataCenterId(Each->data_center)});
  const DataCenterId DataCenter(States.data_center);
  if (!Subscriptions_.owner(DataCenter))
    return;
  if (Fence_ && DataCenter == Home_) {
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
  Subscriptions_.onStates(DataCenter, States.members);
  CountEstimator_.onCountReported(DataCenter, States.gateways, Now);
  for (const auto &State : States.engines) {
    if (!State)
      continue;
    const EndpointId Id(State->id);
    if (State->silent && !(RejectsOwnerFinding_ && RejectsOwnerFinding_(Id)))
      Roster_.markSilent(Id, Now, Now + SilentHold);
    if (State->reported)
      Roster_.updateReport(Id, reportFromWire(*State), Now - milliseconds(State->age_ms));
  }
}

void EngineStateBroadcast::publish() {
  const TimePoint Now = Time_.now();
  Subscriptions_.dropExpired();
  if (!Fence_)
    return;
  CountEstimator_.onCountReported(Home_, Subscriptions_.countHomeGateways(), Now);
  std::vector<wire::EngineStatesT> Limits = limitDatagrams();
  const auto Receivers = Subscriptions_.takeReceivers();
  if (Receivers.empty())
    return;
  std::vector<wire::EngineStatesT> Datagrams = stateDatagrams();
  std::move(Limits.begin(), Limits.end(), std::back_inserter(Datagrams));
  describeSender(Datagrams);
  Datagrams_.sendToAll(Datagrams, Receivers);
}

std::vector<std::unique_ptr<wire::PeerGatewayT>> EngineStateBroadcast::peers() {
  std::vector<PeerGateway> Named = Subscriptions_.takePeers(PeersPerDatagram);
  if (!Isolated_)
    Named.push_back({NetAddress(member()), Home_});
  std::vector<std::unique_ptr<wire::PeerGatewayT>> Encoded;
  for (const PeerGateway &Each : Named) {
    Encoded.push_back(std::make_unique<wire::PeerGatewayT>());
    Encoded.back()->address = Each.Address_.str();
    Encoded.back()->data_center = Each.DataCenter_.str();
  }
  return Encoded;
}

std::vector<wire::EngineStatesT> EngineStateBroadcast::stateDatagrams() {
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
  Datagrams.front().members = Subscriptions_.standIns(member());
  Datagrams.front().peers = peers();
  return Datagrams;
}

void EngineStateBroadcast::describeSender(std::vector<wire::EngineStatesT> &Datagrams) const {
  for (wire::EngineStatesT &Datagram : Datagrams) {
    Datagram.data_center = Home_.str();
    Datagram.fence = Fence_->value();
    Datagram.gateways = Subscriptions_.countHomeGateways();
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
    Limiter_.onDemand(member(), Own, Now);
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
  if (const std::string *Owner = Subscriptions_.owner(Record->Listing_.DataCenter_))
    sendSubscriptions(Record->Listing_.DataCenter_, *Owner);
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
  const DatagramBytes Packed = packPayload(std::move(Report));
  for (const auto &[DataCenter, Owner] : Subscriptions_.owners())
    if (!Fence_ || DataCenter != Home_)
      Datagrams_.send(Owner, Packed);
}

void EngineStateBroadcast::onEngineSilent(const wire::EngineSilentT &Message,
                                          const DatagramSocket::Endpoint &From) {
  const SilenceReport Report{EndpointId(Message.id),
                             Message.reporter.empty() ? addressText(From) : Message.reporter,
                             Message.refused};
  const EndpointRecord *Record = Roster_.find(Report.Engine_);
  // An owner also sends a report back to the gateway it came from.
  if (!Record || Record->silent(Time_.now()) || Report.Reporter_ == member())
    return;
  const bool Forward = !SilentHandler_ || SilentHandler_(Report);
  if (Forward && Fence_ && Message.data_center == Home_.str())
    sendReport(Report, Home_);
}

void EngineStateBroadcast::announceSilent(const EndpointId &Engine, const DataCenterId &DataCenter,
                                          bool Refused) {
  sendReport({Engine, member(), Refused}, DataCenter);
}

void EngineStateBroadcast::sendReport(const SilenceReport &Report, const DataCenterId &DataCenter) {
  wire::EngineSilentT Message;
  Message.data_center = DataCenter.str();
  Message.id = Report.Engine_.str();
  Message.refused = Report.Refused_;
  Message.reporter = Report.Reporter_;
  const DatagramBytes Packed = packPayload(std::move(Message));
  if (Fence_ && DataCenter == Home_) {
    for (const DatagramSocket::Endpoint &To : Subscriptions_.subscribers())
      Datagrams_.send(To, Packed);
    return;
  }
  if (const std::string *Owner = Subscriptions_.owner(DataCenter))
    Datagrams_.send(*Owner, Packed);
}

void EngineStateBroadcast::noteRemoteUse() {
  const bool Known = Time_.now() < RemoteInUseUntil_;
  RemoteInUseUntil_ = Time_.now() + RemoteUseTime;
  if (!Known)
    subscribe();
}

std::optional<std::size_t> EngineStateBroadcast::standInRank() const {
  const auto &Members = Subscriptions_.standInsAtHome();
  const auto Own = std::find(Members.begin(), Members.end(), member());
  if (Own == Members.end())
    return std::nullopt;
  return static_cast<std::size_t>(Own - Members.begin());
}

const std::string &EngineStateBroadcast::ownerAtHome() const {
  static const std::string Unknown;
  if (Fence_)
    return member();
  const std::string *Owner = Subscriptions_.owner(Home_);
  return Owner ? *Owner : Unknown;
}

std::vector<std::string> EngineStateBroadcast::standInsAtHome() const {
  return Fence_ ? Subscriptions_.standIns(member()) : Subscriptions_.standInsAtHome();
}

void EngineStateBroadcast::subscribe() {
  Datagrams_.logDropped(Subscriptions_.subscriberCount());
  reportPromptSuspects();
  Subscriptions_.renew(!Fence_, Time_.now() < RemoteInUseUntil_);
}

void EngineStateBroadcast::sendSubscriptions(const DataCenterId &DataCenter,
                                             const std::string &Owner) {
  if (!parseAddress(NetAddress(Owner)))
    return;
  const TimePoint Now = Time_.now();
  const std::vector<LimitDemand> Demands = demandsAt(DataCenter);
  std::size_t Next = 0;
  do {
    wire::EngineSubscribeT Request;
    Request.data_center = DataCenter.str();
    Request.home = Home_.str();
    Request.in_use = Now < RemoteInUseUntil_;
    Request.isolated = Isolated_;
    for (; Next < Demands.size() && Request.limits.size() < LimitsPerDatagram; ++Next)
      Request.limits.push_back(toWire(
          LimitState{Demands[Next].Limit_, Demands[Next].Wanted_, Demands[Next].Sent_, 0}, Now));
    Datagrams_.send(Owner, packPayload(std::move(Request)));
  } while (Next < Demands.size());
}

} // namespace rattancart
