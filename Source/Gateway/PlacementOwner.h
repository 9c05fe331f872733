#pragma once

#include "Core/Common/Logger.h"
#include "Core/Layers/PathChooser.h"
#include "Core/Layers/PlacementController.h"
#include "Core/Serving/ServingIndex.h"
#include "Gateway/EndpointProtocol.h"
#include "Gateway/EngineBulletin.h"
#include "Gateway/EngineProber.h"
#include "Gateway/MetadataStore.h"
#include "Net/HttpClient.h"
#include "Net/Timer.h"
#include "Process/MetricSet.h"

#include <boost/asio/io_context.hpp>

namespace rattancart {

/// Joins the group of the home data centre, and while this gateway owns its placement polls the
/// engines there, orders layers and publishes what it learns. Not thread-safe.
class PlacementOwner {
public:
  /// What the owner works with. All must outlive it.
  struct Parts {
    boost::asio::io_context &Loop_;
    const Clock &Time_;
    Logger &Log_;
    MetricSet &Metrics_;
    HttpClient &Client_;
    const EndpointProtocol &Dialect_;
    MetadataStore &Store_;
    EndpointRoster &Roster_;
    const ConfigHolder &Config_;
    const PathChooser &Paths_;
    EngineProber &Health_;
    EngineBulletin &Bulletin_;
  };

  PlacementOwner(Parts Use, DataCenterId Home, std::size_t DataCenters);

  void start();
  /// Leaves the group, so that another gateway takes over at once. While the store is away nobody
  /// could, and the duty is kept.
  void stop();
  /// An engine was found silent; what it held may be missing now.
  void onEngineSilent(const EndpointId &Engine);
  bool owns() const { return Controller_.fence().has_value(); }

private:
  void join();
  void onJoined(const std::optional<Membership> &Place, std::error_code Failure);
  void setOwner(std::optional<FencingNumber> Fence, const char *Reason);
  /// Whether the store has been away for so long that memberships mean nothing.
  bool storeLost() const;
  void standIn();
  void poll();
  void onPolled();
  void place();
  void send(const PlacementOrder &Order);

  Parts Use_;
  DataCenterId Home_;
  std::size_t DataCenters_;
  PlacementController Controller_;
  Timer JoinTimer_;
  Timer PollTimer_;
  FencingNumber Generation_{0};
  /// The fence under which an engine refused an order; the group's next generation ends the pause.
  FencingNumber RefusedFence_{-1};
  std::size_t PollsOpen_ = 0;
  TimePoint JoinedAt_{};
  bool Stopped_ = false;
};

} // namespace rattancart
