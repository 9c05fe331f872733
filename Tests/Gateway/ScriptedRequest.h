#pragma once

#include "Gateway/GatewayRequestHandler.h"
#include "SiteModel/SimulatedEngines.h"
#include "Tests/Core/Layers/Deployments.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// One request at a gateway whose engines the test plays.
namespace rattancart::test {

using namespace std::chrono_literals;

inline const TimePoint Start{1h};
inline const ServiceId Brief("brief");

/// Sends nothing; the test plays the engines.
class ScriptedEngines final : public HttpSender {
public:
  HttpCallId send(const NetAddress & /*Address*/, HttpRequest /*Request*/, HttpSendOptions Options,
                  HttpCallback Done) override {
    Calls_.push_back(
        {Options.Sink_, std::move(Done), std::move(Options.BeforeSend_), Options.Use_});
    return HttpCallId(static_cast<std::int64_t>(Calls_.size()));
  }
  void cancel(HttpCallId Id) override { Calls_.at(index(Id)).Cancelled_ = true; }

  /// Calls are numbered from 0 in the order of their sends.
  std::size_t sends() const { return Calls_.size(); }
  bool isLive(std::size_t Number) const {
    return !Calls_.at(Number).Cancelled_ && !Calls_.at(Number).Ended_;
  }
  void head(std::size_t Number, std::uint32_t Status, bool NotRun = false,
            bool OtherMediaType = false, const std::string &Fault = {}) {
    HttpResponse Head;
    Head.Status_ = Status;
    Head.Headers_.add("id", "r");
    if (OtherMediaType)
      Head.Headers_.add("other-media-type", "1");
    if (NotRun)
      Head.Headers_.add("not-run", "1");
    if (!Fault.empty())
      Head.Headers_.add("fault", Fault);
    head(Number, Head);
  }
  /// Ends the call if the head is not accepted, as HttpClient does.
  void head(std::size_t Number, const HttpResponse &Head) {
    BOOST_REQUIRE(isLive(Number));
    if (Calls_[Number].Sink_->onHead(Head) == HeadDecision::Abort && isLive(Number))
      end(Number, ErrorCode::MalformedResponse);
  }
  /// An answer to another request arrives where the answer to this one is due. Returns whether it
  /// is skipped.
  bool skipsAnswer(std::size_t Number, std::uint32_t Status, const std::string &Id) {
    HttpResponse Head;
    Head.Status_ = Status;
    if (!Id.empty())
      Head.Headers_.add("id", Id);
    Head.Headers_.add("not-run", "1");
    return Calls_.at(Number).Sink_->onHead(Head) == HeadDecision::Skip;
  }
  /// The connection of the call opens. Returns whether the request is handed to it; if it isn't,
  /// the call ends.
  bool connect(std::size_t Number) {
    BOOST_REQUIRE(isLive(Number));
    if (Calls_[Number].BeforeSend_())
      return true;
    endBeforeSend(Number, ErrorCode::Cancelled);
    return false;
  }
  /// Whether the request of a call, which may be cancelled, would be handed to its connection.
  bool wouldSend(std::size_t Number) const { return Calls_.at(Number).BeforeSend_(); }
  /// The call ends before any byte of the request was handed to a connection.
  void endBeforeSend(std::size_t Number, std::error_code Error, bool Refused = false) {
    Calls_.at(Number).Ended_ = true;
    HttpResult Result;
    Result.Error_ = Error;
    Result.Refused_ = Refused;
    const HttpCallback Done = std::move(Calls_[Number].Done_);
    Done(std::move(Result));
  }
  ConnectionUse connectionUse(std::size_t Number) const { return Calls_.at(Number).Use_; }
  /// Ends the call if the body is not accepted.
  void body(std::size_t Number, std::string_view Data) {
    BOOST_REQUIRE(isLive(Number));
    if (!Calls_[Number].Sink_->onBody(Data) && isLive(Number))
      end(Number, ErrorCode::ResponseTooLarge);
  }
  void endIfLive(std::size_t Number) {
    if (isLive(Number))
      end(Number);
  }
  /// States that the request did not run.
  void refuse(std::size_t Number) {
    head(Number, 503, /*NotRun=*/true);
    end(Number);
  }
  void refuseAll() {
    for (std::size_t Number = 0; Number < sends(); ++Number)
      if (isLive(Number))
        refuse(Number);
  }
  void end(std::size_t Number, std::error_code Error = {}) {
    BOOST_REQUIRE(isLive(Number));
    Calls_[Number].Ended_ = true;
    HttpResult Result;
    Result.Error_ = Error;
    Result.BytesHandedOver_ = true;
    const HttpCallback Done = std::move(Calls_[Number].Done_);
    Done(std::move(Result));
  }

private:
  struct Call {
    HttpResponseSink *Sink_ = nullptr;
    HttpCallback Done_;
    std::function<bool()> BeforeSend_;
    ConnectionUse Use_ = ConnectionUse::Pooled;
    bool Cancelled_ = false;
    bool Ended_ = false;
  };
  static std::size_t index(HttpCallId Id) { return static_cast<std::size_t>(Id.value()) - 1; }

