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

/// What the front asks of the router's view.
class FrontView {
public:
  virtual ~FrontView() = default;
  /// Whether there is a view to serve requests by.
  virtual bool hasView() const = 0;
  virtual SettingsViewPtr settings() const = 0;
  virtual LogOffset claimTail() const = 0;
  /// Whether all that was known elsewhere at At has arrived.
  virtual bool isRenewedSince(TimePoint At) const = 0;
};

/// Takes callers' requests: finds the route and the customer, asks the admission, and hands them
/// to the handler of the route's kind. After a pause of the process it holds requests until the
/// view is renewed, for a bounded time. Not thread-safe.
class RequestFront final : public HttpHandler {
public:
  /// Precondition: all references outlive the front.
  RequestFront(boost::asio::io_context &Loop, const Clock &Time, Logger &Log, MetricSet &Metrics,
               InstanceId Instance, Incarnation Run, const FrontView &View,
               AdmissionController &Admission, RouteHandler &Models, RouteHandler &Calls);

  void handle(HttpRequest Http, HttpResponderPtr Responder) override;
  /// The settings view changed.
  void onViewChanged();
  /// Requests taken and not yet ended, waiting ones included.
  std::size_t inFlight() const { return Pending_.size() + Held_.size(); }
  boost::json::object state() const;

private:
  struct Arrival {
    HttpRequest Http_;
    HttpResponderPtr Responder_;
    TimePoint At_{};
    LogOffset ClaimPosition_{0};
  };
  /// A request that is answered by the front itself.
  struct Refusal {
    RequestId Id_;
    std::uint32_t Status_ = 503;
    std::error_code Reason_;
    std::string Detail_;
    Outcome Outcome_ = Outcome::Unknown;
  };
  struct Pending {
    /// Empty once the request was handed to its handler.
    std::optional<RoutedRequest> Request_;
    TimePoint ArrivedAt_{};
    std::string RouteName_;
    PoolId Pool_;
  };

  AdmissionRequest admissionOf(const RoutedRequest &Request) const;
  void learnTokens(const PoolId &Pool, std::uint32_t Tokens);
  void tick();
  void notePause(TimePoint Now);
  void releaseHeld();
  void route(Arrival Item);
  void admit(RoutedRequest Request);
  void dispatch(AdmissionTicket Ticket);
  void finished(AdmissionTicket Ticket, const RequestEnd &End);
  void takeReady();
  void refuse(HttpResponder &Responder, const Refusal &Why);
  RequestId nextId();

  const Clock &Time_;
  Logger &Log_;
  MetricSet &Metrics_;
  std::string IdPrefix_;
  const FrontView &View_;
  AdmissionController &Admission_;
  RouteHandler &Models_;
  RouteHandler &Calls_;
  std::unique_ptr<RouteTable> Routes_;
  std::map<AdmissionTicket, Pending> Pending_;
  std::deque<Arrival> Held_;
  /// Tokens that a request of each model's pool produces in the mean.
  std::map<PoolId, double> MeanTokens_;
  /// When the process went on after a pause; empty while the view is trusted.
  std::optional<TimePoint> ResumedAt_;
  PauseDetector Pause_;
  std::uint64_t NextRequest_ = 1;
  Timer Ticker_;
};

} // namespace rattancart
