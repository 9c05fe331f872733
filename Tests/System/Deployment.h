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

/// What a deployment consists of.
struct DeploymentSpec {
  /// One router and one control process each.
  std::vector<std::string> DataCenters_{"dc-1"};
  /// Router and control pairs in each data centre.
  std::size_t PairsPerDataCenter_ = 1;
  std::vector<EndpointSpec> Endpoints_;
  std::vector<std::string> PlatformArguments_;
  /// Lets isolate() cut the first entry off.
  bool Relayed_ = false;
  /// Operators' settings, as rattancartctl reads them.
  std::string Settings_;
};

/// One router and one control process of an instance.
struct EntryInstance {
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
/// deployment goes. Not thread-safe.
class Deployment {
public:
  /// Starts everything, publishes the settings and waits until each router is ready and sees all
  /// endpoints. Throws std::runtime_error if that takes too long.
  explicit Deployment(DeploymentSpec Spec);
  ~Deployment();
  Deployment(const Deployment &) = delete;
  Deployment &operator=(const Deployment &) = delete;

  Cluster &cluster() { return Cluster_; }
  BlockingHttpClient &http() { return Cluster_.http(); }
  std::vector<EntryInstance> &entries() { return Entries_; }
  EntryInstance &entry(std::size_t Index) { return Entries_.at(Index); }
  std::vector<NetAddress> routers() const;

  /// (Re)starts a program of an entry at its address. The earlier process is killed.
  void startControl(EntryInstance &Entry);
  void startRouter(EntryInstance &Entry);
  /// Silences all connections between the first entry and the platform and the other entries, new
  /// ones too. Precondition: the deployment is relayed.
  void isolate();
  /// New connections work again; those that were silenced stay silent for good.
  void rejoin();
  /// The state dump of a process; null if it does not answer.
  boost::json::value state(const NetAddress &Address);
  /// Waits until all routers may send work to Count endpoints.
  void awaitEndpoints(std::size_t Count);
  /// Waits until the condition holds. Throws std::runtime_error with What after half a minute.
  void await(std::string_view What, const std::function<bool()> &Condition);
  /// Runs rattancartctl against all controls.
  ProgramResult ctl(std::vector<std::string> Arguments);
  /// Writes a file that lives as long as the deployment and returns its path.
  std::string writeFile(const std::string &Name, const std::string &Text);

  static constexpr const char *Token = "system-test-token";

private:
  std::size_t usableEndpoints(const NetAddress &State);
  void writeSettings();
  void writeEntrySettings(const EntryInstance &Entry, const std::string &TokenHash);
  /// The address by which From reaches To, through a relay where isolate() may cut.
  NetAddress route(const EntryInstance &From, const EntryInstance &To);
  NetAddress relayed(const NetAddress &Target);
  bool isFirst(const EntryInstance &Entry) const { return &Entry == &Entries_.front(); }

  DeploymentSpec Spec_;
  std::filesystem::path Folder_;
  Cluster Cluster_;
  std::vector<std::unique_ptr<Relay>> Relays_;
  std::vector<EntryInstance> Entries_;
};

/// Settings with one model of three stages and one service, for the tests of this folder.
std::string testSettings();
/// Three engines that hold a third of 48 layers each, Copies of each.
std::vector<EndpointSpec> stageEngines(std::size_t Copies, std::vector<std::string> Arguments = {});

} // namespace rattancart