  std::vector<Call> Calls_;
};

/// All engines answer.
class AllAnswer final : public EngineHealthMonitor {
public:
  void check(const std::vector<EndpointId> &, TimePoint, Callback Done) override { Done({}); }
  void suspect(const EndpointId &) override {}
  void noteActivity(const EndpointId &) override {}
  void noteReceived(const EndpointId &Endpoint) override { Received_.push_back(Endpoint); }

  /// The endpoints whose response heads arrived.
  std::vector<EndpointId> Received_;
};

struct Caller {
  std::uint32_t Status_ = 0;
  std::string Text_;
  bool Complete_ = false;
  bool Aborted_ = false;
};

class CallerConnection final : public HttpResponder {
public:
  explicit CallerConnection(std::shared_ptr<Caller> Seen) : Seen_(std::move(Seen)) {}
  void send(HttpResponse Response) override {
    Seen_->Status_ = Response.Status_;
    Seen_->Text_ = Response.Body_;
    Seen_->Complete_ = true;
  }
  void startChunked(HttpResponse Head) override { Seen_->Status_ = Head.Status_; }
  void sendChunk(std::string_view Data) override { Seen_->Text_ += Data; }
  void finishChunked() override { Seen_->Complete_ = true; }
  void abort() override { Seen_->Aborted_ = true; }
  bool isOpen() const override { return !Seen_->Complete_ && !Seen_->Aborted_; }
  std::size_t queuedBytes() const override { return 0; }
  void onClosed(std::function<void()>) override {}

private:
  std::shared_ptr<Caller> Seen_;
};

inline std::string events(std::uint64_t First, std::uint64_t Last) {
  std::string Text;
  for (std::uint64_t Id = First; Id <= Last; ++Id)
    Text += "id: " + std::to_string(Id) + "\ndata: x\n\n";
  return Text;
}

/// Counts log lines by event.
class CountingLogger final : public Logger {
public:
  void log(LogEvent Event, std::initializer_list<LogField>) override { ++Counts_[Event]; }
  std::size_t count(LogEvent Event) const {
    const auto Found = Counts_.find(Event);
    return Found == Counts_.end() ? 0 : Found->second;
  }

private:
  std::map<LogEvent, std::size_t> Counts_;
};

/// A gateway with three engines that each hold the whole model, and one request.
struct OneRequest {
  ManualClock Time_;
  boost::asio::io_context Loop_;
  CountingLogger Log_;
  MetricSet Metrics_;
  ScriptedEngines Engines_;
  SimulatedEngineProtocol Protocol_;
  EndpointRoster Roster_;
  PathChooser Paths_{Roster_, DataCenterId("east")};
  RetryShare Retries_{{0.2, 100, 10s}, Start - 1min};
  AllAnswer Health_;
  StreamAdmissionQueue Queue_;
  PromptQuarantine Quarantine_;
  std::mt19937 Random_{1};
  EndpointLimiter Limiter_{Random_};
  GatewayContext Context_{Loop_,     Time_,       Log_,     Metrics_, Engines_,
                          Protocol_, Roster_,     Paths_,   Retries_, Health_,
                          Queue_,    Quarantine_, Limiter_, Random_,  DataCenterId("east")};
  ConfigHolder Config_;
  GatewayRequestHandler Handler_{Context_, Config_};
  std::shared_ptr<Caller> Caller_ = std::make_shared<Caller>();
  std::vector<EndpointId> Ids_{EndpointId("a"), EndpointId("b"), EndpointId("c")};

