#pragma once

#include "Core/Admission/EndpointLimiter.h"
#include "Core/Common/ErrorCode.h"
#include "Core/Common/Result.h"
#include "Core/Layers/PlacementController.h"
#include "Core/Serving/EndpointRoster.h"
#include "Net/Http.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattancart {

/// What the headers of a caller's request say.
struct CallerRequest {
  /// Chosen by the caller; a new one for each of its attempts.
  RequestId Id_;
  /// How long the caller waits for the end of the response.
  std::optional<Duration> TimeBudget_;
  /// The key that names the customer; empty if there is none.
  std::string Key_;
  double PromptTokens_ = 0;
  /// The parts of the prompt that other requests may share, in order. The last part of a prompt
  /// belongs to the request or its session alone, so it is not among them.
  std::vector<PromptPartId> SharedPromptParts_;
  /// Maximum number of tokens in the response; 0 if the caller gave none.
  double MaxAnswerTokens_ = 0;
  /// The caller's estimate of the number of tokens in the response.
  std::optional<double> ExpectedAnswerTokens_;
  /// The last event that the caller received in an earlier attempt.
  std::optional<std::uint64_t> LastEvent_;
};

/// One stage of a path, as it is sent to the engines.
struct StageAddress {
  NetAddress Address_;
  LayerRange Layers_;
};

/// What the gateway adds to a request that it sends to an endpoint.
struct ForwardOptions {
  /// Time in which the endpoint must complete the response.
  Duration TimeBudget_{};
  /// An endpoint with another id, which took over the address, refuses the request.
  EndpointId Expected_;
  /// Empty for routes without a customer.
  CustomerId Customer_;
  /// Empty for plain services.
  std::vector<StageAddress> Path_;
  /// The stream continues after this event.
  std::optional<std::uint64_t> LastEvent_;
  std::uint32_t Priority_ = 0;
};

/// What the head of an endpoint's response says.
struct ResponseInfo {
  RequestId Id_;
  /// The endpoint states that it did not run the request and never will.
  bool NotRun_ = false;
  /// The endpoint is not the expected one, or lacks layers of its stage.
  bool Misdirected_ = false;
  /// The response has the endpoint's signature; without it a success is not accepted.
  bool Signed_ = false;
  /// The body has a content encoding, which something between gateway and endpoint applied.
  bool Encoded_ = false;
  /// Whether the body may be a stream of events: its media type is that, or is not stated.
  bool EventStream_ = true;
  /// What the endpoint says about the requests that it takes.
  AnnouncedLimit Limit_;
  /// The engine of the path that caused the failure.
  std::optional<NetAddress> FaultyEngine_;
};

/// Whether callers take the status to mean that the request did not run and never will.
constexpr bool meansNotRun(std::uint32_t Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

/// Whether an endpoint's response may be passed on to the caller, as far as its head tells; its
/// body must be complete as well. The gateway itself answers for an endpoint that states that it
/// did not run the request. Without that statement, no status may tell the caller so. A response
/// without the endpoint's signature, or with an encoded body, is not the endpoint's, and a status
/// that is none of HTTP is no answer.
constexpr bool mayPassOn(std::uint32_t Status, const ResponseInfo &Info) {
  const bool Final = Status >= 200 && Status <= 599;
  return Final && !Info.NotRun_ && !meansNotRun(Status) && Info.Signed_ && !Info.Encoded_;
}

/// Encodes and decodes the HTTP messages that the gateway exchanges with callers and endpoints:
/// requests, responses, engine reports and placement orders. Thread-safe.
class EndpointProtocol {
public:
  virtual ~EndpointProtocol() = default;

  virtual CallerRequest parseRequest(const HttpRequest &Request) const = 0;
  /// The request as it is sent to an endpoint.
  virtual HttpRequest requestForEndpoint(const HttpRequest &Request,
                                         const ForwardOptions &Options) const = 0;
  /// The request as it is forwarded to another gateway: the caller's, with the time that is left.
  /// Only TimeBudget_ and LastEvent_ of the options are used.
  virtual HttpRequest requestForGateway(const HttpRequest &Request,
                                        const ForwardOptions &Options) const = 0;
  virtual ResponseInfo parseResponse(const HttpResponse &Head) const = 0;
  /// The head of an endpoint's response as it is passed on to the caller, without the header fields
  /// that apply only to the connection to the endpoint.
  virtual HttpResponse responseForCaller(const HttpResponse &Head) const = 0;
  /// An error response of the gateway itself. RetryAfter tells the caller when to retry.
  virtual HttpResponse errorResponse(std::uint32_t Status, ErrorCode Reason,
                                     std::optional<Duration> RetryAfter) const = 0;

  virtual HttpRequest reportRequest(const EndpointId &Expected) const = 0;
  /// Errors: WrongEndpoint, if another endpoint answers at the address; MalformedResponse.
  virtual Result<EngineReport> parseReport(const HttpResponse &Response) const = 0;
  virtual HttpRequest orderRequest(const PlacementOrder &Order) const = 0;
  virtual OrderOutcome parseOrderResponse(const HttpResponse &Response) const = 0;
};

} // namespace rattancart
