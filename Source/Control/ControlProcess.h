#pragma once

#include "Config/ControlSettings.h"
#include "Control/AdminApi.h"
#include "Control/ClaimOrderer.h"
#include "Control/EndpointFeed.h"
#include "Control/PeerSubscription.h"
#include "Control/SettingsFollower.h"
#include "Control/SubscriptionServer.h"
#include "Core/Admission/LimitShareAllocator.h"
#include "Core/Membership/EndpointTable.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Process/MetricSet.h"
#include "Process/SignalWatcher.h"
#include "Process/StateServer.h"
#include "Watch/EndpointPoller.h"
#include "Watch/InstanceListFollower.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace rattancart {

/// The control program: reads settings and claims from the platform, polls the endpoints of its
/// data centre, reports them to the other controls, and serves routers and operators. All control
/// processes do the same; there is no leader. Not thread-safe: everything runs on one event loop.
class ControlProcess final : private StateSource,
                             private LocalState,
                             private PeerListener,
                             private SettingsListener,
                             private EndpointDirectory,
                             private HttpHandler {
public:
  /// Precondition: Time and Log outlive the process.
  ControlProcess(ControlSettings Settings, const Clock &Time, Logger &Log);
  ~ControlProcess() override;
  ControlProcess(const ControlProcess &) = delete;
  ControlProcess &operator=(const ControlProcess &) = delete;

  /// Starts to listen and to read from the platform. Errors: BadAddress, BindFailed.
  std::error_code start();
  /// The addresses for frames and for the administration API, for the line printed at the start.
  std::string listening() const;
  /// Runs the event loop until a signal to stop.
  void run();

private:
  boost::json::object state() const override;
  std::string notReadyReason() const override;
  std::string metricsText() const override;

  LogOffset settingsOffset() const override;
  std::string settingsImage() const override;
  LogOffset claimTail() const override { return Claims_.tail(); }
  bool platformUp() const override { return InstanceList_.isUp(); }
  std::size_t linkedRouters() const override { return SubscriptionServer_.linkedRouters(); }
  std::vector<CustomerDemand> ownDemand() const override { return ShareAllocator_.ownDemand(); }

  void onPeerImage(LogOffset Offset, std::string_view Image) override;
  void onPeerRecord(LogOffset Offset, std::string_view Body) override;
  void onPeerEndpoint(const Endpoint &Record, TimePoint ObservedAt) override;

  void onSettingsRecord(LogOffset Offset, std::string_view Body) override;
  void onSettingsImage() override;

  boost::json::array endpoints() const override;

  void handle(HttpRequest Request, HttpResponderPtr Responder) override;

  bool shouldPoll(const Endpoint &Known) const;
  void settingsChanged();
  void updatePeers();
  void computeShares();

  ControlSettings Settings_;
  const Clock &Time_;
  Logger &Log_;
  boost::asio::io_context Loop_;
  std::mt19937_64 Random_;
  ControlIdentity Identity_;
  MetricSet Metrics_;
  HttpClient Client_;
  HttpLogClient Platform_;
  EndpointTable Endpoints_;
  EndpointFeed Feed_;
  LimitShareAllocator ShareAllocator_;
  LoopScheduler Scheduler_;
  SettingsFollower Follower_;
  ClaimOrderer Claims_;
  InstanceListFollower InstanceList_;
  EndpointPoller Poller_;
  SubscriptionServer SubscriptionServer_;
  std::vector<std::unique_ptr<PeerSubscription>> Peers_;
  AdminApi Admin_;
  StateServer StateHandler_;
  HttpServer AdminHttp_;
  SignalWatcher Signals_;
  Timer SharesTimer_;
  /// The controls of this data centre that are up, this one included; sorted.
  std::vector<std::string> LocalControls_;
};

} // namespace rattancart
