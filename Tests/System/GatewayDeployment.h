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

/// Gateways as processes of their own, with the users' platform as a stand-in. Not thread-safe,
/// but for call().
class GatewayDeployment {
public:
  /// One gateway for each name of a data centre. Waits until all are ready and each data centre
  /// holds the whole model.
  explicit GatewayDeployment(std::vector<std::string> DataCenters, SiteOptions Options = {});
  ~GatewayDeployment();
  GatewayDeployment(const GatewayDeployment &) = delete;
  GatewayDeployment &operator=(const GatewayDeployment &) = delete;

  Site &site() { return Site_; }
  ChildProcess &gateway(std::size_t Index) { return *Gateways_[Index]; }
  /// Starts a gateway that has ended again, on a new port.
  void restart(std::size_t Index);

  /// A request of customer "crew" through a gateway. Events is the length of a stream's answer,
  /// Prompt the tokens to be read for it. Thread-safe.
  HttpResult call(std::size_t Index, const std::string &Id, const char *Method, const char *Path,
                  int Events = 0, const std::string &Key = "key-1", int Prompt = 700) const;
  /// The same, on a thread of its own.
  std::future<HttpResult> begin(std::size_t Index, const std::string &Id, const char *Method,
                                const char *Path, int Events = 0, int Prompt = 700) const;
  /// Waits until an engine runs a stream of which at least some events were sent, and names it.
  std::string awaitStream(std::uint64_t Events = 5) const;
  /// The metrics of a gateway in Prometheus text format.
  std::string metrics(std::size_t Index) const;
  /// Waits until Done; fails the test with What after half a minute.
  static void await(const std::function<bool()> &Done, const std::string &What);
  /// An engine of a data centre that alone holds some layer, other than Not.
  std::string soleHolder(const std::string &DataCenter, const std::string &Not) const;
  /// The index of the gateway that owns the placement of a data centre.
  std::size_t owner(const std::string &DataCenter);
  /// Whether a gateway owns the placement of its data centre.
  bool owns(std::size_t Index);
  bool isReady(std::size_t Index);
  /// Waits until a gateway has read its settings again.
  void awaitReload(std::size_t Index);
  /// Whether a gateway knows that an endpoint leaves.
  bool knowsLeaving(std::size_t Index, const std::string &Endpoint);

private:
  void start(std::size_t Index);

  Site Site_;
  std::vector<std::string> DataCenters_;
  std::filesystem::path Folder_;
  std::vector<std::unique_ptr<ChildProcess>> Gateways_;
  std::vector<NetAddress> Addresses_;
  std::vector<NetAddress> StateAddresses_;
  /// Reloads that awaitReload has seen, by gateway.
  std::map<std::size_t, std::size_t> Reloads_;
  int FirstPort_ = 0;
};

/// Whether a stream's body holds the events First to Last, each once and in order.
bool holdsEvents(const std::string &Body, int First, int Last);

} // namespace rattancart
