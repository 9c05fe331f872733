#include "Router/RouterProcess.h"

#include "Process/ProcessUsage.h"
#include "Router/PoolCapacity.h"
#include "Watch/EndpointJson.h"

#include <utility>

namespace rattancart {

namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(500);
constexpr Duration DrainInterval = std::chrono::milliseconds(50);

AdmissionOptions admissionOptions(const RouterSettings &Settings) {
  AdmissionOptions Options;
  Options.MaxQueued_ = Settings.MaxQueued_;
  Options.MakeLimit_ = makePoolLimit;
  return Options;
}

Incarnation incarnationFromClock(const Clock &Time) {
  return Incarnation(static_cast<std::uint64_t>(Time.wallNow().time_since_epoch().count()));
}

} // namespace

RouterProcess::RouterProcess(RouterSettings Settings, const Clock &Time, Logger &Log)
    : Settings_(std::move(Settings)), Time_(Time), Log_(Log),
      Incarnation_(incarnationFromClock(Time)), Random_(std::random_device{}()), Client_(Loop_),
      Endpoints_(Time, Settings_.EndpointFreshness_), Admission_(admissionOptions(Settings_)),
      View_(Loop_, Time, Log, Random_,
            {Settings_.Process_.Instance_, Settings_.Process_.DataCenter_, Incarnation_},
            Settings_.Controls_, Endpoints_, *this),
      Services_{Loop_,
                Time,
                Log,
                Client_,
                Endpoints_,
                View_.claims(),
                Random_,
                Settings_.Process_.DataCenter_,
                Settings_.Process_.Instance_},
      Models_(Services_), Calls_(Services_, RetryBudget_),
      Dispatcher_(Loop_, Time, Log, Metrics_, Settings_.Process_.Instance_, Incarnation_, *this,
                  Admission_, Models_, Calls_),
      Poller_(
          Loop_, Time, Log, Client_, Endpoints_,
          [this](const Endpoint &Known) { return shouldPollDirectly(Known); },
          [this](const EndpointId &, EndpointChange) { onViewChanged(); }),
      CallerServer_(Loop_, Settings_.Http_, Dispatcher_, Log), StateHandler_(*this),
      StateHttpServer_(Loop_, {}, StateHandler_, Log), Signals_(Loop_, [this] { onSignal(); }),
      Drain_({Settings_.ShutdownGrace_, Settings_.ShutdownLimit_}), DrainTimer_(Loop_) {}

RouterProcess::~RouterProcess() = default;

std::error_code RouterProcess::start() {
  if (const std::error_code Failure = StateHttpServer_.listen(Settings_.StateListen_))
    return Failure;
  if (const std::error_code Failure = CallerServer_.listen(Settings_.Listen_))
    return Failure;
  View_.start();
  Poller_.start(PollInterval);
  Log_.log(LogEvent::ProcessStarted, {{"listen", CallerServer_.address().str()},
                                      {"state", StateHttpServer_.address().str()},
                                      {"data_center", Settings_.Process_.DataCenter_.str()}});
  return {};
}

std::string RouterProcess::listening() const {
  return CallerServer_.address().str() + " state " + StateHttpServer_.address().str();
}

void RouterProcess::run() { Loop_.run(); }

std::string RouterProcess::notReadyReason() const {
  if (!Drain_.isReady())
    return "shutting down";
  if (!View_.hasView())
    return "no settings or endpoints yet";
  return {};
}

bool RouterProcess::shouldPollDirectly(const Endpoint &Known) const {
  // Control processes refresh each record well within this time. The router polls an endpoint
  // itself once no control process refreshes it, because all are gone or unreachable.
  return Known.State_ == EndpointState::Live &&
         Time_.now() - Endpoints_.heardAt(Known.Id_) > Settings_.EndpointFreshness_ * 5 / 8;
}

void RouterProcess::onViewChanged() {
  if (!View_.hasView())
    return;
  Dispatcher_.onViewChanged();
  updatePoolCapacity(Admission_, Endpoints_, Routers_);
  Models_.onViewChanged();
  Calls_.onViewChanged();
}

void RouterProcess::onShares(const std::vector<CustomerShare> &Shares, double Default) {
  Admission_.setShares(Shares, Default, Time_.now());
}

void RouterProcess::onRouters(std::size_t Count) {
  Routers_ = Count;
  Models_.setRouters(Count);
  updatePoolCapacity(Admission_, Endpoints_, Count);
}

std::vector<CustomerDemand> RouterProcess::takeDemand() {
  return Admission_.takeDemand(Time_.now());
}

std::size_t RouterProcess::inFlight() const {
  // Answers that are not yet written count, and so do connections that may still send a request.
  return Dispatcher_.inFlight() + CallerServer_.stats().Open_;
}

void RouterProcess::onSignal() {
  Log_.log(LogEvent::ShutdownStarted, {{"in_flight", Dispatcher_.inFlight()}});
  Drain_.request(inFlight(), Time_.now());
  DrainTimer_.every(DrainInterval, [this] { drainTick(); });
  drainTick();
}

void RouterProcess::drainTick() {
  Drain_.tick(inFlight(), Time_.now());
  if (Drain_.phase() == DrainPhase::Draining && std::exchange(Accepting_, false))
    CallerServer_.drain();
  if (Drain_.phase() == DrainPhase::Finished)
    finish();
}

void RouterProcess::finish() {
  const std::size_t Cut = Dispatcher_.inFlight() + CallerServer_.stats().InFlight_;
  if (Cut > 0)
    Log_.log(LogEvent::ShutdownCut, {{"requests", Cut}});
  Log_.log(LogEvent::ShutdownFinished, {{"in_flight", Cut}});
  Loop_.stop();
}

boost::json::object RouterProcess::state() const {
  const HttpServerStats Server = CallerServer_.stats();
  const HttpClientStats Client = Client_.stats();
  boost::json::object State;
  State["role"] = "router";
  State["instance"] = Settings_.Process_.Instance_.str();
  State["data_center"] = Settings_.Process_.DataCenter_.str();
  State["incarnation"] = Incarnation_.value();
  State["not_ready"] = notReadyReason();
  State["process"] = processUsage();
  State["view"] = View_.state();
  State["routers"] = Routers_;
  State["front"] = Dispatcher_.state();
  State["models"] = Models_.state();
  State["calls"] = Calls_.state();
  State["endpoints"] = endpointsJson(Endpoints_, Time_.now());
  State["callers"] = {{"open", Server.Open_},
                      {"in_flight", Server.InFlight_},
                      {"accepted", Server.Accepted_},
                      {"requests", Server.Requests_},
                      {"malformed", Server.Malformed_},
                      {"timed_out", Server.TimedOut_},
                      {"callers_gone", Server.CallersGone_}};
  State["client"] = {{"sent", Client.Sent_},
                     {"failed", Client.Failed_},
                     {"connects", Client.Connects_},
                     {"idle", Client.Idle_},
                     {"in_flight", Client.InFlight_}};
  State["metrics"] = Metrics_.state();
  return State;
}

std::string RouterProcess::metricsText() const {
  return Metrics_.prometheusText("rattancart_router_");
}

} // namespace rattancart
