#pragma once

#include "Control/SettingsFollower.h"
#include "Core/Common/Logger.h"
#include "Core/Settings/SettingsView.h"
#include "Net/HttpServer.h"

#include <boost/json/array.hpp>

#include <optional>
#include <random>
#include <string>

namespace rattancart {

/// The source of the endpoints that the administration API lists.
class EndpointDirectory {
public:
  virtual ~EndpointDirectory() = default;
  /// One JSON object for each endpoint.
  virtual boost::json::array endpoints() const = 0;
};

struct AdminOptions {
  /// The hash of the bootstrap operator's token; empty if there is no bootstrap operator.
  std::string BootstrapTokenHash_;
};

/// The administration API; docs/API.md describes it. Not thread-safe.
class AdminApi {
public:
  /// Precondition: all references outlive this object and its unanswered requests.
  AdminApi(SettingsFollower &Follower, const EndpointDirectory &Endpoints, Logger &Log,
           std::mt19937_64 &Random, AdminOptions Options);

  /// Takes over the request and returns true if its path belongs to the API. Otherwise leaves both
  /// arguments unchanged.
  bool handle(HttpRequest &Request, HttpResponderPtr &Responder);

private:
  std::optional<OperatorGrant> authenticate(const HttpRequest &Request) const;
  void dispatch(const HttpRequest &Request, const OperatorGrant &Grant,
                const HttpResponderPtr &Responder);
  void getSettings(const HttpRequest &Request, const OperatorGrant &Grant,
                   const HttpResponderPtr &Responder) const;
  void getRevision(const HttpResponderPtr &Responder) const;
  void getHistory(const HttpRequest &Request, const HttpResponderPtr &Responder) const;
  void getChange(const HttpRequest &Request, const HttpResponderPtr &Responder) const;
  void postSettings(const HttpRequest &Request, const OperatorGrant &Grant,
                    const HttpResponderPtr &Responder);
  void postValidate(const HttpRequest &Request, const OperatorGrant &Grant,
                    const HttpResponderPtr &Responder);
  void postDrain(const HttpRequest &Request, const OperatorGrant &Grant,
                 const HttpResponderPtr &Responder);
  Result<SettingsChange> readChange(const HttpRequest &Request, const OperatorGrant &Grant);
  bool mayWrite(const HttpRequest &Request, const OperatorGrant &Grant,
                const SettingsChange &Change, const HttpResponderPtr &Responder) const;
  void submit(const SettingsChange &Change, const HttpResponderPtr &Responder);
  void deny(const HttpRequest &Request, ErrorCode Code, const std::string &Operator,
            const std::string &Detail, HttpResponder &Responder) const;
  std::string newChangeId(const OperatorId &Author);

  SettingsFollower &Follower_;
  const EndpointDirectory &Endpoints_;
  Logger &Log_;
  std::mt19937_64 &Random_;
  AdminOptions Options_;
};

} // namespace rattancart
