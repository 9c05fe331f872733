#pragma once

#include "Core/Recovery/DrainState.h"
#include "Core/Recovery/EndpointSlowStart.h"
#include "Gateway/EngineStateBroadcast.h"
#include "Gateway/GatewayRequestHandler.h"
#include "Gateway/GatewaySettings.h"
#include "Gateway/MetadataStore.h"
#include "Gateway/PlacementCoordinator.h"
#include "Gateway/StoreRelay.h"
#include "Process/SignalWatcher.h"
#include "Process/StateServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <string>
#include <system_error>

namespace rattancart {

/// The parts of the gateway that are specific to a platform.
struct GatewayPlatform {
  const EndpointProtocol &Protocol_;
  /// Makes the client of the platform's store.
  std::function<std::unique_ptr<MetadataStore>(boost::asio::io_context &, const Clock &, Logger &,
                                               MetricSet &, HttpClient &, const NetAddress &)>
      MakeStore_;
};

/// The gateway process of one machine: serves callers, follows the platform's store, and monitors
/// engines and their placement. Needs no control process and no disk. Not thread-safe.
class GatewayProcess final : private StoreObserver, private StateSource, private HttpHandler {
public:
  /// Precondition: Platform, Time and Log outlive the process.
  GatewayProcess(GatewaySettings Settings, std::string SettingsFile,
                 const GatewayPlatform &Platform, const Clock &Time, Logger &Log);
  ~GatewayProcess() override;

  /// Errors: BadAddress, BindFailed.
  std::error_code start();
  std::string listening() const;
  /// Returns after a shutdown.
  void run();

private:
  void onConfig(ServingConfig Config) override;
  void onListed(EndpointListing Listing) override;
  void onUnlisted(const EndpointId &Id, std::optional<TimePoint> MayReappearUntil) override;
  void onStoreReturned(const StoreReturn &Return) override;
  void onListComplete() override;
  void onStoreReachable(bool Reachable) override;

  /// Passes a request on to the request handler, or refuses it if it may outlast a shutdown.
  void handle(HttpRequest Request, HttpResponderPtr Responder) override;
  bool mayOutlastShutdown(const CallerRequest &Caller) const;

  boost::json::object state() const override;
  std::string notReadyReason() const override;
  std::string metricsText() const override;

  void subscribeToEngineEvents();
  /// Connects the parts that forward requests while this gateway reaches no endpoint.
  void startForwarding();
  void onReachabilityChange(const ReachabilityChange &Change);
  void updateReadiness();
  /// Handles the requests that arrived before the configuration and the list, once both are there.
  void routeWaitingRequests();
  void countGateways();
  /// Tells the reserve of memory for urgent classes the size of this data centre.
  void updateReserve();
  /// Tells the slow start what is known of all endpoints, and logs which began or ended.
  void updateSlowStart();
  void takeSlowStartOptions(SlowStartOptions Options);
  void measureLoopDelay();
  void onShutdownSignal();
  void drainTick();
  void finish();
  void watchReload();
  void reload();
  std::size_t inFlight() const;

  GatewaySettings Settings_;
  std::string SettingsFile_;
  const Clock &Time_;
  Logger &Log_;
  boost::asio::io_context Loop_{1};
  std::mt19937 Random_;
  MetricSet Metrics_;
  HttpClient Client_;
  HttpClient StoreClient_;
  std::unique_ptr<MetadataStore> Store_;
  ConfigHolder Config_;
  EndpointRoster Roster_;
  EngineProber Prober_;
  PathChooser Paths_;
  RetryShare Retries_;
  GatewayCountEstimator CountEstimator_;
  StreamAdmissionQueue AdmissionQueue_;
  PromptQuarantine Quarantine_;
  /// See PromptQuarantine::spreadTrials.
  double TrialPosition_;
  EndpointLimiter Limiter_;
  ReachabilityMonitor Reach_;
  PeerDirectory Peers_;
  DatagramSocket Datagrams_;
  EndpointSlowStart SlowStart_;
  EngineStateBroadcast StateBroadcast_;
  StoreRelay StoreRelay_;
  PlacementCoordinator PlacementCoordinator_;
  GatewayContext Context_;
  GatewayRequestHandler RequestHandler_;
  PeerRequestHandler PeerHandler_;
  const EndpointProtocol &Protocol_;
  HttpServer CallerServer_;
  StateServer StateHandler_;
  HttpServer StateHttp_;
  HttpServer MetricsHttp_;
  /// Takes requests that other gateways forward.
  HttpServer PeerServer_;
  SignalWatcher Signals_;
  boost::asio::signal_set ReloadSignal_;
  DrainState Drain_;
  /// When a shutdown that has begun cuts the requests that are still in flight.
  TimePoint ShutdownEnd_ = TimePoint::max();
  Timer DrainTimer_;
  Timer Housekeeping_;
  Timer LoopDelayTimer_;
  Timer ReachTimer_;
  bool ListComplete_ = false;
  /// When the last record of the endpoint list arrived.
  TimePoint ListHeardAt_{};
  bool StoreReachable_ = true;
  bool WasReady_ = false;
  /// False once a shutdown accepts no more connections.
  bool Accepting_ = true;
};

} // namespace rattancart
