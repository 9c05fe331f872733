#include "Router/ViewFollower.h"

#include "Core/Common/ErrorCode.h"
#include "Link/EndpointWire.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

/// A claims tail starts to count this long after it was received. A stall of the event loop longer
/// than this restarts that time (see ClaimPositionTracker).
constexpr Duration ClaimSettleTime = std::chrono::milliseconds(250);
constexpr Duration StallCheckInterval = std::chrono::milliseconds(50);

} // namespace

ViewFollower::ViewFollower(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                           std::mt19937_64 &Random, RouterIdentity Identity,
                           std::vector<NetAddress> Controls, EndpointTable &Endpoints,
                           ViewListener &Listener)
    : Time_(Time), Log_(Log), Identity_(std::move(Identity)), Endpoints_(Endpoints),
      Listener_(Listener),
      Dialer_(Loop, Time, static_cast<PeerLinkOwner &>(*this), Random, std::move(Controls)),
      Claims_(Loop, Time, Log, static_cast<FrameSender &>(*this)), ClaimPosition_(ClaimSettleTime),
      StallCheckTimer_(Loop) {}

void ViewFollower::start() {
  StallCheckTimer_.every(StallCheckInterval, [this] { ClaimPosition_.detectStall(Time_.now()); });
  Dialer_.start();
}

bool ViewFollower::isUp() const { return Dialer_.link() != nullptr; }

bool ViewFollower::send(const wire::FrameT &Frame) {
  const PeerLinkPtr Link = Dialer_.link();
  return Link && Link->send(Frame);
}

wire::HelloT ViewFollower::makeHello() {
  wire::HelloT Hello;
  Hello.protocol = FrameProtocolVersion;
  Hello.role = wire::Role::Router;
  Hello.instance = Identity_.Instance_.str();
  Hello.data_center = Identity_.DataCenter_.str();
  Hello.incarnation = Identity_.Incarnation_.value();
  Hello.settings_offset = Settings_.offset().value();
  return Hello;
}

wire::HeartbeatT ViewFollower::makeHeartbeat() {
  wire::HeartbeatT Beat;
  Beat.settings_offset = Settings_.offset().value();
  for (const CustomerDemand &Demand : Listener_.takeDemand()) {
    auto Item = std::make_unique<wire::CustomerDemandT>();
    Item->customer = Demand.Customer_.str();
    Item->requests_per_second = Demand.RequestsPerSecond_;
    Item->tokens_per_second = Demand.TokensPerSecond_;
    Beat.demand.push_back(std::move(Item));
  }
  return Beat;
}

void ViewFollower::onLinkUp(const PeerLinkPtr &Link) {
  Log_.log(LogEvent::PeerConnected, {{"peer", Link->hello().instance},
                                     {"address", Dialer_.address().str()},
                                     {"offset", Link->hello().settings_offset}});
  Claims_.onLinkUp();
}

void ViewFollower::onLinkDown(const PeerLinkPtr &Link, std::error_code Reason) {
  ++LinksLost_;
  Log_.log(LogEvent::PeerLost, {{"peer", Link->hello().instance}, {"error", Reason.value()}});
  Claims_.onLinkLost();
  // The demand changes without this router being counted, so the shares it got no longer hold.
  Listener_.onShares({}, DefaultShare_);
}

void ViewFollower::onLinkFrame(const PeerLinkPtr &Link, const wire::FrameT &Frame) {
  if (const auto *Beat = Frame.payload.AsHeartbeat())
    return handle(Link, *Beat);
  if (const auto *Image = Frame.payload.AsSettingsImage())
    return handle(*Image);
  if (const auto *Record = Frame.payload.AsSettingsRecord())
    return handle(Link, *Record);
  if (const auto *Update = Frame.payload.AsEndpointUpdate())
    return handle(Link, *Update);
  if (const auto *Shares = Frame.payload.AsLimitShares())
    return handle(*Shares);
  if (const auto *Answer = Frame.payload.AsClaimAnswer())
    Claims_.onAnswer(*Answer);
}

