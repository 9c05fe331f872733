#pragma once

#include "Config/RouterSettings.h"
#include "Core/Admission/AdmissionController.h"
#include "Core/Common/Clock.h"
#include "Core/Common/Logger.h"
#include "Core/Membership/EndpointTable.h"
#include "Core/Recovery/DrainState.h"
#include "Core/Recovery/RouteRetryBudget.h"
#include "Net/HttpClient.h"
#include "Net/HttpServer.h"
#include "Net/Timer.h"
#include "Process/MetricSet.h"
#include "Process/SignalWatcher.h"
#include "Process/StateServer.h"
#include "Router/CallHandler.h"
#include "Router/ModelHandler.h"
#include "Router/RequestDispatcher.h"
#include "Router/ViewFollower.h"
#include "Watch/EndpointPoller.h"

#include <boost/asio/io_context.hpp>

#include <random>
#include <string>
#include <system_error>

namespace rattancart {

/// The router program: the server for callers, the state server, the request handlers and the link
/// to a control process.
/// Not thread-safe: everything runs on one event loop.
class RouterProcess final : private StateSource, private ViewSource, private ViewListener {
public:
  /// Precondition: Time and Log outlive the process.
  RouterProcess(RouterSettings Settings, const Clock &Time, Logger &Log);
  ~RouterProcess() override;
  RouterProcess(const RouterProcess &) = delete;
  RouterProcess &operator=(const RouterProcess &) = delete;

  /// Starts to listen and to dial the control processes. Errors: BadAddress, BindFailed.
  std::error_code start();
  /// The addresses for callers and of the state server, for the line printed at the start.
  std::string listening() const;
  /// Runs the event loop until a shutdown has finished.
  void run();

private:
  boost::json::object state() const override;
  std::string notReadyReason() const override;
  std::string metricsText() const override;

  bool hasView() const override { return View_.hasView(); }
  SettingsViewPtr settings() const override { return View_.settings().view(); }
  LogOffset claimTail() const override { return View_.claimTail(); }
  bool isRenewedSince(TimePoint At) const override { return View_.isRenewedSince(At); }

  void onViewChanged() override;
  void onShares(const std::vector<CustomerShare> &Shares, double Default) override;
  void onRouters(std::size_t Count) override;
  std::vector<CustomerDemand> takeDemand() override;

  bool shouldPollDirectly(const Endpoint &Known) const;
  std::size_t inFlight() const;
  void onSignal();
  void drainTick();
  void finish();

  RouterSettings Settings_;
  const Clock &Time_;
  Logger &Log_;
  Incarnation Incarnation_;
  boost::asio::io_context Loop_;
  std::mt19937_64 Random_;
  MetricSet Metrics_;
  HttpClient Client_;
  EndpointTable Endpoints_;
  AdmissionController Admission_;
  ViewFollower View_;
  RouteRetryBudget RetryBudget_;
  RouterServices Services_;
  ModelHandler Models_;
  CallHandler Calls_;
  RequestDispatcher Dispatcher_;
  EndpointPoller Poller_;
  HttpServer CallerServer_;
  StateServer StateHandler_;
  HttpServer StateHttpServer_;
  SignalWatcher Signals_;
  DrainState Drain_;
  Timer DrainTimer_;
  bool Accepting_ = true;
  /// The number of routers that share the endpoints, this one included.
  std::size_t Routers_ = 1;
};

} // namespace rattancart