  /// With Classes, another streaming route of the service has another priority.
  explicit OneRequest(std::optional<std::uint64_t> LastEvent = {},
                      RequestKind Kind = RequestKind::Stream, bool Classes = false,
                      bool Resumable = true) {
    Retries_.setProcesses(1);
    ServingConfig Config;
    Config.Revision_ = ConfigRevision(1);
    ServingRoute Route;
    Route.Id_ = RouteId("brief");
    Route.Host_ = "site";
    Route.PathPrefix_ = "/";
    Route.Kind_ = Kind;
    Route.Services_ = {{Brief, 1}};
    Route.Timeout_ = 20s;
    Route.MaxAttempts_ = 2;
    Route.Public_ = true;
    Route.Objective_ = 1s;
    Route.Resumable_ = Resumable;
    Config.Routes_.push_back(Route);
    if (Classes) {
      Route.Id_ = RouteId("note");
      Route.Host_ = "other-site";
      Route.Priority_ = 1;
      Config.Routes_.push_back(Route);
    }
    Config.Services_.push_back({Brief, 10, {}});
    if (Kind == RequestKind::Stream)
      Config.Services_.back().Model_ = makeModel(80);
    Config_.replaceIfNewer(std::move(Config), Start);
    for (const EndpointId &Id : Ids_) {
      EndpointListing Listing;
      Listing.Id_ = Id;
      Listing.Service_ = Brief;
      Listing.Address_ = NetAddress(Id.str());
      Listing.DataCenter_ = DataCenterId("east");
      Listing.Run_ = Incarnation(1);
      Listing.Kind_ = "huge";
      Roster_.updateListing(Listing, Start);
      EngineReport Report;
      Report.Run_ = Incarnation(1);
      Report.Layers_ = {0, 80};
      Report.TotalTokenLayers_ = 1e7;
      Roster_.updateReport(Id, Report, Start);
    }
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Headers_.add("Host", "site");
    Request.Headers_.add("id", "r");
    Request.Headers_.add("prompt", "100");
    Request.Headers_.add("events", "9");
    Request.Headers_.add("parts", "shared,bad");
    if (LastEvent)
      Request.Headers_.add("last", std::to_string(*LastEvent));
    Handler_.handle(std::move(Request), std::make_shared<CallerConnection>(Caller_));
    BOOST_REQUIRE(Engines_.sends() == 1U);
  }

  /// Two engines crash under requests of other callers with a part of this prompt.
  static void quarantine(PromptQuarantine &Quarantine) {
    Quarantine.onServed({PromptPartId("shared")}, Start - 2s);
    for (const auto &[Engine, Age] : {std::pair{"x", 2s}, std::pair{"y", 1s}})
      Quarantine.onCrash({PromptPartId("shared"), PromptPartId("bad")}, EndpointId(Engine),
                         Incarnation(1), Start - Age);
  }

  /// The engine that runs the newest call is taken for silent.
  void alarm() {
    for (const EndpointId &Id : Ids_)
      if (Roster_.find(Id)->OwnRequests_ > 0 && !Roster_.find(Id)->silent(Time_.now())) {
        Roster_.markSilent(Id, Time_.now(), Time_.now() + 1500ms);
        return Handler_.onEngineSilent(Id);
      }
  }
  /// Lets a request whose attempts have all ended run until it ends; further engines refuse it.
  void runToEnd() {
    for (int Round = 0; Round < 200; ++Round) {
      Engines_.refuseAll();
      Time_.advance(25ms);
      Handler_.tick();
    }
  }
  double reserved() const {
    double Tokens = 0;
    for (const EndpointId &Id : Ids_)
      Tokens += Roster_.find(Id)->OwnTokenLayers_ + Roster_.find(Id)->OwnRequests_;
    return Tokens;
  }
};

} // namespace rattancart::test
