#pragma once

#include "Tests/Support/ChildProcess.h"
#include "Tests/Support/Cluster.h"
#include "Tests/Support/Relay.h"

#include <boost/json/value.hpp>

#include <cstddef>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rattancart {

/// The processes and settings of a deployment.
struct DeploymentSpec {
  /// Each has PairsPerDataCenter_ routers and as many control processes.
  std::vector<std::string> DataCenters_{"dc-1"};
  std::size_t PairsPerDataCenter_ = 1;
  std::vector<EndpointSpec> Endpoints_;
  std::vector<std::string> PlatformArguments_;
  /// Whether the connections of the first pair go through relays, so that isolateFirstPair() can
  /// block them.
  bool Relayed_ = false;
  /// The settings of the operators, in the format that rattancartctl reads.
  std::string Settings_;
};

/// A router and a control process that run as one instance.
struct RouterControlPair {
  std::string Name_;
  std::string DataCenter_;
  std::unique_ptr<ChildProcess> Control_;
  std::unique_ptr<ChildProcess> Router_;
  NetAddress FrameAddress_;
  NetAddress AdminAddress_;
  NetAddress CallerAddress_;
  NetAddress StateAddress_;
};

/// A platform, endpoints, controls and routers as separate processes. All are killed when the
/// deployment is destroyed. Not thread-safe.
class Deployment {
public:
  /// Starts all processes, publishes the settings and waits until each router is ready and may send
  /// work to all endpoints. Throws std::runtime_error if the settings are not applied or a step
  /// takes too long.
  explicit Deployment(DeploymentSpec Spec);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  Cluster &cluster() { return Cluster_; }
  BlockingHttpClient &http() { return Cluster_.http(); }
  std::vector<RouterControlPair> &pairs() { return Pairs_; }
  RouterControlPair &pair(std::size_t Index) { return Pairs_.at(Index); }
  std::vector<NetAddress> routers() const;

  /// These start a program of a pair, or start it again at the same addresses. A process that still
  /// runs is killed first.
  void startControl(RouterControlPair &Pair);
  void startRouter(RouterControlPair &Pair);
  /// Drops all bytes between the first pair and both the platform and the other pairs, on open and
  /// on new connections. Precondition: Relayed_ was set.
  void isolateFirstPair();
  /// Lets new connections work again; the bytes of those from before are still dropped.
  void reconnectFirstPair();
  /// Returns the state dump of a process; null if it does not answer.
  boost::json::value state(const NetAddress &Address);
  /// Waits until all routers may send work to Count endpoints.
  void awaitEndpoints(std::size_t Count);
  /// Waits until the condition holds. Throws std::runtime_error, whose text names What, after 30 s.
  void await(std::string_view What, const std::function<bool()> &Condition);
  /// Runs rattancartctl with the addresses of all controls.
  ProgramResult ctl(std::vector<std::string> Arguments);
  /// Writes a file and returns its path. The file is deleted with the deployment.
  std::string writeFile(const std::string &Name, const std::string &Text);

  static constexpr const char *Token = "system-test-token";

private:
  std::size_t countUsableEndpoints(const NetAddress &State);
  void writeSettings();
  void writePairSettings(const RouterControlPair &Pair, const std::string &TokenHash);
  /// Returns the address at which From reaches the control of To: that of a relay if
  /// isolateFirstPair() is to block the connection.
  NetAddress addressSeenFrom(const RouterControlPair &From, const RouterControlPair &To);
  NetAddress addRelay(const NetAddress &Target);
  bool isFirst(const RouterControlPair &Pair) const { return &Pair == &Pairs_.front(); }

  DeploymentSpec Spec_;
  std::filesystem::path Folder_;
  Cluster Cluster_;
  std::vector<std::unique_ptr<Relay>> Relays_;
  std::vector<RouterControlPair> Pairs_;
};

/// Returns settings with one model of 48 layers and one service.
std::string testSettings();
/// Returns the engines of a chain of three stages with 16 of 48 layers each, and Copies such
/// chains.
std::vector<EndpointSpec> stageEngines(std::size_t Copies, std::vector<std::string> Arguments = {});

} // namespace rattancart
