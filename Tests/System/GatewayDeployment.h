#pragma once

#include "StandIns/Site/Site.h"
#include "Tests/Support/BlockingHttpClient.h"
#include "Tests/Support/ChildProcess.h"

#include <filesystem>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattancart {

/// A part of a prompt.
struct PromptPart {
  std::string Id_;
  int Tokens_ = 0;
};

/// Gateways as separate processes, and a stand-in of the users' platform. Not thread-safe, except
/// for call().
class GatewayDeployment {
public:
  /// Starts one gateway for each name in DataCenters, which may hold a data centre more than once.
  /// Waits until all gateways are ready and, if there are engines, until those of each data centre
  /// hold all layers and each gateway has served a stream.
  explicit GatewayDeployment(std::vector<std::string> DataCenters, SiteOptions Options = {});
  ~GatewayDeployment();
  GatewayDeployment(const GatewayDeployment &) = delete;
  GatewayDeployment &operator=(const GatewayDeployment &) = delete;

  Site &site() { return Site_; }
  std::size_t size() const { return Gateways_.size(); }
  ChildProcess &gateway(std::size_t Index) { return *Gateways_[Index]; }
  /// The address at which a gateway takes requests.
  const NetAddress &address(std::size_t Index) const { return Addresses_[Index]; }
  /// The address at which a gateway takes requests of other gateways.
  NetAddress peerAddress(std::size_t Index) const;
  /// Starts a gateway again that has ended, and waits until it is ready. Its ports for requests and
  /// for its state are new.
  void restart(std::size_t Index);

  /// Sends a request of customer "crew" to a gateway and waits for the result. For a stream, Events
  /// is the number of events to generate and Prompt the number of tokens in the prompt.
  /// Thread-safe.
  HttpResult call(std::size_t Index, const std::string &Id, const char *Method, const char *Path,
                  int Events = 0, const std::string &Key = "key-1", int Prompt = 700) const;
  /// Does the same as call() with "key-1", on a thread of its own.
  std::future<HttpResult> callAsync(std::size_t Index, const std::string &Id, const char *Method,
                                    const char *Path, int Events = 0, int Prompt = 700) const;
  /// Sends a stream of customer "crew" to a gateway through a client, which calls Done on its event
  /// loop. The last part of the prompt is the stream's own. Precondition: Client outlives the
  /// stream.
  void sendStream(HttpClient &Client, std::size_t Index, const std::string &Id,
                  const std::vector<PromptPart> &Prompt, int Events, HttpCallback Done) const;
  /// Waits until a stream runs of which at least Events events were sent, and returns the id of its
  /// first engine.
  std::string awaitStream(std::uint64_t Events = 5) const;
  /// Returns the metrics of a gateway in Prometheus text format.
  std::string metrics(std::size_t Index) const;
  /// Waits until Done returns true. After 30 s it fails the test with a text that names What.
  static void await(const std::function<bool()> &Done, const std::string &What);
  /// Returns an engine of a data centre that is the only one there to hold some layer and is not
  /// ExcludedEngine. Throws std::runtime_error if there is none.
  std::string soleHolder(const std::string &DataCenter, const std::string &ExcludedEngine) const;
  /// Waits until a gateway owns the placement of a data centre and returns its index.
  std::size_t placementOwner(const std::string &DataCenter);
  /// Returns whether a gateway owns the placement of its data centre.
  bool ownsPlacement(std::size_t Index);
  bool isReady(std::size_t Index);
  /// Waits until a gateway has reloaded its settings since it started or since the last call.
  void awaitReload(std::size_t Index);
  /// Returns whether a gateway lists an endpoint as leaving.
  bool seesEndpointLeaving(std::size_t Index, const std::string &Endpoint);

private:
  void start(std::size_t Index);

  Site Site_;
  std::vector<std::string> DataCenters_;
  std::filesystem::path Folder_;
  std::vector<std::unique_ptr<ChildProcess>> Gateways_;
  std::vector<NetAddress> Addresses_;
  std::vector<NetAddress> StateAddresses_;
  /// The count of reloads at the last awaitReload(), by index of the gateway.
  std::map<std::size_t, std::size_t> Reloads_;
  int FirstPort_ = 0;
};

/// Returns whether the body of a stream consists of the events First to Last, each once and in
/// order.
bool consistsOfEvents(const std::string &Body, int First, int Last);

} // namespace rattancart
