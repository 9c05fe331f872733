#pragma once

#include "Core/Common/Logger.h"
#include "Core/Layers/PathChooser.h"
#include "Core/Layers/PlacementController.h"
#include "Core/Layers/RecoveryTracker.h"
#include "Core/Serving/ServingIndex.h"
#include "Gateway/EndpointProtocol.h"
#include "Gateway/EngineProber.h"
#include "Gateway/EngineStateBroadcast.h"
#include "Gateway/MetadataStore.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "Process/MetricSet.h"

#include <boost/asio/io_context.hpp>

#include <map>

namespace rattancart {

/// Joins the group in which the store assigns the placement of the home data centre to one gateway.
/// While this gateway is the owner, polls the engines there, orders them to load layers and
/// publishes their states. Not thread-safe.
class PlacementCoordinator {
public:
  /// All references must outlive the coordinator.
  struct Dependencies {
    boost::asio::io_context &Loop_;
    const Clock &Time_;
    Logger &Log_;
    MetricSet &Metrics_;
    HttpClient &Client_;
    const EndpointProtocol &Protocol_;
    MetadataStore &Store_;
    EndpointRoster &Roster_;
    const ConfigHolder &Config_;
    const PathChooser &Paths_;
    EngineProber &Prober_;
    EngineStateBroadcast &StateBroadcast_;
  };

  PlacementCoordinator(Dependencies Use, DataCenterId Home, std::size_t DataCenters);

  void start();
  /// Leaves the group, so that another gateway takes over at once. While the store is unreachable,
  /// no other gateway could take over, so an owner keeps the duty.
  void stop();
  /// Isolated: this gateway reaches no engine. It leaves the group until it does again, so that
  /// another gateway places the layers.
  void setIsolated(bool Isolated);
  /// An engine was found silent; its layers may be missing now.
  void onEngineSilent(const EndpointId &Engine);
  bool owns() const { return Controller_.fence().has_value(); }

private:
  void join();
  void onJoined(const std::optional<Membership> &Joined, std::error_code Failure);
  void setOwner(std::optional<FencingNumber> Fence, const char *Reason);
  /// Whether the store has been unreachable for so long that memberships may have expired.
  bool storeLost() const;
  /// Takes over the placement if both the store and the owner are lost and it is this gateway's
  /// turn.
  void tryStandIn();
  /// Whether an engine's report is too old for its load, or orders are pending.
  bool isPollDue(const EndpointRecord &Record) const;
  void poll();
  void onPolled();
  void updatePlacement();
  /// Probes the engines that are silent but not lost yet, and updates the placement again soon.
  void probeDoubtfulEngines();
  /// Logs and counts which silent engines were lost and which answered, and when planning is
  /// suspended.
  void reportLosses(const ServiceId &Service);
  /// Logs and counts for how long orders wait for other data centres.
  void reportTurn(const ServiceId &Service);
  /// Logs and counts the steps of the recovery from a loss of engines.
  void trackRecovery(const LayeredModel &Model, const ServiceId &Service);
  void send(const PlacementOrder &Order);
  /// Another endpoint, which has the engine's address now, refused the order.
  void onAddressTaken(const PlacementOrder &Order, Incarnation ListedRun);

  Dependencies Use_;
  DataCenterId Home_;
  std::size_t DataCenters_;
  PlacementController Controller_;
  std::map<ServiceId, RecoveryTracker> Recoveries_;
  Timer JoinTimer_;
  Timer PollTimer_;
  Timer DoubtTimer_;
  bool DoubtTimerRuns_ = false;
  FencingNumber Generation_{0};
  /// Fencing number that was refused by an engine or outranked by another owner. This gateway owns
  /// the placement again only in a later generation of the group.
  FencingNumber RefusedFence_{-1};
  std::size_t PollsOpen_ = 0;
  TimePoint JoinedAt_{};
  bool Stopped_ = false;
  bool Isolated_ = false;
};

} // namespace rattancart
