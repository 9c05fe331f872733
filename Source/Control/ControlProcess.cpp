#include "Control/ControlProcess.h"

#include "Core/Common/Hash.h"
#include "Process/ProcessUsage.h"
#include "Watch/EndpointJson.h"

#include <algorithm>
#include <utility>

namespace rattancart {

namespace {

/// An endpoint's record is valid for this long after the time at which it was last known true.
constexpr Duration EndpointFreshness = std::chrono::seconds(4);
/// Load reports of one endpoint are passed on at most once in this interval.
constexpr Duration LoadRefreshInterval = std::chrono::seconds(1);
/// Records of the log are no larger than this, so no change can be.
constexpr std::size_t MaxChangeBytes = 4UL * 1024 * 1024;
/// The time between two appends of claims by all controls together: 300 appends a second.
constexpr Duration AppendSpacing = std::chrono::microseconds(3'333);
constexpr Duration SharesInterval = std::chrono::seconds(1);
/// The number of control processes of a data centre that poll one endpoint. There are two, so that
/// polling goes on without a gap when one of them dies.
constexpr std::size_t PollersPerEndpoint = 2;

Incarnation incarnationFromClock(const Clock &Time) {
  return Incarnation(static_cast<std::uint64_t>(Time.wallNow().time_since_epoch().count()));
}

HttpServerOptions adminOptions() {
  HttpServerOptions Options;
  Options.MaxBodyBytes_ = MaxChangeBytes;
  return Options;
}

SequencerOptions claimOptions(const ControlSettings &Settings) {
  SequencerOptions Options;
  // Each control appends its own batches. The interval grows with the number of controls, so that
  // together they don't exceed the rate that the log accepts.
  const auto Controls = static_cast<std::int64_t>(Settings.Peers_.size() + 1);
  Options.MinInterval_ = std::max(Options.MinInterval_, AppendSpacing * Controls);
  return Options;
}

SettingsFollowerOptions followerOptions(const ControlSettings &Settings) {
  SettingsFollowerOptions Options;
  Options.Self_ = Settings.Process_.Instance_;
  return Options;
}

} // namespace

ControlProcess::ControlProcess(ControlSettings Settings, const Clock &Time, Logger &Log)
    : Settings_(std::move(Settings)), Time_(Time), Log_(Log),
      Random_(std::random_device{}()), Identity_{Settings_.Process_.Instance_,
                                                 Settings_.Process_.DataCenter_,
                                                 incarnationFromClock(Time),
                                                 Settings_.AdminListen_},
      Client_(Loop_), Platform_(Client_, Settings_.Platform_, Settings_.PlatformTimeout_),
      Endpoints_(Time, EndpointFreshness),
      Feed_(Time, Endpoints_, Settings_.Process_.DataCenter_, LoadRefreshInterval),
      ShareAllocator_({Settings_.Process_.DataCenter_, Settings_.DataCenters_}), Scheduler_(Loop_),
      Follower_({Platform_, Time, Scheduler_, Log, Random_}, followerOptions(Settings_), *this),
      Claims_(Loop_, Time, Log, Platform_,
              Settings_.Process_.Instance_.str() + "-" +
                  std::to_string(Identity_.Incarnation_.value()),
              claimOptions(Settings_)),
      InstanceList_(
          Loop_, Time, Log, Platform_, Endpoints_,
          [this](const EndpointId &Id, EndpointChange Change) { Feed_.onChange(Id, Change); }),
      Poller_(
          Loop_, Time, Log, Client_, Endpoints_,
          [this](const Endpoint &Known) { return shouldPoll(Known); },
          [this](const EndpointId &Id, EndpointChange Change) { Feed_.onChange(Id, Change); }),
      SubscriptionServer_(Loop_, Time, Log, Identity_, *this, Feed_, ShareAllocator_, Claims_),
      Admin_(Follower_, *this, Log, Random_, {Settings_.BootstrapTokenHash_}),
      StateHandler_(*this, this), AdminHttp_(Loop_, adminOptions(), StateHandler_, Log),
      Signals_(Loop_, [this] { Loop_.stop(); }), SharesTimer_(Loop_) {
  const LocalState &Local = *this;
  PeerListener &Listener = *this;
  for (const NetAddress &Address : Settings_.Peers_)
    Peers_.push_back(std::make_unique<PeerSubscription>(Loop_, Time, Log, Random_, Identity_, Local,
                                                        Listener, Address));
}

ControlProcess::~ControlProcess() = default;

std::error_code ControlProcess::start() {
  if (const std::error_code Failure = SubscriptionServer_.listen(Settings_.FrameListen_))
    return Failure;
  if (const std::error_code Failure = AdminHttp_.listen(Settings_.AdminListen_))
    return Failure;
  Identity_.AdminAddress_ = AdminHttp_.address();
  updatePeers();
  Follower_.start();
  Claims_.start();
  InstanceList_.start(Settings_.ListPoll_);
  Poller_.start(Settings_.EndpointPoll_);
  for (const auto &Peer : Peers_)
    Peer->start();
  SharesTimer_.every(SharesInterval, [this] {
    updatePeers();
    computeShares();
  });
  Log_.log(LogEvent::ProcessStarted, {{"frames", SubscriptionServer_.address().str()},
                                      {"admin", AdminHttp_.address().str()},
                                      {"data_center", Settings_.Process_.DataCenter_.str()}});
  return {};
}

std::string ControlProcess::listening() const {
  return SubscriptionServer_.address().str() + " admin " + AdminHttp_.address().str();
}

void ControlProcess::run() { Loop_.run(); }

std::string ControlProcess::notReadyReason() const {
  return settingsOffset() == NoOffset ? "no settings yet" : "";
}

LogOffset ControlProcess::settingsOffset() const { return Follower_.replica().offset(); }

std::string ControlProcess::settingsImage() const {
  return settingsOffset() == NoOffset ? std::string() : Follower_.replica().log().image();
}

void ControlProcess::onPeerImage(LogOffset Offset, std::string_view Image) {
  Follower_.offerImage(Offset, std::string(Image));
}

void ControlProcess::onPeerRecord(LogOffset Offset, std::string_view Body) {
  Follower_.offerRecord(Offset, std::string(Body));
}

void ControlProcess::onPeerEndpoint(const Endpoint &Record, TimePoint ObservedAt) {
  Feed_.onChange(Record.Id_, Endpoints_.apply(Record, ObservedAt));
}

void ControlProcess::onSettingsRecord(LogOffset Offset, std::string_view Body) {
  settingsChanged();
  SubscriptionServer_.onSettingsRecord(Offset, Body);
}

void ControlProcess::onSettingsImage() {
  settingsChanged();
  SubscriptionServer_.onSettingsImage();
}

void ControlProcess::settingsChanged() {
  const SettingsViewPtr View = Follower_.replica().view();
  Endpoints_.setDrained(View->Drained_);
  Duration Window{};
  for (const auto &[Id, Traits] : View->Services_)
    Window = std::max(Window, Traits.DedupWindow_);
  if (Window > Duration{})
    Claims_.setDedupWindow(Window);
}

void ControlProcess::updatePeers() {
  std::vector<std::string> Local{Identity_.Instance_.str()};
  std::vector<std::string> All = Local;
  for (const auto &Peer : Peers_) {
    if (!Peer->isUp())
      continue;
    All.push_back(Peer->peer().str());
    if (Peer->dataCenter() == Identity_.DataCenter_)
      Local.push_back(Peer->peer().str());
  }
  std::sort(Local.begin(), Local.end());
  std::sort(All.begin(), All.end());
  LocalControls_ = std::move(Local);
  Follower_.setPeers(std::move(All));
}

void ControlProcess::computeShares() {
  ShareAllocator_.compute(Time_.now());
  SubscriptionServer_.sendShares();
}

bool ControlProcess::shouldPoll(const Endpoint &Known) const {
  if (Known.DataCenter_ != Identity_.DataCenter_)
    return false;
  const auto Pollers = rendezvousOrder(Known.Id_.str(), LocalControls_, PollersPerEndpoint);
  return std::any_of(Pollers.begin(), Pollers.end(), [&](std::size_t Index) {
    return LocalControls_[Index] == Identity_.Instance_.str();
  });
}

void ControlProcess::handle(HttpRequest Request, HttpResponderPtr Responder) {
  if (!Admin_.handle(Request, Responder))
    sendNotFound(*Responder);
}

boost::json::array ControlProcess::endpoints() const {
  return endpointsJson(Endpoints_, Time_.now());
}

boost::json::object ControlProcess::state() const {
  boost::json::object State;
  State["role"] = "control";
  State["instance"] = Identity_.Instance_.str();
  State["data_center"] = Identity_.DataCenter_.str();
  State["incarnation"] = Identity_.Incarnation_.value();
  State["not_ready"] = notReadyReason();
  State["process"] = processUsage();
  State["platform_up"] = platformUp();
  State["list_version"] = InstanceList_.version();
  State["settings"] = Follower_.state();
  State["claims"] = Claims_.state();
  State["links"] = SubscriptionServer_.state();
  boost::json::array Peers;
  for (const auto &Peer : Peers_)
    Peers.push_back(Peer->state());
  State["peers"] = std::move(Peers);
  State["endpoints"] = endpoints();
  State["shares"] = {{"sources", ShareAllocator_.sources()},
                     {"cut_off", ShareAllocator_.unreachableDataCenters()},
                     {"default", ShareAllocator_.defaultShare()}};
  const HttpClientStats Client = Client_.stats();
  State["client"] = {{"sent", Client.Sent_},
                     {"failed", Client.Failed_},
                     {"connects", Client.Connects_},
                     {"in_flight", Client.InFlight_}};
  State["bytes"] = {{"links_in", SubscriptionServer_.bytesIn()},
                    {"links_out", SubscriptionServer_.bytesOut()}};
  State["metrics"] = Metrics_.state();
  return State;
}

std::string ControlProcess::metricsText() const {
  return Metrics_.prometheusText("rattancart_control_");
}

} // namespace rattancart
