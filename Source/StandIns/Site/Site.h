#pragma once

#include "Core/Common/Logger.h"
#include "Core/Recovery/RetryShare.h"
#include "StandIns/Site/FakeDesk.h"
#include "StandIns/Site/FakeLayerEngine.h"
#include "StandIns/Site/FakeStoreHandler.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/json/array.hpp>

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace rattancart {

/// The number of engines of each kind in one data centre.
struct DataCenterEngines {
  std::string DataCenter_;
  std::vector<std::pair<std::string, int>> Kinds_;
};

struct SiteOptions {
  std::vector<DataCenterEngines> Engines_ = {{"east", {{"h100", 1}, {"l4", 8}}},
                                             {"west", {{"h100", 1}, {"l4", 8}}}};
  /// How often the endpoints write their entries of the instance list.
  Duration HeartbeatInterval_ = std::chrono::milliseconds(200);
  Duration EventInterval_ = std::chrono::milliseconds(10);
  /// Time that an engine takes to prefill a prompt.
  Duration PrefillTime_{};
  /// Time after which an engine runs again that a prompt part has crashed.
  Duration CrashedEngineDowntime_ = std::chrono::seconds(3);
  /// A gateway that shuts down takes requests for this long.
  Duration ShutdownGrace_ = std::chrono::milliseconds(300);
  /// After this time, a gateway that shuts down ends the requests that are still in flight.
  Duration ShutdownLimit_ = std::chrono::seconds(8);
  /// The retry budget that the gateways share. The ratio allows a gateway that has just started to
  /// repeat each of its requests.
  RetryShareOptions Retries_{.Ratio_ = 10};
  /// The number of gateways in each data centre that read the store for the others.
  int StoreReaders_ = 0;
  /// Whether the gateways judge unanswered probes by their own reception.
  bool Detection_ = false;
};

/// A stand-in for the users' platform in one process: the store, the layered engines and the desks,
/// each on a loopback port. They run on a thread of the site; all methods are thread-safe and wait
/// for that thread.
class Site {
public:
  explicit Site(SiteOptions Options = {});
  ~Site();
  Site(const Site &) = delete;
  Site &operator=(const Site &) = delete;

  NetAddress storeAddress() const { return StoreAddress_; }
  /// The names of the data centres, in the order of the options.
  std::vector<std::string> dataCenters() const;
  /// Writes the settings file of a gateway in a data centre. The gateway listens on free ports for
  /// HTTP and on PeerPort for other gateways.
  void writeGatewaySettings(const std::string &File, const std::string &Instance,
                            const std::string &DataCenter, int PeerPort) const;

  void setStoreFault(StoreFault Fault);
  /// The number of calls that the store has received.
  std::uint64_t storeCalls() const;
  /// See FakeStoreHandler::loseWaitingReads(), setReadRate() and readBytes().
  void loseWaitingStoreReads();
  void setStoreReadRate(std::size_t BytesPerSecond);
  std::uint64_t storeReadBytes() const;
  /// Removes all records from the logs of the store; the newest values stay.
  void truncateLogs();
  /// Keeps a copy of the store as it is now.
  void copyStore();
  /// The store returns from its last copy.
  void returnStoreFromCopy(ReadsAtReturn Reads);
  /// Whether answers of the store name its era.
  void setStoreNamesEra(bool NamesEra);
  void setEngineRunState(const std::string &Id, FakeLayerEngine::RunState State);
  /// Makes an engine announce that it leaves and refuse new streams.
  void drainEngine(const std::string &Id);
  /// Another engine, which is not listed, takes over the address of an engine; see
  /// FakeLayerEngine::replace.
  void replaceEngine(const std::string &Id);
  void setLoseOrderAnswers(bool Lose);
  /// Changes the time that all engines take to prefill the prompts of new streams.
  void setEnginePrefillTime(Duration Time);
  /// Makes the streams of this engine, and of no other, continue with one event that never ends.
  void setEngineSendsEndlessEvent(const std::string &Id);
  /// Makes every engine crash at the start of streams whose prompt has this part; see
  /// FakeLayerEngine::setCrashingPromptPart(). An empty part ends this.
  void setCrashingPromptPart(const std::string &Part);
  void setDeskFault(DeskFault Fault);
  /// Makes a desk name a limit, in requests a second, or none. It serves more all the same.
  void setDeskLimit(const std::string &Id, std::optional<double> PerSecond);
  /// Removes the entry of a desk, which serves on.
  void unlistDesk(const std::string &Id);
  /// Writes an entry of the list as another writer does that doesn't belong to the platform.
  void writeForeignEntry(const std::string &Id, const std::string &Value);
  /// Writes the next version of the configuration, with these API keys of customer "crew".
  void writeConfig(const std::vector<std::string> &Keys);
  /// Writes the next version of the configuration, with an empty list of customers.
  void writeConfigWithoutCustomers();
  /// Writes the next version of the configuration, with one more route to the desks. Returns the
  /// version.
  std::uint64_t addRoute();
  /// Writes the newest Count versions of the configuration again, the oldest of them first.
  void rewriteConfigs(std::size_t Count);
  /// Adds Count routes to all versions that are written later; nobody sends requests there.
  void setUnusedRoutes(int Count);

  ActivityLog activity() const;
  /// For each engine id, the number of streams that have it as their first engine and of which at
  /// least this many events were sent.
  std::map<std::string, std::size_t> streamCounts(std::uint64_t Events) const;
  /// Layers held by the engines that run and do not leave, by id.
  std::map<std::string, LayerRange> layers() const;
  /// Whether the engines of layers() in a data centre hold every layer of the model.
  bool holdsAllLayers(const std::string &DataCenter) const;

private:
  template <typename Function> auto runOnLoop(Function Work) const {
    std::promise<decltype(Work())> Promise;
    auto Result = Promise.get_future();
    boost::asio::post(Loop_, [&] {
      if constexpr (std::is_void_v<decltype(Work())>) {
        Work();
        Promise.set_value();
      } else {
        Promise.set_value(Work());
      }
    });
    return Result.get();
  }

  /// Writes the next version of the configuration. Runs on the site's thread.
  void writeConfigRecord(boost::json::array Customers);
  boost::json::array routes() const;
  /// Starts the engines and desks of all data centres.
  void startEndpoints();
  void writeEndpointEntries();
  void writeEngineEntry(const FakeLayerEngine &Engine, bool Listed);
  void writeDeskEntry(const FakeDesk &Desk);

  SiteOptions Options_;
  mutable boost::asio::io_context Loop_{1};
  SystemClock Time_;
  NullLogger Log_;
  ActivityLog Activity_;
  EngineDirectory Peers_;
  std::set<std::string> UnlistedDesks_;
  std::vector<std::unique_ptr<FakeLayerEngine>> Engines_;
  std::vector<std::unique_ptr<FakeDesk>> Desks_;
  FakeStoreHandler Store_;
  HttpServer StoreServer_;
  NetAddress StoreAddress_;
  Timer HeartbeatTimer_;
  std::uint64_t Version_ = 0;
  /// The versions whose routes were added by addRoute().
  std::vector<std::uint64_t> AddedRoutes_;
  int UnusedRoutes_ = 0;
  /// All records of the configuration that were written, each once.
  std::vector<std::string> ConfigRecords_;
  std::uint64_t HeartbeatCount_ = 0;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work_;
  std::thread Thread_;
};

/// Names and sizes in the configuration that a site writes.
namespace site {
inline constexpr const char *Host = "works.example";
inline constexpr const char *BriefPath = "/brief/1";
inline constexpr const char *BookPath = "/book/1";
inline constexpr const char *LookupPath = "/lookup/1";
inline constexpr const char *Customer = "crew";
/// The path of the route that Site::addRoute() added with that version.
std::string addedRoutePath(std::uint64_t Version);
inline constexpr std::uint32_t Layers = 80;
} // namespace site

} // namespace rattancart
