#pragma once

#include "Gateway/EndpointProtocol.h"
#include "Net/HttpServer.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

namespace rattancart {

class GatewayRequestHandler;
class ConfigHolder;
struct GatewayContext;

/// Requests that one gateway forwards to another, since it reaches no endpoint itself. Over HTTP on
/// the port for other gateways: the caller's request with the time that is left. The other gateway
/// finds route, customer and priority itself, so a request that is forged gains nothing.
namespace forwarding {
/// Fields of a forwarded request: the revision of the sender's configuration, and the sender.
inline constexpr std::string_view Revision = "X-Forwarded-Revision";
inline constexpr std::string_view Sender = "X-Forwarded-Gateway";
/// Fields of an answer that no endpoint gave: why, and the request that it belongs to.
inline constexpr std::string_view Refusal = "X-Gateway-Refusal";
inline constexpr std::string_view Request = "X-Gateway-Request";
} // namespace forwarding

enum class PeerRefusal : std::uint8_t {
  /// An endpoint answered.
  None,
  /// The other gateway did not take the request, which another one may take.
  Declined,
  /// The answer of the other gateway to the caller.
  Final,
};

/// What a gateway's answer to a forwarded request says about it.
PeerRefusal peerRefusal(const HttpResponse &Head, const RequestId &Expected);

/// Answers a request that another gateway forwarded. Not thread-safe.
class PeerResponder final : public HttpResponder {
public:
  /// Precondition: Protocol outlives the responder.
  PeerResponder(HttpResponderPtr Connection, const EndpointProtocol &Protocol, RequestId Id)
      : Connection_(std::move(Connection)), Protocol_(Protocol), Id_(std::move(Id)) {}

  /// Does not take the request. Precondition: nothing was sent yet.
  void decline();

  void send(HttpResponse Response) override;
  void startChunked(HttpResponse Head) override;
  void startUntilClose(HttpResponse Head) override;
  void sendChunk(std::string_view Data) override { Connection_->sendChunk(Data); }
  void finishChunked() override { Connection_->finishChunked(); }
  void abort() override { Connection_->abort(); }
  bool isOpen() const override { return Connection_->isOpen(); }
  std::size_t queuedBytes() const override { return Connection_->queuedBytes(); }
  void onClosed(std::function<void()> Handler) override {
    Connection_->onClosed(std::move(Handler));
  }

private:
  void sendRefusal(HttpResponse Response, std::string_view Kind);

  HttpResponderPtr Connection_;
  const EndpointProtocol &Protocol_;
  RequestId Id_;
};

using PeerResponderPtr = std::shared_ptr<PeerResponder>;

/// Takes the requests that other gateways forward, and those for the configuration. Not
/// thread-safe.
class PeerRequestHandler final : public HttpHandler {
public:
  /// Precondition: all arguments outlive the handler.
  PeerRequestHandler(GatewayContext &Context, const ConfigHolder &Config,
                     GatewayRequestHandler &Handler)
      : Context_(Context), Config_(Config), Handler_(Handler) {}

  void handle(HttpRequest Request, HttpResponderPtr Responder) override;
  /// Sets the handler of requests for the configuration.
  void onConfigRequest(std::function<void(const HttpRequest &, const HttpResponderPtr &)> Serve) {
    ServeConfig_ = std::move(Serve);
  }
  /// Sets whether requests are taken; they are by default.
  void setAccepting(bool Accepting) { Accepting_ = Accepting; }

private:
  /// Why the request is not taken; empty if it is.
  std::string_view declineReason(const HttpRequest &Request) const;

  GatewayContext &Context_;
  const ConfigHolder &Config_;
  GatewayRequestHandler &Handler_;
  std::function<void(const HttpRequest &, const HttpResponderPtr &)> ServeConfig_;
  bool Accepting_ = true;
};

} // namespace rattancart
