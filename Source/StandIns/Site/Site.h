#pragma once

#include "Core/Common/Logger.h"
#include "Core/Recovery/RetryShare.h"
#include "StandIns/Site/FakeDesk.h"
#include "StandIns/Site/FakeLayerEngine.h"
#include "StandIns/Site/FakeStoreHandler.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rattancart {

/// The engines of one data centre, by kind.
struct SiteEngines {
  std::string DataCenter_;
  std::vector<std::pair<std::string, int>> Kinds_;
};

struct SiteOptions {
  std::vector<SiteEngines> Engines_ = {{"east", {{"h100", 1}, {"l4", 8}}},
                                       {"west", {{"h100", 1}, {"l4", 8}}}};
  /// How often endpoints write to the list.
  Duration Heartbeat_ = std::chrono::milliseconds(200);
  Duration EventInterval_ = std::chrono::milliseconds(10);
  /// How long an engine reads a prompt.
  Duration PrefillTime_{};
  /// The common retry budget of the gateways. The ratio lets one that has just started repeat each
  /// of its requests.
  RetryShareOptions Retries_{.Ratio_ = 10};
};

/// The users' platform in one process: its store, layered engines and desks on loopback ports, on a
/// thread of their own. All methods are thread-safe and wait for that thread.
class Site {
public:
  explicit Site(SiteOptions Options = {});
  ~Site();
  Site(const Site &) = delete;
  Site &operator=(const Site &) = delete;

  NetAddress storeAddress() const { return StoreAddress_; }
  /// The data centres, in order.
  std::vector<std::string> dataCenters() const;
  /// Writes the settings file of a gateway in a data centre, on free ports.
  void writeGatewaySettings(const std::string &File, const std::string &Instance,
                            const std::string &DataCenter, int PeerPort) const;

  void setStoreFault(StoreFault Fault);
  void truncateLogs();
  void setEngineRunState(const std::string &Id, FakeLayerEngine::RunState RunState);
  /// The engine says that it leaves, and takes nothing new.
  void drainEngine(const std::string &Id);
  void setLoseOrderAnswers(bool Lose);
  /// The streams of an engine go on with one event that never ends.
  void setEngineSendsEndlessEvent(const std::string &Id);
  void setDeskFault(DeskFault Fault);
  /// Writes the next version of the configuration with these keys of customer "crew".
  void writeConfig(const std::vector<std::string> &Keys);

  ActivityLog activity() const;
  /// Streams that each engine runs as their first engine, with this many events sent.
  std::map<std::string, std::size_t> streamCounts(std::uint64_t Events) const;
  /// Layers held by the engines that run, by id.
  std::map<std::string, LayerRange> layers() const;
  /// Whether the running engines of a data centre hold every layer.
  bool holdsAllLayers(const std::string &DataCenter) const;

private:
  template <typename Function> auto onLoop(Function Work) const {
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

  void startEngines();
  void heartbeat();
  void registerEngine(const FakeLayerEngine &Engine, bool Listed);
  void registerDesk(const FakeDesk &Desk);

  SiteOptions Options_;
  mutable boost::asio::io_context Loop_{1};
  SystemClock Time_;
  NullLogger Log_;
  ActivityLog Ledger_;
  EngineDirectory Peers_;
  std::vector<std::unique_ptr<FakeLayerEngine>> Engines_;
  std::vector<std::unique_ptr<FakeDesk>> Desks_;
  FakeStoreHandler Store_;
  HttpServer StoreServer_;
  NetAddress StoreAddress_;
  Timer Heartbeat_;
  std::uint64_t Version_ = 0;
  std::uint64_t Beats_ = 0;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> Work_;
  std::thread Thread_;
};

/// Names that a site's routes, services and customer go by.
namespace site {
inline constexpr const char *Host = "works.example";
inline constexpr const char *BriefPath = "/brief/1";
inline constexpr const char *BookPath = "/book/1";
inline constexpr const char *LookupPath = "/lookup/1";
inline constexpr const char *Customer = "crew";
inline constexpr std::uint32_t Layers = 80;
} // namespace site

} // namespace rattancart