void ViewFollower::handle(const PeerLinkPtr &Link, const wire::HeartbeatT &Beat) {
  ClaimPosition_.observeTail(LogOffset(Beat.claim_tail), Time_.now());
  // Frames arrive in order, so everything that the control had to send when it made this heartbeat
  // has arrived before it.
  if (Beat.settings_offset <= Settings_.offset().value())
    RenewedAt_ = std::max(RenewedAt_, Link->earliestCreationTime(Beat.echo));
}

void ViewFollower::handle(const wire::SettingsImageT &Image) {
  const ReplicaResult Result = Settings_.applyImage(LogOffset(Image.offset), Image.body);
  if (Result.State_ == ReplicaResult::State::Applied) {
    Log_.log(LogEvent::SnapshotApplied, {{"offset", Image.offset}});
    return settingsChanged();
  }
  if (Result.State_ == ReplicaResult::State::Ignored)
    return Log_.log(LogEvent::StaleViewIgnored,
                    {{"offset", Image.offset}, {"known", Settings_.offset().value()}});
  Log_.log(
      LogEvent::UnknownSchemaMet,
      {{"offset", Image.offset}, {"error", Result.Error_.value()}, {"detail", Result.Detail_}});
}

void ViewFollower::handle(const PeerLinkPtr &Link, const wire::SettingsRecordT &Record) {
  const ReplicaResult Result = Settings_.applyRecord(LogOffset(Record.offset), Record.body);
  switch (Result.State_) {
  case ReplicaResult::State::Applied:
    return settingsChanged();
  case ReplicaResult::State::Gap:
    // The hello of the next link contains this router's offset, so the control sends an image.
    return Link->close(ErrorCode::LogGap);
  case ReplicaResult::State::Stopped:
    return Log_.log(LogEvent::UnknownSchemaMet, {{"offset", Record.offset}});
  case ReplicaResult::State::Ignored:
  case ReplicaResult::State::Malformed:
    return;
  }
}

void ViewFollower::settingsChanged() {
  Endpoints_.setDrained(Settings_.view()->Drained_);
  Listener_.onViewChanged();
}

void ViewFollower::handle(const PeerLinkPtr &Link, const wire::EndpointUpdateT &Update) {
  const TimePoint MadeAfter = Link->earliestCreationTime(Update.echo);
  bool Changed = Update.full && !EndpointsSeen_;
  EndpointsSeen_ = EndpointsSeen_ || Update.full;
  for (const auto &Info : Update.endpoints) {
    const Duration Age = std::chrono::milliseconds(Info->age_ms);
    const TimePoint ObservedAt = MadeAfter.time_since_epoch() > Age ? MadeAfter - Age : TimePoint{};
    const EndpointChange Change = Endpoints_.apply(fromWire(*Info), ObservedAt);
    if (Change == EndpointChange::Leaving)
      Log_.log(LogEvent::EndpointLeaving, {{"endpoint", Info->id}});
    Changed = Changed || Change != EndpointChange::None;
  }
  if (Changed)
    Listener_.onViewChanged();
}

void ViewFollower::handle(const wire::LimitSharesT &Shares) {
  std::vector<CustomerShare> CustomerShares;
  for (const auto &Item : Shares.shares)
    CustomerShares.push_back({CustomerId(Item->customer), Item->share});
  DefaultShare_ = Shares.default_share;
  Listener_.onShares(CustomerShares, DefaultShare_);
  Listener_.onRouters(std::max(Shares.routers, 1U));
}

boost::json::object ViewFollower::state() const {
  boost::json::object State;
  const PeerLinkPtr Link = Dialer_.link();
  State["up"] = Link != nullptr;
  State["address"] = Dialer_.address().str();
  State["control"] = Link ? Link->hello().instance : "";
  State["links_lost"] = LinksLost_;
  State["settings_offset"] = Settings_.offset().value();
  State["settings_digest"] = std::to_string(Settings_.digest());
  State["settings_stopped"] = Settings_.stopped();
  State["claim_tail"] = ClaimPosition_.newestTail().value();
  State["view_age_s"] = RenewedAt_ == TimePoint{}
                            ? -1.0
                            : std::chrono::duration<double>(Time_.now() - RenewedAt_).count();
  State["claims"] = Claims_.state();
  State["bytes_in"] = Link ? Link->bytesIn() : 0;
  State["bytes_out"] = Link ? Link->bytesOut() : 0;
  return State;
}

} // namespace rattancart
