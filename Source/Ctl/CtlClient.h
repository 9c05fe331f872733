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

/// The result of a request to an administration API.
struct CtlAnswer {
  /// No error, the error of HttpResult, or the error whose number is in the answer's body.
  std::error_code Error_;
  /// What the answer says about the error, or the address that the request was sent to.
  std::string Detail_;
  /// Whether an answer arrived.
  bool Answered_ = false;
  /// Whether the request may have taken effect although no answer arrived.
  bool MayHaveTakenEffect_ = false;
  boost::json::value Body_;
};

/// Sends requests to control processes and blocks until they are answered. Not thread-safe.
class CtlClient {
public:
  /// Precondition: Controls is not empty.
  CtlClient(std::vector<NetAddress> Controls, std::string Token, Duration Timeout);

  /// Sends a request to one control after the other until one answers with something else than
  /// NotReady. A request other than a GET is not sent to a further control once any byte of it was
  /// handed to a connection, since it may have taken effect.
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
