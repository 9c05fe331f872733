#pragma once

#include "Gateway/GatewayRequestHandler.h"
#include "SiteModel/SimulatedEngines.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattancart {

/// What a caller saw of one try.
struct CallerView {
  std::string Id_;
  TimePoint SentAt_{};
  std::uint64_t ExpectedEvents_ = 0;
  /// 0 while there is no answer.
  std::uint32_t Status_ = 0;
  std::vector<std::uint64_t> EventIds_;
  Duration TimeToFirstEvent_{};
  Duration LongestPause_{};
  TimePoint LastEventAt_{};
  bool Complete_ = false;
  bool Aborted_ = false;
  bool Left_ = false;
  /// Tells the gateway that the caller has gone.
  std::function<void()> OnLeave_;

  bool ended() const { return Complete_ || Aborted_ || Left_; }
  /// Closes the caller's connection.
  void leave();
  /// The first event within half a second and no pause over 200 ms, as the users' routes ask.
  bool inTime() const;
};

/// Gateways, one in each data centre, over simulated engines: the real front, exchanges, path
/// choice, placement, queue and budget, with the clock and the sockets replaced. Not thread-safe.
class SimulatedSite {
public:
  struct DataCenterSetup {
    std::string Name_;
    std::vector<std::pair<std::string, int>> EngineCounts_;
  };

  /// Precondition: the kinds of all engines are kinds of the model.
  SimulatedSite(unsigned Seed, LayeredModel Model, const std::vector<DataCenterSetup> &DataCenters);

  EventQueue &queue() { return Queue_; }
  SimulatedEngines &engines() { return Engines_; }
  const SimulatedEngines &engines() const { return Engines_; }
  std::mt19937 &random() { return Random_; }
  /// Ids of the engines of a data centre, or of all.
  std::vector<EndpointId> engineIds(const std::string &Where = "") const;
  /// Runs until every data centre holds the model.
  void runUntilLoaded();
  /// Whether the running engines of a data centre hold every layer.
  bool holdsWholeModel(const std::string &Where) const;
  /// All gateways take a running engine for silent, as when its answers come too late; they ask it
  /// again half a second later at most.
  void simulateFalseSilence(const EndpointId &Engine);
  /// All gateways spend what they may repeat in this window.
  void exhaustRetryBudget();
  /// A caller's request through the gateway of the data centre at that place in the list; the view
  /// changes as time goes on.
  std::shared_ptr<CallerView> sendRequest(std::size_t At, double Prompt, std::uint64_t Events);
  /// Requests that gateways have under way.
  std::size_t inFlight() const;
  /// Streams that went on elsewhere so far.
  std::uint64_t resumedStreams() const { return Resumes_; }

private:
  class Watch;
  struct Gateway;

  void learn();
  void place();
  void found(const EndpointId &Engine);

  EventQueue Queue_;
  LayeredModel Model_;
  SimulatedEngines Engines_;
  SimulatedEngineProtocol Dialect_;
  boost::asio::io_context Loop_;
  std::unique_ptr<Logger> Log_;
  std::mt19937 Random_;
  ConfigHolder Config_;
  std::vector<std::shared_ptr<Gateway>> Gateways_;
  std::uint64_t NextId_ = 1;
  std::uint64_t Resumes_ = 0;
};

} // namespace rattancart
