#pragma once

#include "Tests/Support/BlockingHttpClient.h"
#include "Tests/Support/ChildProcess.h"

#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace rattancart {

/// One stand-in engine or service to start.
struct EndpointSpec {
  /// "rattancart-fake-engine" or "rattancart-fake-service".
  std::string Program_;
  std::string Id_;
  std::string DataCenter_ = "dc-1";
  /// Further arguments.
  std::vector<std::string> Arguments_;
};

/// An engine that holds [LayerBegin, LayerEnd) of LayerCount layers.
EndpointSpec engineSpec(std::string Id, LayerRange Layers, std::uint32_t LayerCount,
                        std::vector<std::string> Arguments = {});
EndpointSpec serviceSpec(std::string Id, std::string Service,
                         std::vector<std::string> Arguments = {});

/// A platform stand-in with engines and services that are registered at it. All are killed when
/// the cluster goes. Not thread-safe.
class Cluster {
public:
  /// Starts the platform. Further arguments go to it.
  explicit Cluster(std::vector<std::string> PlatformArguments = {});
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  /// Starts endpoints and waits until the platform's list shows them. Throws
  /// std::runtime_error if that takes longer than half a minute.
  void start(const std::vector<EndpointSpec> &Specs);
  ChildProcess &platform() { return Platform_; }
  const NetAddress &platformAddress() { return Platform_.address(); }
  /// Precondition: an endpoint of that id was started.
  ChildProcess &endpoint(const std::string &Id) { return Endpoints_.at(Id); }
  const NetAddress &address(const std::string &Id) { return endpoint(Id).address(); }
  /// Sets faults of an endpoint, or of the platform if Id is "platform".
  void setFaults(const std::string &Id, std::string Faults);
  /// The histories of all endpoints as JSON lines, also of those that were killed or paused.
  std::string history() const;
  BlockingHttpClient &http() { return Http_; }

private:
  bool isListed(const std::string &Id);

  BlockingHttpClient Http_;
  ChildProcess Platform_;
  std::map<std::string, ChildProcess> Endpoints_;
  /// Holds one file of history for each endpoint.
  std::filesystem::path Folder_;
};

} // namespace rattancart
