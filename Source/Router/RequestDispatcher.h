#pragma once

#include "Core/Admission/AdmissionController.h"
#include "Core/Common/Clock.h"
#include "Core/Common/Logger.h"
#include "Core/Recovery/PauseDetector.h"
#include "Core/Routing/RouteTable.h"
#include "Net/HttpServer.h"
#include "Net/Timer.h"
#include "Process/MetricSet.h"
#include "Router/RouteHandler.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>

namespace rattancart {

/// The router's view of the system, as far as the dispatcher needs it.
class ViewSource {
public:
  virtual ~ViewSource() = default;
  /// Whether settings and endpoints are known, so that requests can be served.
  virtual bool hasView() const = 0;
  virtual SettingsViewPtr settings() const = 0;
  /// The claim position of a request that is read now.
  virtual LogOffset claimTail() const = 0;
  /// Whether everything that a control process knew at At has arrived.
  virtual bool isRenewedSince(TimePoint At) const = 0;
};

/// Dispatches callers' requests: finds the route and the customer of a request, passes it through
/// admission control and hands it to the handler for the route's kind. After a pause of the process
/// it holds new requests until the view is renewed, but only for a limited time. Not thread-safe.
class RequestDispatcher final : public HttpHandler {
public:
  /// Precondition: all references outlive the dispatcher.
  RequestDispatcher(boost::asio::io_context &Loop, const Clock &Time, Logger &Log,
                    MetricSet &Metrics, InstanceId Instance, Incarnation RouterIncarnation,
                    const ViewSource &View, AdmissionController &Admission, RouteHandler &Models,
                    RouteHandler &Calls);

  void handle(HttpRequest Http, HttpResponderPtr Responder) override;
  /// Call it when the settings view changed.
  void onViewChanged();
  /// The number of requests that have not ended, including those that wait.
  std::size_t inFlight() const { return Pending_.size() + HeldRequests_.size(); }
  boost::json::object state() const;

private:
  /// A request that was read and not yet routed.
  struct Arrival {
    HttpRequest Http_;
    HttpResponderPtr Responder_;
    TimePoint At_{};
    LogOffset ClaimPosition_{0};
  };
  /// The answer to a request that the dispatcher refuses itself.
  struct Refusal {
    RequestId Id_;
    std::uint32_t Status_ = 503;
    std::error_code Reason_;
    std::string Detail_;
    Outcome Outcome_ = Outcome::Unknown;
  };
  /// A request in the admission queue or with its handler.
  struct Pending {
    /// Empty once the request was handed to its handler.
    std::optional<RoutedRequest> Request_;
    TimePoint ArrivedAt_{};
    std::string RouteName_;
    PoolId Pool_;
  };

  AdmissionRequest makeAdmissionRequest(const RoutedRequest &Request) const;
  void updateMeanTokens(const PoolId &Pool, std::uint32_t Tokens);
  void tick();
  void checkForPause(TimePoint Now);
  void releaseHeldRequests();
  void route(Arrival Item);
  void admit(RoutedRequest Request);
  void dispatch(AdmissionTicket Ticket);
  void finished(AdmissionTicket Ticket, const RequestEnd &End);
  void handleAdmissionQueue();
  void refuse(HttpResponder &Responder, const Refusal &Cause);
  RequestId nextRequestId();

  const Clock &Time_;
  Logger &Log_;
  MetricSet &Metrics_;
  std::string IdPrefix_;
  const ViewSource &View_;
  AdmissionController &Admission_;
  RouteHandler &Models_;
  RouteHandler &Calls_;
  std::unique_ptr<RouteTable> Routes_;
  std::map<AdmissionTicket, Pending> Pending_;
  std::deque<Arrival> HeldRequests_;
  /// The mean number of tokens that a request of a model's pool produces.
  std::map<PoolId, double> MeanTokens_;
  /// When the process resumed after a pause; empty once the view can be trusted again.
  std::optional<TimePoint> ResumedAt_;
  PauseDetector Pause_;
  std::uint64_t NextRequest_ = 1;
  Timer TickTimer_;
};

} // namespace rattancart
