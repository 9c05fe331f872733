#include "Control/SubscriptionServer.h"

#include "Control/ControlFrames.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

constexpr Duration PushInterval = std::chrono::milliseconds(100);
/// A peer gets a whole image once this many successive heartbeats showed it behind. One such
/// heartbeat is not enough, since the records sent to the peer may still be in transit.
constexpr int MaxHeartbeatsBehind = 2;

} // namespace

SubscriptionServer::SubscriptionServer(boost::asio::io_context &Loop, const Clock &Time,
                                       Logger &Log, const ControlIdentity &Identity,
                                       const LocalState &State, EndpointFeed &Feed,
                                       LimitShareAllocator &ShareAllocator, ClaimOrderer &Claims)
    : Loop_(Loop), Time_(Time), Log_(Log), Identity_(Identity), State_(State), Feed_(Feed),
      ShareAllocator_(ShareAllocator), Claims_(Claims),
      Server_(Loop,
              [this](FrameConnectionPtr Connection) {
                PeerLinkOwner &Self = *this;
                const auto Link =
                    std::make_shared<PeerLink>(Loop_, Time_, Self, std::move(Connection));
                Links_.insert(Link);
                Link->start();
              }),
      PushTimer_(Loop) {
  PushTimer_.every(PushInterval, [this] { pushEndpoints(); });
}

wire::HelloT SubscriptionServer::makeHello() { return makeControlHello(Identity_, State_); }

wire::HeartbeatT SubscriptionServer::makeHeartbeat() { return makeControlHeartbeat(State_); }

void SubscriptionServer::onLinkUp(const PeerLinkPtr &Link) {
  const wire::HelloT &Hello = Link->hello();
  Log_.log(LogEvent::PeerConnected,
           {{"peer", Hello.instance},
            {"role", Hello.role == wire::Role::Router ? "router" : "control"},
            {"offset", Hello.settings_offset}});
  Subscriber &Item = Subscribers_[Link];
  Item.SettingsOffset_ = LogOffset(Hello.settings_offset);
  if (Item.SettingsOffset_ < State_.settingsOffset())
    sendImage(Link, Item);
  pushEndpointsTo(Link, Item);
}

void SubscriptionServer::onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) {
  ClosedBytesIn_ += Link->bytesIn();
  ClosedBytesOut_ += Link->bytesOut();
  Links_.erase(Link);
  if (Subscribers_.erase(Link) > 0)
    Log_.log(LogEvent::PeerLost, {{"peer", Link->hello().instance}, {"error", Reason.value()}});
}

void SubscriptionServer::onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) {
  if (const auto *Beat = Frame.payload.AsHeartbeat())
    return handle(Link, *Beat);
  if (const auto *Request = Frame.payload.AsClaimRequest())
    return handle(Link, *Request);
  if (const auto *Close = Frame.payload.AsClaimClose())
    Claims_.close(*Close);
}

void SubscriptionServer::handle(const PeerLinkPtr &Link, const wire::HeartbeatT &Beat) {
  const wire::HelloT &Hello = Link->hello();
  if (Hello.role == wire::Role::Router)
    ShareAllocator_.reportRouter(InstanceId(Hello.instance), demandOf(Beat), Time_.now());
  else
    ShareAllocator_.reportControl(InstanceId(Hello.instance), DataCenterId(Hello.data_center),
                                  demandOf(Beat), Time_.now());

  Subscriber &Item = Subscribers_[Link];
  Item.Routers_ = Beat.routers;
  const LogOffset PeerOffset(Beat.settings_offset);
  if (PeerOffset >= State_.settingsOffset()) {
    Item.HeartbeatsBehind_ = 0;
    return;
  }
  if (++Item.HeartbeatsBehind_ < MaxHeartbeatsBehind)
    return;
  Item.HeartbeatsBehind_ = 0;
  Item.SettingsOffset_ = PeerOffset;
  sendImage(Link, Item);
}

void SubscriptionServer::handle(const PeerLinkPtr &Link, const wire::ClaimRequestT &Request) {
  const std::weak_ptr<PeerLink> Weak = Link;
  Claims_.claim(Request, [Weak](const wire::ClaimAnswerT &Answer) {
    if (const PeerLinkPtr Open = Weak.lock())
      Open->send(makeFrame(Answer));
  });
}

