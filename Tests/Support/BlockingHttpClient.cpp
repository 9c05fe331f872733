#include "Tests/Support/BlockingHttpClient.h"

#include <boost/json/parse.hpp>

#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

namespace rattancart {

namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(5);

HttpRequest makeRequest(std::string Method, std::string Target, std::string Body) {
  HttpRequest Request;
  Request.Method_ = std::move(Method);
  Request.Target_ = std::move(Target);
  Request.Body_ = std::move(Body);
  return Request;
}

} // namespace

BlockingHttpClient::BlockingHttpClient(Duration Timeout)
    : Client_(Loop_), ConnectTimeout_(Timeout), ResponseTimeout_(Timeout) {}

HttpResult BlockingHttpClient::send(const NetAddress &Address, HttpRequest Request) {
  HttpSendOptions Options;
  Options.ConnectTimeout_ = ConnectTimeout_;
  Options.ResponseTimeout_ = ResponseTimeout_;
  Options.MaxBodyBytes_ = 1024UL * 1024 * 1024;
  std::optional<HttpResult> Received;
  Client_.send(Address, std::move(Request), std::move(Options),
               [&](HttpResult Result) { Received = std::move(Result); });
  Loop_.restart();
  while (!Received)
    Loop_.run_one();
  return std::move(*Received);
}

HttpResult BlockingHttpClient::get(const NetAddress &Address, std::string Target) {
  return send(Address, makeRequest("GET", std::move(Target), {}));
}

HttpResult BlockingHttpClient::post(const NetAddress &Address, std::string Target,
                                    std::string Body) {
  return send(Address, makeRequest("POST", std::move(Target), std::move(Body)));
}

HttpResult BlockingHttpClient::put(const NetAddress &Address, std::string Target,
                                   std::string Body) {
  return send(Address, makeRequest("PUT", std::move(Target), std::move(Body)));
}

boost::json::value BlockingHttpClient::getJson(const NetAddress &Address, std::string Target) {
  const HttpResult Result = get(Address, std::move(Target));
  if (Result.Error_ || Result.Response_.Status_ != 200)
    return nullptr;
  boost::system::error_code Failure;
  boost::json::value Body = boost::json::parse(Result.Response_.Body_, Failure);
  return Failure ? boost::json::value(nullptr) : Body;
}

void BlockingHttpClient::setFaults(const NetAddress &Address, std::string Faults) {
  const HttpResult Result = post(Address, "/faults", std::move(Faults));
  if (Result.Error_ || Result.Response_.Status_ != 200)
    throw std::runtime_error("the stand-in at " + Address.str() + " did not accept the faults");
}

void BlockingHttpClient::pollUntil(const NetAddress &Address, const std::string &Target,
                                   const std::function<bool(const HttpResult &)> &IsDone,
                                   std::string_view What, Duration Limit) {
  const TimePoint Deadline = SystemClock().now() + Limit;
  while (!IsDone(get(Address, Target))) {
    if (SystemClock().now() > Deadline)
      throw std::runtime_error("timeout while waiting for " + std::string(What));
    std::this_thread::sleep_for(PollInterval);
  }
}

} // namespace rattancart
