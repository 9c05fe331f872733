#include "Control/Distributor.h"

#include "Control/ControlFrames.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

constexpr Duration PushInterval = std::chrono::milliseconds(100);
/// Heartbeats that may show a peer behind before it gets a whole image; the records sent to it
/// may still be under way.
constexpr int MaxBehind = 2;

} // namespace

Distributor::Distributor(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                         const ControlIdentity &Identity, const LocalState &State,
                         EndpointFeed &Feed, LimitShareAllocator &Shares, ClaimOrderer &Claims)
    : Loop_(Loop), Time_(Time), Log_(Log), Identity_(Identity), State_(State), Feed_(Feed),
      Shares_(Shares), Claims_(Claims),
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

wire::HelloT Distributor::makeHello() { return makeControlHello(Identity_, State_); }

wire::HeartbeatT Distributor::makeHeartbeat() { return makeControlHeartbeat(State_); }

void Distributor::onLinkUp(const PeerLinkPtr &Link) {
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

void Distributor::onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) {
  ClosedBytesIn_ += Link->bytesIn();
  ClosedBytesOut_ += Link->bytesOut();
  Links_.erase(Link);
  if (Subscribers_.erase(Link) > 0)
    Log_.log(LogEvent::PeerLost, {{"peer", Link->hello().instance}, {"error", Reason.value()}});
}

void Distributor::onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) {
  if (const auto *Beat = Frame.payload.AsHeartbeat())
    return take(Link, *Beat);
  if (const auto *Request = Frame.payload.AsClaimRequest())
    return take(Link, *Request);
  if (const auto *Close = Frame.payload.AsClaimClose())
    Claims_.close(*Close);
}

void Distributor::take(const PeerLinkPtr &Link, const wire::HeartbeatT &Beat) {
  const wire::HelloT &Hello = Link->hello();
  if (Hello.role == wire::Role::Router)
    Shares_.reportRouter(InstanceId(Hello.instance), demandOf(Beat), Time_.now());
  else
    Shares_.reportControl(InstanceId(Hello.instance), DataCenterId(Hello.data_center),
                          demandOf(Beat), Time_.now());

  Subscriber &Item = Subscribers_[Link];
  Item.Routers_ = Beat.routers;
  const LogOffset Has(Beat.settings_offset);
  if (Has >= State_.settingsOffset()) {
    Item.Behind_ = 0;
    return;
  }
  if (++Item.Behind_ < MaxBehind)
    return;
  Item.Behind_ = 0;
  Item.SettingsOffset_ = Has;
  sendImage(Link, Item);
}

void Distributor::take(const PeerLinkPtr &Link, const wire::ClaimRequestT &Request) {
  const std::weak_ptr<PeerLink> Weak = Link;
  Claims_.claim(Request, [Weak](const wire::ClaimAnswerT &Answer) {
    if (const PeerLinkPtr Open = Weak.lock())
      Open->send(makeFrame(Answer));
  });
}

void Distributor::onSettingsRecord(LogOffset Offset, std::string_view Body) {
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

void Distributor::onSettingsImage() {
  for (auto &[Link, Item] : Subscribers_)
    if (Item.SettingsOffset_ < State_.settingsOffset())
      sendImage(Link, Item);
}

void Distributor::sendImage(const PeerLinkPtr &Link, Subscriber &Item) {
  wire::SettingsImageT Image;
  Image.offset = State_.settingsOffset().value();
  Image.body = State_.settingsImage();
  if (Image.body.empty() || !Link->send(makeFrame(std::move(Image))))
    return;
  Item.SettingsOffset_ = State_.settingsOffset();
}

void Distributor::pushEndpoints() {
  for (auto &[Link, Item] : Subscribers_)
    pushEndpointsTo(Link, Item);
}

void Distributor::pushEndpointsTo(const PeerLinkPtr &Link, Subscriber &Item) {
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

std::size_t Distributor::ownRouters() const {
  return static_cast<std::size_t>(
      std::count_if(Subscribers_.begin(), Subscribers_.end(), [](const auto &Entry) {
        return Entry.first->hello().role == wire::Role::Router;
      }));
}

std::uint32_t Distributor::allRouters() const {
  auto Count = static_cast<std::uint32_t>(ownRouters());
  for (const auto &[Link, Item] : Subscribers_)
    Count += Item.Routers_;
  return std::max(Count, 1U);
}

void Distributor::sendShares() {
  const std::uint32_t Routers = allRouters();
  for (auto &[Link, Item] : Subscribers_) {
    if (Link->hello().role != wire::Role::Router)
      continue;
    wire::LimitSharesT Shares;
    Shares.default_share = Shares_.defaultShare();
    Shares.routers = Routers;
    for (const CustomerShare &Share : Shares_.sharesOf(InstanceId(Link->hello().instance))) {
      auto Entry = std::make_unique<wire::LimitShareT>();
      Entry->customer = Share.Customer_.str();
      Entry->share = Share.Share_;
      Shares.shares.push_back(std::move(Entry));
    }
    Link->send(makeFrame(std::move(Shares)));
  }
}

std::uint64_t Distributor::bytesIn() const {
  std::uint64_t Sum = ClosedBytesIn_;
  for (const auto &[Link, Item] : Subscribers_)
    Sum += Link->bytesIn();
  return Sum;
}

std::uint64_t Distributor::bytesOut() const {
  std::uint64_t Sum = ClosedBytesOut_;
  for (const auto &[Link, Item] : Subscribers_)
    Sum += Link->bytesOut();
  return Sum;
}

boost::json::array Distributor::state() const {
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
