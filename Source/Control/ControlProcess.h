#pragma once

#include "Config/ControlSettings.h"
#include "Control/AdminApi.h"
#include "Control/ClaimOrderer.h"
#include "Control/Distributor.h"
#include "Control/EndpointFeed.h"
#include "Control/PeerSubscription.h"
#include "Control/SettingsFollower.h"
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

/// The control program: follows the platform, polls the endpoints of its data centre, tells the
/// other controls, serves routers and operators. All instances run it alike; none is a leader.
/// Not thread-safe: everything runs on one event loop.
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

  /// Starts to listen. Errors: BadAddress, BindFailed.
  std::error_code start();
  /// The frames' address and the administration's, for the line that a start prints.
  std::string listening() const;
  /// Runs until a signal.
  void run();

private:
  boost::json::object state() const override;
  std::string notReadyReason() const override;
  std::string metricsText() const override;

  LogOffset settingsOffset() const override;
  std::string settingsImage() const override;
  LogOffset claimTail() const override { return Claims_.tail(); }
  bool platformUp() const override { return List_.isUp(); }
  std::size_t ownRouters() const override { return Distributor_.ownRouters(); }
  std::vector<CustomerDemand> ownDemand() const override { return Shares_.ownDemand(); }

  void onPeerImage(LogOffset Offset, std::string_view Image) override;
  void onPeerRecord(LogOffset Offset, std::string_view Body) override;
  void onPeerEndpoint(const Endpoint &Record, TimePoint TrueAt) override;

  void onSettingsRecord(LogOffset Offset, std::string_view Body) override;
  void onSettingsImage() override;

  boost::json::array endpoints() const override;

  void handle(HttpRequest Request, HttpResponderPtr Responder) override;

  bool ownsPoll(const Endpoint &Known) const;
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
  LimitShareAllocator Shares_;
  LoopScheduler Scheduler_;
  SettingsFollower Follower_;
  ClaimOrderer Claims_;
  InstanceListFollower List_;
  EndpointPoller Poller_;
  Distributor Distributor_;
  std::vector<std::unique_ptr<PeerSubscription>> Peers_;
  AdminApi Admin_;
  StateServer StateHandler_;
  HttpServer AdminHttp_;
  SignalWatcher Signals_;
  Timer SharesTimer_;
  /// The controls of the own data centre that are up, this one included; sorted.
  std::vector<std::string> LocalControls_;
};

} // namespace rattancart
