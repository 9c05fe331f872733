#pragma once

#include "Router/ModelHandler.h"

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace rattancart {

/// A claim client that is never available; model routes make no claims.
class NoClaims final : public ClaimClient {
public:
  bool available() const override { return false; }
  void claim(const RequestId &, const IdempotencyKey &, LogOffset,
             std::function<void(const ClaimReply &)>) override {}
  void abandon(const RequestId &) override {}
  void finish(const RequestId &, const IdempotencyKey &, std::uint32_t, std::string) override {}
  void release(const RequestId &, const IdempotencyKey &) override {}
};

/// A server that passes every request to a model handler, and servers for the engines, all on one
/// event loop. The model has 48 layers.
struct ModelHandlerFixture : HttpHandler {
  ModelHandlerFixture() : Client_(Loop_), CallerServer_(Loop_, {}, *this, Log_) {
    View_ = std::make_shared<SettingsView>();
    View_->Models_.push_back({ModelId("brief"), ModelVersion("3"), 48, 4096, 64});
    Route Model;
    Model.Id_ = RouteId("brief");
    Model.Model_ = ModelId("brief");
    Model.Version_ = ModelVersion("3");
    View_->Routes_.push_back(Model);
    makeHandler(std::chrono::seconds(5));
    BOOST_REQUIRE(!CallerServer_.listen(NetAddress("127.0.0.1:0")));
  }

  /// Makes a handler that waits up to Silence for the answer to a step.
  void makeHandler(Duration Silence) {
    ModelHandlerOptions Options;
    Options.StepTimeout_ = {Silence, Silence, Silence, 4, 1};
    Handler_ = std::make_unique<ModelHandler>(Services_, Options);
  }

  /// Starts a server for an engine and adds the engine to the endpoint table.
  NetAddress serveEngine(const std::string &Id, HttpHandler &Content, LayerRange Layers,
                         Duration StepTime) {
    EngineServers_.push_back(
        std::make_unique<HttpServer>(Loop_, HttpServerOptions{}, Content, Log_));
    BOOST_REQUIRE(!EngineServers_.back()->listen(NetAddress("127.0.0.1:0")));
    Endpoint Engine;
    Engine.Id_ = EndpointId(Id);
    Engine.Kind_ = EndpointKind::Engine;
    Engine.Address_ = EngineServers_.back()->address();
    Engine.Model_ = ModelId("brief");
    Engine.Version_ = ModelVersion("3");
    Engine.Layers_ = Layers;
    Engine.Load_.StepTime_ = StepTime;
    Engine.Load_.BatchSlots_ = 4;
    Engine.LoadSequence_ = 1;
    Table_.apply(Engine, Time_.now());
    return Engine.Address_;
  }

  void handle(HttpRequest Request, HttpResponderPtr Responder) override {
    RoutedRequest Routed;
    Routed.Id_ = RequestId("r" + std::to_string(++Requests_));
    Routed.Http_ = std::move(Request);
    Routed.View_ = View_;
    Routed.Route_ = &View_->Routes_.front();
    Routed.ArrivedAt_ = Time_.now();
    Routed.Deadline_ = Routed.ArrivedAt_ + Timeout_;
    Routed.Responder_ = std::move(Responder);
    Routed.OnFinished_ = [this](const RequestEnd &End) {
      ++Finished_;
      End_ = End;
    };
    Handler_->handle(std::move(Routed));
  }

  void send(const std::string &Body, HttpCallback Done) {
    HttpRequest Request;
    Request.Method_ = "POST";
    Request.Target_ = "/brief";
    Request.Body_ = Body;
    HttpSendOptions Options;
    Options.ResponseTimeout_ = std::chrono::seconds(60);
    Client_.send(CallerServer_.address(), std::move(Request), Options, std::move(Done));
  }

  HttpResult ask(const std::string &Body = "how do I tie a bowline") {
    std::optional<HttpResult> Got;
    send(Body, [&](HttpResult R) { Got = std::move(R); });
    runUntil([&] { return Got.has_value(); });
    return *Got;
  }

  void runUntil(const std::function<bool()> &Condition) {
    while (!Condition())
      Loop_.run_one();
  }

  Duration Timeout_ = std::chrono::seconds(20);
  boost::asio::io_context Loop_;
  SystemClock Time_;
  NullLogger Log_;
  HttpClient Client_;
  EndpointTable Table_;
  NoClaims Claims_;
  std::mt19937_64 Random_{3};
  RouterServices Services_{
      Loop_, Time_, Log_, Client_, Table_, Claims_, Random_, DataCenterId("k"), InstanceId("i1")};
  std::shared_ptr<SettingsView> View_;
  std::vector<std::unique_ptr<HttpServer>> EngineServers_;
  std::unique_ptr<ModelHandler> Handler_;
  HttpServer CallerServer_;
  int Requests_ = 0;
  int Finished_ = 0;
  RequestEnd End_;
};

} // namespace rattancart
