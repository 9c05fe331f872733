#pragma once

#include "Core/Layers/PlacementController.h"
#include "Gateway/EndpointProtocol.h"
#include "Net/HttpSender.h"
#include "SiteModel/EventQueue.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace rattancart {

/// The protocol of the simulated engines: requests and responses carry all their data in headers.
/// Thread-safe.
class SimulatedEngineProtocol final : public EndpointProtocol {
public:
  CallerRequest parseRequest(const HttpRequest &Request) const override;
  HttpRequest requestForEndpoint(const HttpRequest &Request,
                                 const ForwardOptions &Options) const override;
  HttpRequest requestForGateway(const HttpRequest &Request,
                                const ForwardOptions &Options) const override;
  ResponseInfo parseResponse(const HttpResponse &Head) const override;
  HttpResponse responseForCaller(const HttpResponse &Head) const override { return Head; }
  HttpResponse errorResponse(std::uint32_t Status, ErrorCode Reason,
                             std::optional<Duration> RetryAfter) const override;
  HttpRequest reportRequest(const EndpointId &) const override { return {}; }
  Result<EngineReport> parseReport(const HttpResponse &) const override { return EngineReport{}; }
  HttpRequest orderRequest(const PlacementOrder &) const override { return {}; }
  OrderOutcome parseOrderResponse(const HttpResponse &) const override {
    return OrderOutcome::Unknown;
  }
};

/// Whether a simulated engine works. An unresponsive engine keeps its connections open but sends
/// nothing, and new connections to it time out; a stopped engine has closed its connections and
/// refuses new ones.
enum class EngineCondition : std::uint8_t { Running, Unresponsive, Stopped };

/// Simulates the engines of all data centres. They load layers, prefill prompts one after the
/// other, generate events at a rate given by all stages of the path, reserve memory for the
/// requests in flight, and delay requests that depend on a lost engine. Time comes from the event
/// queue. Not thread-safe.
class SimulatedEngines final : public HttpSender {
public:
  /// Precondition: both arguments outlive the object.
  SimulatedEngines(EventQueue &Queue, const LayeredModel &Model) : Queue_(Queue), Model_(Model) {}

  void add(const EndpointId &Id, const DataCenterId &DataCenter, const std::string &Kind);
  std::vector<EndpointListing> listings() const;
  EngineReport report(const EndpointId &Id) const;
  EngineCondition condition(const EndpointId &Id) const { return Engines_.at(Id).Condition_; }
  LayerRange layers(const EndpointId &Id) const { return Engines_.at(Id).Layers_; }
  /// Changes an engine's condition. A stopped engine that runs again holds no layers and has the
  /// next incarnation.
  void setCondition(const EndpointId &Id, EngineCondition Condition);
  /// A leaving engine refuses new requests, however much memory it has free.
  void setLeaving(const EndpointId &Id, bool Leaving) { Engines_.at(Id).Leaving_ = Leaving; }
  /// From now on, calls whose prompt has this part crash engines: shortly after the head of the
  /// response and before its first event, the first engine of the path stops. It runs again after
  /// the downtime.
  void setCrashingPart(std::string Part, Duration Downtime);
  /// Time from the head of a response to its first event; 0 by default.
  void setFirstEventDelay(Duration Delay) { FirstEventDelay_ = Delay; }
  OrderOutcome order(const PlacementOrder &Order);

  HttpCallId send(const NetAddress &Address, HttpRequest Request, HttpSendOptions Options,
                  HttpCallback Done) override;
  void cancel(HttpCallId Id) override;

  /// By request: the first engine of each path that ran it, in order. A request counts as run once
  /// its response begins.
  const std::map<std::string, std::vector<EndpointId>> &runs() const { return Runs_; }
  std::size_t sendCount() const { return Sends_; }
  /// When calls with the crashing part were sent, and when they crashed engines, in order.
  const std::vector<TimePoint> &crashingPartSends() const { return PartSends_; }
  const std::vector<TimePoint> &crashingPartCrashes() const { return PartCrashes_; }
  /// Calls that have not ended yet.
  std::size_t running() const { return Calls_.size(); }
  /// Whether an engine still works on a call of the request.
  bool worksOn(const std::string &Request) const;

private:
  struct Engine {
    EndpointListing Listing_;
    const EngineKind *Kind_ = nullptr;
    EngineCondition Condition_ = EngineCondition::Running;
    bool Leaving_ = false;
    LayerRange Layers_;
    bool Loading_ = false;
    std::uint64_t Orders_ = 0;
    TimePoint PrefillsUntil_{};
    double UsedTokenLayers_ = 0;
    std::uint32_t Streams_ = 0;
  };
  struct Stage {
    Engine *Engine_ = nullptr;
    LayerRange Layers_;
    Incarnation Run_{0};
  };
  struct Call {
    HttpCallId Id_{0};
    std::string Request_;
    HttpResponseSink *Sink_ = nullptr;
    HttpCallback Done_;
    std::vector<Stage> Path_;
    double Prompt_ = 0;
    double Tokens_ = 0;
    std::uint64_t NextEventId_ = 1;
    std::uint64_t FinalEventId_ = 0;
    bool Admitted_ = false;
    bool HeadSent_ = false;
    /// Whether its prompt has the crashing part.
    bool Crashing_ = false;
    std::optional<TimePoint> LostSince_;
  };
  using CallPtr = std::shared_ptr<Call>;

  double totalTokenLayers(const Engine &Target) const;
  double freeTokenLayers(const Engine &Target) const {
    return totalTokenLayers(Target) - Target.UsedTokenLayers_;
  }
  void crash(Engine &Target);
  void onArrival(const CallPtr &Sent);
  /// The first engine of the path that refuses the call, since it is leaving, lacks a layer or
  /// lacks memory; null if there is none.
  const Engine *findRefusingEngine(const Call &Sent) const;
  /// The first engine of the path that does not run or has restarted; null if there is none.
  const Engine *findLostEngine(const Call &Sent) const;
  void prefill(const CallPtr &Sent, double Tokens);
  void sendNextEvent(const CallPtr &Sent);
  /// Tries again later; fails the call after LostEngineTimeout, unless its first engine is
  /// unresponsive and thus can't report the failure.
  void waitForLostEngine(const CallPtr &Sent);
  void refuse(const CallPtr &Sent, const Engine &Fault);
  Duration eventGap(const Call &Sent) const;
  void end(const CallPtr &Sent, std::error_code Error, bool BytesHandedOver);
  bool active(const CallPtr &Sent) const { return Calls_.contains(Sent->Id_.value()); }

  EventQueue &Queue_;
  const LayeredModel &Model_;
  std::map<EndpointId, Engine> Engines_;
  std::map<std::int64_t, CallPtr> Calls_;
  std::map<std::string, std::vector<EndpointId>> Runs_;
  std::int64_t NextCall_ = 1;
  std::size_t Sends_ = 0;
  std::size_t RunningLoads_ = 0;
  std::optional<PromptPartId> CrashingPart_;
  Duration Downtime_{};
  Duration FirstEventDelay_{};
  std::vector<TimePoint> PartSends_;
  std::vector<TimePoint> PartCrashes_;
};

} // namespace rattancart
