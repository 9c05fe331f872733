#pragma once

#include "Net/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace rattancart {

/// An HTTP client whose calls wait for the answer. Not thread-safe: use one a thread.
class BlockingHttpClient {
public:
  /// Each call takes at most Timeout.
  explicit BlockingHttpClient(Duration Timeout = std::chrono::seconds(30));

  /// Changes the time that each answer may take; the time to connect stays.
  void setResponseTimeout(Duration Timeout) { ResponseTimeout_ = Timeout; }
  HttpResult send(const NetAddress &Address, HttpRequest Request);
  HttpResult get(const NetAddress &Address, std::string Target);
  HttpResult post(const NetAddress &Address, std::string Target, std::string Body);
  HttpResult put(const NetAddress &Address, std::string Target, std::string Body);
  /// The body of a 200 answer as JSON; null after any failure.
  boost::json::value getJson(const NetAddress &Address, std::string Target);
  /// Sets faults of a stand-in. Throws std::runtime_error if it does not take them.
  void setFaults(const NetAddress &Address, std::string Faults);
  /// Calls until Done says so, at short intervals. Throws std::runtime_error with What after
  /// Limit.
  void pollUntil(const NetAddress &Address, const std::string &Target,
                 const std::function<bool(const HttpResult &)> &Done, std::string_view What,
                 Duration Limit = std::chrono::seconds(30));

private:
  boost::asio::io_context Loop_{1};
  HttpClient Client_;
  Duration ConnectTimeout_;
  Duration ResponseTimeout_;
};

} // namespace rattancart
