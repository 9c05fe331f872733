#include "Gateway/StateSubscriptions.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

using std::chrono::milliseconds;

/// A subscription that is not renewed for this long ends; it survives three lost datagrams.
constexpr Duration SubscriptionLifetime = milliseconds(3500);
/// If an owner that sends every update sends nothing for this long, it is looked up again.
constexpr Duration SilenceLimit = milliseconds(2500);
/// Gateways of other data centres need the states of these engines only while they send requests
/// here; for the first such requests, the endpoint list is enough. The number of datagrams would
/// otherwise grow with engines times gateways.
constexpr Duration RemoteSendInterval = milliseconds(3000);
constexpr Duration UnusedSilenceLimit = milliseconds(8000);
/// Maximum number of gateways that are named as stand-ins of the owner.
constexpr std::size_t MaxStandIns = 8;
/// Minimum time between two lookups of one owner; each lookup is a store call that is charged for.
constexpr Duration LookupInterval = milliseconds(2000);
/// A gateway that may be the owner has this long to send states before another one is tried: a
/// renewal of the subscription and the longest interval between two updates.
constexpr Duration CandidateTimeout = milliseconds(1700);

} // namespace

StateSubscriptions::StateSubscriptions(const Clock &Time, Logger &Log, MetadataStore &Store,
                                       GatewayCountEstimator &CountEstimator, DataCenterId Home,
                                       std::vector<DataCenterId> DataCenters)
    : Time_(Time), Log_(Log), Store_(Store), CountEstimator_(CountEstimator),
      Home_(std::move(Home)) {
  for (DataCenterId &DataCenter : DataCenters)
    Owners_.emplace(std::move(DataCenter), OwnerSubscription{});
}

std::string StateSubscriptions::groupName(const DataCenterId &DataCenter) {
  return "rattancart-" + DataCenter.str();
}

void StateSubscriptions::renew(bool SubscribeHome, bool RemoteInUse) {
  if (!RemoteInUse)
    RemoteInUseSince_.reset();
  else if (!RemoteInUseSince_)
    RemoteInUseSince_ = Time_.now();
  for (auto &[DataCenter, Subscription] : Owners_)
    if (SubscribeHome || DataCenter != Home_)
      renewAt(DataCenter, Subscription);
}

std::map<DataCenterId, std::string> StateSubscriptions::owners() const {
  std::map<DataCenterId, std::string> Names;
  for (const auto &[DataCenter, Subscription] : Owners_)
    Names.emplace(DataCenter, Subscription.Owner_);
  return Names;
}

const std::string *StateSubscriptions::owner(const DataCenterId &DataCenter) const {
  const auto Subscription = Owners_.find(DataCenter);
  return Subscription == Owners_.end() ? nullptr : &Subscription->second.Owner_;
}

void StateSubscriptions::onStates(const DataCenterId &DataCenter,
                                  const std::vector<std::string> &Members) {
  OwnerSubscription &Subscription = Owners_.at(DataCenter);
  Subscription.HeardAt_ = Time_.now();
  Subscription.SilenceLogged_ = false;
  if (!Members.empty())
    Subscription.Members_ = Members;
}

std::optional<Duration> StateSubscriptions::ownerSilence() const {
  const auto Subscription = Owners_.find(Home_);
  if (Subscription == Owners_.end() || Subscription->second.HeardAt_ == TimePoint{})
    return std::nullopt;
  return Time_.now() - Subscription->second.HeardAt_;
}

const std::vector<std::string> &StateSubscriptions::standInsAtHome() const {
  static const std::vector<std::string> None;
  const auto Subscription = Owners_.find(Home_);
  return Subscription == Owners_.end() ? None : Subscription->second.Members_;
}

std::vector<PeerGateway> StateSubscriptions::takePeers(std::size_t Count) {
  std::vector<PeerGateway> Peers;
  auto Next = LastPeer_ ? Subscribers_.upper_bound(*LastPeer_) : Subscribers_.begin();
  for (std::size_t Seen = 0; Seen < Subscribers_.size() && Peers.size() < Count; ++Seen) {
    if (Next == Subscribers_.end())
      Next = Subscribers_.begin();
    if (!Next->second.Isolated_)
      Peers.push_back({NetAddress(addressText(Next->first)), Next->second.Home_});
    LastPeer_ = Next->first;
    ++Next;
  }
  return Peers;
}

void StateSubscriptions::onSubscribe(const DatagramSocket::Endpoint &From, const DataCenterId &Home,
                                     bool InUse, bool Isolated) {
  Subscriber &Known = Subscribers_[From];
  Known.ExpiresAt_ = Time_.now() + SubscriptionLifetime;
  Known.Home_ = Home;
  Known.InUse_ = InUse;
  Known.Isolated_ = Isolated;
}

