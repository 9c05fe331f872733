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

/// Request and answer heads in plain headers, as the simulated engines read them. Thread-safe.
class SimulatedEngineProtocol final : public EndpointProtocol {
public:
  CallerRequest parseRequest(const HttpRequest &Request) const override;
  HttpRequest requestForEndpoint(const HttpRequest &Request,
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

/// How an engine stands.
enum class EngineCondition : std::uint8_t { Running, Unresponsive, Stopped };

/// Model engines of all data centres: they load layers, read prompts one after the other, make
/// events as fast as the slowest stages allow, hold memory for what is under way, and stall what
/// depends on a lost engine. Time comes from the queue. Not thread-safe.
class SimulatedEngines final : public HttpSender {
public:
  /// Precondition: both arguments outlive the object.
  SimulatedEngines(EventQueue &Queue, const LayeredModel &Model) : Queue_(Queue), Model_(Model) {}

  void add(const EndpointId &Id, const DataCenterId &Place, const std::string &Kind);
  std::vector<EndpointListing> listings() const;
  EngineReport report(const EndpointId &Id) const;
  EngineCondition condition(const EndpointId &Id) const { return Engines_.at(Id).Condition_; }
  LayerRange layers(const EndpointId &Id) const { return Engines_.at(Id).Layers_; }
  /// The engine falls silent, ends, or starts again empty as a new run.
  void setCondition(const EndpointId &Id, EngineCondition Condition);
  /// The engine turns new work away, whatever its room.
  void setLeaving(const EndpointId &Id, bool Leaving) { Engines_.at(Id).Leaving_ = Leaving; }
  OrderOutcome order(const PlacementOrder &Order);

  HttpCallId send(const NetAddress &Address, HttpRequest Request, HttpSendOptions Options,
                  HttpDone Done) override;
  void cancel(HttpCallId Id) override;

  /// Engines that ran each request, in order; a request runs from its first event.
  const std::map<std::string, std::vector<EndpointId>> &runs() const { return Runs_; }
  std::size_t sendCount() const { return Sends_; }
  std::size_t running() const { return Calls_.size(); }
  /// Whether a request is under way at some engine.
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
    TimePoint ReadsUntil_{};
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
    HttpAnswerSink *Sink_ = nullptr;
    HttpDone Done_;
    std::vector<Stage> Path_;
    double Prompt_ = 0;
    double Tokens_ = 0;
    std::uint64_t Next_ = 1;
    std::uint64_t Last_ = 0;
    bool Admitted_ = false;
    bool HeadSent_ = false;
    std::optional<TimePoint> StalledSince_;
  };
  using CallPtr = std::shared_ptr<Call>;

  double totalTokenLayers(const Engine &Of) const;
  double freeTokenLayers(const Engine &Of) const {
    return totalTokenLayers(Of) - Of.UsedTokenLayers_;
  }
  void arrive(const CallPtr &Sent);
  /// The engine that takes no request of that size; null if all do.
  const Engine *refusing(const Call &Sent) const;
  const Engine *lost(const Call &Sent) const;
  void read(const CallPtr &Sent, double Tokens);
  void advance(const CallPtr &Sent);
  void stall(const CallPtr &Sent);
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
  std::size_t Loads_ = 0;
};

} // namespace rattancart
