#pragma once

#include "Gateway/GatewayRequestHandler.h"
#include "SiteModel/GatewayLink.h"
#include "SiteModel/SimulatedEngines.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace rattancart {

/// What a caller saw of one request.
struct CallerView {
  std::string Id_;
  /// The host that the request names, which selects its route.
  std::string Host_;
  TimePoint SentAt_{};
  std::uint64_t ExpectedEvents_ = 0;
  /// 0 until the response begins.
  std::uint32_t Status_ = 0;
  /// The gateway's error number; 0 if it sent none.
  int Error_ = 0;
  std::vector<std::uint64_t> EventIds_;
  Duration TimeToFirstEvent_{};
  Duration LongestPause_{};
  TimePoint LastEventAt_{};
  /// When the response was complete or aborted.
  TimePoint EndedAt_{};
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

/// Gateways in each data centre in front of simulated engines. Request handling, exchanges,
/// path selection, placement, the memory queue, the retry budget and the quarantine of prompts are
/// the real ones; the clock and the sockets are simulated. Not thread-safe.
class SimulatedSite {
public:
  struct DataCenterSetup {
    std::string Name_;
    /// How many engines of each kind it has.
    std::vector<std::pair<std::string, int>> EngineCounts_;
    /// The first of its gateways owns its engines.
    std::uint32_t Gateways_ = 1;
  };

  /// Precondition: the model defines the kinds of all engines.
  SimulatedSite(unsigned Seed, LayeredModel Model, const std::vector<DataCenterSetup> &DataCenters);

  EventQueue &queue() { return Queue_; }
  SimulatedEngines &engines() { return Engines_; }
  const SimulatedEngines &engines() const { return Engines_; }
  std::mt19937 &random() { return Random_; }
  /// Ids of the engines of a data centre, or of all data centres if the name is empty.
  std::vector<EndpointId> engineIds(const std::string &DataCenter = "") const;
  /// Runs until every data centre holds the whole model, for two simulated minutes at most, and
  /// then 20 s more for further copies of the layers.
  void runUntilLoaded();
  /// Whether the running engines of a data centre hold every layer.
  bool holdsWholeModel(const std::string &DataCenter) const;
  /// Makes all gateways consider a running engine silent, as when its answers come too late. They
  /// probe it again within half a second.
  void simulateFalseSilence(const EndpointId &Engine);
  /// Removes an engine from the list of all gateways, or adds it again. It goes on with its
  /// requests and accepts new ones.
  void setListed(const EndpointId &Engine, bool Listed);
  /// Lists an engine as leaving until its next run. It refuses new requests from now on and goes on
  /// with those that it has.
  void announceLeaving(const EndpointId &Engine);
  const ServingConfig &config() const { return Config_.current()->config(); }
  /// All gateways take a configuration for new requests. Precondition: its revision is higher than
  /// that of config().
  void replaceConfig(ServingConfig Config) {
    Config_.replaceIfNewer(std::move(Config), Queue_.now());
  }
  /// All gateways use slow start from now on; they don't by default.
  void enableSlowStart(SlowStartOptions Options);
  /// The number of slow starts that have begun so far, added up over all gateways.
  std::uint64_t slowStarts() const { return SlowStarts_; }
  /// Uses up the retry budgets of all gateways for this window.
  void exhaustRetryBudget();
  /// The share of datagrams about suspected parts of prompts that are lost; 0 by default.
  void setDatagramLoss(double Share) { DatagramLoss_ = Share; }
  /// The share of claims of a turn whose answer is lost after the turn was taken; 0 by default.
  void setTurnLoss(double Share) { TurnLoss_ = Share; }
  /// The number of claims of a turn so far.
  std::uint64_t turnClaims() const { return TurnClaims_; }
  /// Cuts the gateway with that index off from all engines, or ends the cut. Callers and the other
  /// gateways still reach it.
  void setLinkFault(std::size_t GatewayIndex, LinkFault Fault);
  /// Sends a request through the gateway with that index, in the order of the data centres. The
  /// parts of its prompt that other requests share are separated by commas. The view is updated as
  /// simulated time passes.
  std::shared_ptr<CallerView> sendRequest(std::size_t GatewayIndex, double Prompt,
                                          std::uint64_t Events, const std::string &Parts = {},
                                          const std::string &Host = "site");
  std::size_t gatewayCount() const { return Gateways_.size(); }
  /// The number of parts of prompts that are quarantined, added up over all gateways.
  std::size_t quarantinedParts() const;
  /// Requests in flight at all gateways.
  std::size_t inFlight() const;
  /// Streams that were resumed on another path so far.
  std::uint64_t resumedStreams() const { return Counts_.Resumes_; }
  /// Crashes of engines that began to answer a request, as gateways noticed them so far.
  std::uint64_t noticedCrashes() const { return Counts_.NoticedCrashes_; }

  /// How often gateways logged some events.
  struct LogCounts {
    std::uint64_t Resumes_ = 0;
    std::uint64_t NoticedCrashes_ = 0;
  };

private:
  class HealthMonitor;
  class Turns;
  struct Gateway;

  /// Tells the slow start of a gateway what is in its roster.
  void updateSlowStart(Gateway &Each);
  /// The address at which a gateway takes requests of others, and what takes them there; null if
  /// there is no such gateway.
  static NetAddress peerAddress(std::size_t GatewayIndex);
  HttpHandler *peerHandler(const NetAddress &Address);
  /// Names the gateways that reach engines to all others.
  void namePeers();
  /// Sends the reports of all engines to all gateways.
  void updateRosters();
  void updatePlacement();
  /// Owners probe the engines that are silent but not lost yet, as PlacementCoordinator does.
  void probeDoubtfulEngines();
  /// Tells all gateways that one of them found an engine silent.
  void broadcastSilence(const EndpointId &Engine);
  /// Sends a gateway's new observations about parts of prompts to the owners of all data centres.
  void reportSuspects(Gateway &From);
  /// Each owner passes on its suspects to the gateways of its data centre, or to all gateways.
  void broadcastSuspects(bool ToAll);
  void sendSuspects(const std::vector<PromptSuspect> &Suspects, Gateway &To);

  EventQueue Queue_;
  LayeredModel Model_;
  SimulatedEngines Engines_;
  SimulatedEngineProtocol Dialect_;
  boost::asio::io_context Loop_;
  std::unique_ptr<Logger> Log_;
  std::mt19937 Random_;
  ConfigHolder Config_;
  std::vector<std::shared_ptr<Gateway>> Gateways_;
  std::set<EndpointId> UnlistedEngines_;
  /// Engines that are listed as leaving, with their run.
  std::map<EndpointId, Incarnation> LeavingEngines_;
  std::uint64_t NextId_ = 1;
  LogCounts Counts_;
  std::uint64_t SlowStarts_ = 0;
  bool DoubtTimerRuns_ = false;
  double DatagramLoss_ = 0;
  std::mt19937 LossRandom_;
  std::mt19937 TurnRandom_;
  std::shared_ptr<Turns> Turns_;
  double TurnLoss_ = 0;
  std::uint64_t TurnClaims_ = 0;
};

} // namespace rattancart
