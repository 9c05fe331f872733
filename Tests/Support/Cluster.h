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
  /// Arguments besides those that Cluster adds (id, data centre, platform and history file).
  std::vector<std::string> Arguments_;
};

/// An engine that holds [LayerBegin, LayerEnd) of LayerCount layers.
EndpointSpec engineSpec(std::string Id, LayerRange Layers, std::uint32_t LayerCount,
                        std::vector<std::string> Arguments = {});
EndpointSpec serviceSpec(std::string Id, std::string Service,
                         std::vector<std::string> Arguments = {});

/// A stand-in platform with stand-in engines and services that register at it. All are killed when
/// the cluster is destroyed. Not thread-safe.
class Cluster {
public:
  /// Starts the platform with the given arguments.
  explicit Cluster(std::vector<std::string> PlatformArguments = {});
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  /// Starts endpoints and waits until the platform lists all of them. Throws std::runtime_error if
  /// one is not listed within 30 s.
  void start(const std::vector<EndpointSpec> &Specs);
  ChildProcess &platform() { return Platform_; }
  const NetAddress &platformAddress() { return Platform_.address(); }
  /// Precondition: an endpoint of that id was started.
  ChildProcess &endpoint(const std::string &Id) { return Endpoints_.at(Id); }
  const NetAddress &address(const std::string &Id) { return endpoint(Id).address(); }
  /// Sets the faults of an endpoint, or of the platform if Id is "platform".
  void setFaults(const std::string &Id, std::string Faults);
  /// Returns the histories of all endpoints as JSON lines, those of killed and paused ones
  /// included.
  std::string history() const;
  BlockingHttpClient &http() { return Http_; }

private:
  bool isListed(const std::string &Id);

  BlockingHttpClient Http_;
  ChildProcess Platform_;
  std::map<std::string, ChildProcess> Endpoints_;
  /// Holds one history file for each endpoint, named by its id.
  std::filesystem::path HistoryFolder_;
};

} // namespace rattancart
