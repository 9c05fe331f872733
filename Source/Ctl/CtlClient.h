#pragma once

#include "Core/Common/Clock.h"
#include "Core/Membership/Endpoint.h"
#include "Net/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <string>
#include <system_error>
#include <vector>

namespace rattancart {

/// What a request to an administration API came to.
struct CtlAnswer {
  /// No error, one of HttpResult, or the number in the answer's body.
  std::error_code Error_;
  /// For people: what the answer says about the error.
  std::string Detail_;
  /// Whether an answer arrived.
  bool Answered_ = false;
  /// Whether the request may have been taken though no answer arrived.
  bool MaybeTaken_ = false;
  boost::json::value Body_;
};

/// Blocking requests to control processes, for the command line. Not thread-safe.
class CtlClient {
public:
  /// Precondition: Controls is not empty.
  CtlClient(std::vector<NetAddress> Controls, std::string Token, Duration Timeout);

  /// Sends a request to one control after the other until one answers. A request that changes
  /// something moves on only while no byte of it was handed over.
  CtlAnswer send(const std::string &Method, const std::string &Target, std::string Body = {});
  /// Sends a request to one process.
  CtlAnswer sendTo(const NetAddress &Address, const std::string &Method, const std::string &Target,
                   std::string Body = {});
  const std::vector<NetAddress> &controls() const { return Controls_; }

private:
  boost::asio::io_context Loop_;
  HttpClient Client_;
  std::vector<NetAddress> Controls_;
  std::string Token_;
  Duration Timeout_;
};

} // namespace rattancart
