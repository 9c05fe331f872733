#pragma once

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

/// What a caller says about its request.
struct CallerRequest {
  /// Chosen by the caller; new for each of its tries.
  RequestId Id_;
  /// How long the caller waits for the end of the answer.
  std::optional<Duration> TimeBudget_;
  /// The key that names the customer; empty if there is none.
  std::string Key_;
  double PromptTokens_ = 0;
  /// The most tokens that the answer may have.
  double MaxAnswerTokens_ = 0;
  /// The caller's own estimate of the answer's tokens.
  std::optional<double> ExpectedAnswerTokens_;
  /// The last event that the caller has of an earlier try.
  std::optional<std::uint64_t> LastEvent_;
};

/// One stage of a path, as engines are told of it.
struct StageAddress {
  NetAddress Address_;
  LayerRange Layers_;
};

/// What is added to a request on its way to an endpoint.
struct ForwardOptions {
  /// The time that the endpoint may take.
  Duration TimeBudget_{};
  /// Refuse the request if another endpoint has taken the address over.
  EndpointId Expected_;
  /// Empty for routes without a customer.
  CustomerId Customer_;
  /// Empty for plain services.
  std::vector<StageAddress> Path_;
  /// Continue a stream after this event.
  std::optional<std::uint64_t> LastEvent_;
  std::uint32_t Priority_ = 0;
};

/// What the head of an endpoint's answer says.
struct ResponseInfo {
  RequestId Id_;
  /// The endpoint states that it did not run the request and never will.
  bool NotRun_ = false;
  /// The answer bears the endpoint's signature; without it a success does not count.
  bool Signed_ = false;
  /// The body was encoded on the way, so it is not the endpoint's.
  bool Encoded_ = false;
  /// The engine of the path that the failure is due to.
  std::optional<NetAddress> FaultyEngine_;
};

/// How callers' requests, endpoints' answers, reports and orders are written. Thread-safe.
class EndpointProtocol {
public:
  virtual ~EndpointProtocol() = default;

  virtual CallerRequest parseRequest(const HttpRequest &Request) const = 0;
  /// The request as an endpoint gets it.
  virtual HttpRequest requestForEndpoint(const HttpRequest &Request,
                                         const ForwardOptions &Options) const = 0;
  virtual ResponseInfo parseResponse(const HttpResponse &Head) const = 0;
  /// The head of an endpoint's answer as the caller gets it, without what concerns only the
  /// connection to the endpoint.
  virtual HttpResponse responseForCaller(const HttpResponse &Head) const = 0;
  /// An answer of this process. RetryAfter tells the caller when to come back.
  virtual HttpResponse errorResponse(std::uint32_t Status, ErrorCode Reason,
                                     std::optional<Duration> RetryAfter) const = 0;

  virtual HttpRequest reportRequest(const EndpointId &Expected) const = 0;
  /// Errors: MalformedResponse.
  virtual Result<EngineReport> parseReport(const HttpResponse &Response) const = 0;
  virtual HttpRequest orderRequest(const PlacementOrder &Order) const = 0;
  virtual OrderOutcome parseOrderResponse(const HttpResponse &Response) const = 0;
};

} // namespace rattancart
