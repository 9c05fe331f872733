#pragma once

#include "Net/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <string_view>

namespace rattancart {

/// An HTTP client whose calls return when the response is complete or has failed. Not thread-safe:
/// use one per thread.
class BlockingHttpClient {
public:
  /// Timeout limits the time to connect and the time of the response, each.
  explicit BlockingHttpClient(Duration Timeout = std::chrono::seconds(30));

  /// Changes the timeout of responses; the timeout to connect stays.
  void setResponseTimeout(Duration Timeout) { ResponseTimeout_ = Timeout; }
  HttpResult send(const NetAddress &Address, HttpRequest Request);
  HttpResult get(const NetAddress &Address, std::string Target);
  HttpResult post(const NetAddress &Address, std::string Target, std::string Body);
  HttpResult put(const NetAddress &Address, std::string Target, std::string Body);
  /// Returns the body of a response with status 200 as JSON; null after any failure.
  boost::json::value getJson(const NetAddress &Address, std::string Target);
  /// Sets the faults of a stand-in. Throws std::runtime_error unless it answers with status 200.
  void setFaults(const NetAddress &Address, std::string Faults);
  /// Sends GET requests at short intervals until IsDone returns true for a result. Throws
  /// std::runtime_error, whose text names What, after Limit.
  void pollUntil(const NetAddress &Address, const std::string &Target,
                 const std::function<bool(const HttpResult &)> &IsDone, std::string_view What,
                 Duration Limit = std::chrono::seconds(30));

private:
  boost::asio::io_context Loop_{1};
  HttpClient Client_;
  Duration ConnectTimeout_;
  Duration ResponseTimeout_;
};

} // namespace rattancart