void SubscriptionServer::onSettingsRecord(LogOffset Offset, std::string_view Body) {
  wire::SettingsRecordT Record;
  Record.offset = Offset.value();
  Record.body = std::string(Body);
  const wire::FrameT Frame = makeFrame(std::move(Record));
  for (auto &[Link, Item] : Subscribers_) {
    if (Item.SettingsOffset_ >= Offset)
      continue;
    if (Item.SettingsOffset_.next() != Offset)
      sendImage(Link, Item);
    else if (Link->send(Frame))
      Item.SettingsOffset_ = Offset;
  }
}

void SubscriptionServer::onSettingsImage() {
  for (auto &[Link, Item] : Subscribers_)
    if (Item.SettingsOffset_ < State_.settingsOffset())
      sendImage(Link, Item);
}

void SubscriptionServer::sendImage(const PeerLinkPtr &Link, Subscriber &Item) {
  wire::SettingsImageT Image;
  Image.offset = State_.settingsOffset().value();
  Image.body = State_.settingsImage();
  if (Image.body.empty() || !Link->send(makeFrame(std::move(Image))))
    return;
  Item.SettingsOffset_ = State_.settingsOffset();
}

void SubscriptionServer::pushEndpoints() {
  for (auto &[Link, Item] : Subscribers_)
    pushEndpointsTo(Link, Item);
}

void SubscriptionServer::pushEndpointsTo(const PeerLinkPtr &Link, Subscriber &Item) {
  if (Item.FeedVersion_ == Feed_.version())
    return;
  const FeedScope Scope =
      Link->hello().role == wire::Role::Router ? FeedScope::All : FeedScope::OwnDataCenter;
  wire::EndpointUpdateT Update = Feed_.changesSince(Item.FeedVersion_, Scope);
  Update.echo = Link->echo();
  if ((Update.full || !Update.endpoints.empty()) && !Link->send(makeFrame(std::move(Update))))
    return;
  Item.FeedVersion_ = Feed_.version();
}

std::size_t SubscriptionServer::linkedRouters() const {
  return static_cast<std::size_t>(
      std::count_if(Subscribers_.begin(), Subscribers_.end(), [](const auto &Entry) {
        return Entry.first->hello().role == wire::Role::Router;
      }));
}

std::uint32_t SubscriptionServer::countAllRouters() const {
  auto Count = static_cast<std::uint32_t>(linkedRouters());
  for (const auto &[Link, Item] : Subscribers_)
    Count += Item.Routers_;
  return std::max(Count, 1U);
}

void SubscriptionServer::sendShares() {
  const std::uint32_t Routers = countAllRouters();
  for (auto &[Link, Item] : Subscribers_) {
    if (Link->hello().role != wire::Role::Router)
      continue;
    wire::LimitSharesT Shares;
    Shares.default_share = ShareAllocator_.defaultShare();
    Shares.routers = Routers;
    for (const CustomerShare &Share :
         ShareAllocator_.sharesOf(InstanceId(Link->hello().instance))) {
      auto Entry = std::make_unique<wire::LimitShareT>();
      Entry->customer = Share.Customer_.str();
      Entry->share = Share.Share_;
      Shares.shares.push_back(std::move(Entry));
    }
    Link->send(makeFrame(std::move(Shares)));
  }
}

std::uint64_t SubscriptionServer::bytesIn() const {
  std::uint64_t Sum = ClosedBytesIn_;
  for (const auto &[Link, Item] : Subscribers_)
    Sum += Link->bytesIn();
  return Sum;
}

std::uint64_t SubscriptionServer::bytesOut() const {
  std::uint64_t Sum = ClosedBytesOut_;
  for (const auto &[Link, Item] : Subscribers_)
    Sum += Link->bytesOut();
  return Sum;
}

boost::json::array SubscriptionServer::state() const {
  boost::json::array Items;
  for (const auto &[Link, Item] : Subscribers_) {
    boost::json::object Entry;
    Entry["peer"] = Link->hello().instance;
    Entry["role"] = Link->hello().role == wire::Role::Router ? "router" : "control";
    Entry["up"] = Link->isUp();
    Entry["settings_offset"] = Item.SettingsOffset_.value();
    Entry["bytes_in"] = Link->bytesIn();
    Entry["bytes_out"] = Link->bytesOut();
    Items.push_back(std::move(Entry));
  }
  return Items;
}

} // namespace rattancart