void StateSubscriptions::dropExpired() {
  const TimePoint Now = Time_.now();
  std::erase_if(Subscribers_, [&](const auto &Entry) { return Entry.second.ExpiresAt_ < Now; });
}

std::map<DataCenterId, std::vector<std::string>> StateSubscriptions::takeReceivers() {
  const TimePoint Now = Time_.now();
  std::map<DataCenterId, std::vector<std::string>> Receivers;
  for (auto &[To, Each] : Subscribers_) {
    if (Each.Home_ != Home_ && !Each.InUse_ && Now < Each.NextSendAt_)
      continue;
    Each.NextSendAt_ = Now + RemoteSendInterval;
    Receivers[Each.Home_].push_back(addressText(To));
  }
  return Receivers;
}

std::vector<DatagramSocket::Endpoint> StateSubscriptions::subscribers() const {
  std::vector<DatagramSocket::Endpoint> All;
  for (const auto &[To, Each] : Subscribers_)
    All.push_back(To);
  return All;
}

std::uint32_t StateSubscriptions::countHomeGateways() const {
  const auto AtHome = [this](const auto &Entry) { return Entry.second.Home_ == Home_; };
  return static_cast<std::uint32_t>(
      1 + std::count_if(Subscribers_.begin(), Subscribers_.end(), AtHome));
}

std::vector<std::string> StateSubscriptions::standIns(const std::string &Own) const {
  std::vector<std::string> Members{Own};
  for (const auto &[To, Each] : Subscribers_)
    if (Each.Home_ == Home_)
      Members.push_back(addressText(To));
  std::sort(Members.begin(), Members.end());
  Members.resize(std::min(Members.size(), MaxStandIns));
  return Members;
}

bool StateSubscriptions::isStale(const DataCenterId &DataCenter,
                                 const OwnerSubscription &Subscription) const {
  const TimePoint Now = Time_.now();
  if (Subscription.Owner_.empty())
    return true;
  if (DataCenter == Home_)
    return Now - Subscription.HeardAt_ > SilenceLimit;
  // The owner sends every update only from the next renewal of the subscription on.
  const bool LacksUpdates =
      RemoteInUseSince_ && Now - std::max(Subscription.HeardAt_, *RemoteInUseSince_) > SilenceLimit;
  return LacksUpdates || Now - Subscription.HeardAt_ > UnusedSilenceLimit;
}

void StateSubscriptions::renewAt(const DataCenterId &DataCenter, OwnerSubscription &Subscription) {
  const TimePoint Now = Time_.now();
  if (isStale(DataCenter, Subscription)) {
    logOwnerSilence(DataCenter, Subscription, Now);
    if (!Subscription.LookupPending_ &&
        (Subscription.LookupAt_ == TimePoint{} || Now - Subscription.LookupAt_ > LookupInterval))
      findOwner(DataCenter, Subscription);
    // The store names a lost owner until its membership expires, and no owner while the store
    // itself is unreachable. Meanwhile one of the stand-ins may be the owner.
    if (!Subscription.Members_.empty() && Now - Subscription.TriedSince_ >= CandidateTimeout)
      tryOwner(Subscription,
               Subscription.Members_[Subscription.NextMember_++ % Subscription.Members_.size()]);
  }
  Renew_(DataCenter, Subscription.Owner_);
}

void StateSubscriptions::tryOwner(OwnerSubscription &Subscription, std::string Owner) const {
  Subscription.Owner_ = std::move(Owner);
  Subscription.TriedSince_ = Time_.now();
}

void StateSubscriptions::findOwner(const DataCenterId &DataCenter,
                                   OwnerSubscription &Subscription) {
  Subscription.LookupPending_ = true;
  Subscription.LookupAt_ = Time_.now();
  Store_.findOwner(groupName(DataCenter), [this, DataCenter](std::optional<std::string> Owner) {
    OwnerSubscription &Known = Owners_[DataCenter];
    Known.LookupPending_ = false;
    if (!Owner)
      return;
    CountEstimator_.onOwnerLookup(DataCenter, !Owner->empty(), Time_.now());
    if (Owner->empty() || *Owner == Known.Owner_)
      return;
    Log_.log(LogEvent::OwnerFound, {{"data_center", DataCenter.str()}, {"owner", *Owner}});
    tryOwner(Known, std::move(*Owner));
    Renew_(DataCenter, Known.Owner_);
  });
}

void StateSubscriptions::logOwnerSilence(const DataCenterId &DataCenter,
                                         OwnerSubscription &Subscription, TimePoint Now) {
  if (Subscription.HeardAt_ == TimePoint{} || std::exchange(Subscription.SilenceLogged_, true))
    return;
  Log_.log(LogEvent::OwnerSilent, {{"data_center", DataCenter.str()},
                                   {"owner", Subscription.Owner_},
                                   {"heard_ms", (Now - Subscription.HeardAt_) / milliseconds(1)}});
}

} // namespace rattancart
