#pragma once

#include "Core/Layers/PathFinder.h"
#include "Core/Recovery/EndpointSlowStart.h"
#include "Core/Serving/EndpointRoster.h"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace rattancart {

/// Why no path was found.
enum class PathShortage : std::uint8_t {
  /// There is no data centre whose engines hold the whole model.
  NoWholeModel,
  /// All layers are held, but some only by engines without memory for the request.
  NoFreeMemory,
  /// The limits that the first engines name leave no room for the request.
  LimitReached,
};

/// The path that was chosen for a request, or why there is none.
struct PathChoice {
  std::optional<LayerPath> Path_;
  PathShortage Shortage_ = PathShortage::NoWholeModel;
  DataCenterId DataCenter_;
  /// Age of the oldest engine report that the choice is based on; zero if there was none.
  Duration OldestReport_{};
  /// The layer with the least free memory, in the first data centre that had no memory for the
  /// request.
  BottleneckLayer Bottleneck_;
};

/// Limits that earlier attempts of a request put on its next path.
struct PathConstraints {
  /// Engines on which the request has failed.
  std::set<EndpointId> ExcludedEngines_;
  /// The only engines that the request may still be sent to; empty if there is no such limit.
  std::set<EndpointId> AllowedFirstEngines_;
  /// Engines whose limit leaves no room for the request, so that it can't be sent to them. They may
  /// be later stages.
  std::set<EndpointId> LimitedFirstEngines_;
};

/// Chooses the engines of a request: a path within one data centre, preferably the home one.
///
/// While a data centre lacks a layer, its requests run in another one; only the events of the
/// answer cross between data centres, not the activations between stages. Many requests lose their
/// path at the same moment, so they are distributed over the other data centres by their speed.
/// Not thread-safe.
class PathChooser {
public:
  PathChooser(const EndpointRoster &Roster, DataCenterId Home)
      : Roster_(Roster), Home_(std::move(Home)) {}

  /// Keeps requests from engines that have just started or recovered, as far as other engines can
  /// take them. Null, the default, switches that off. Precondition: SlowStart outlives this.
  void setSlowStart(EndpointSlowStart *SlowStart) { SlowStart_ = SlowStart; }

  /// Chooses a path at Now. Random decides between copies of layers that are about as fast, and
  /// between the other data centres.
  PathChoice choose(const LayeredModel &Model, const ServiceId &Service, const PathDemand &Demand,
                    const PathConstraints &Limits, std::mt19937 &Random, TimePoint Now) const;
  /// The data centres whose engines hold the whole model.
  std::vector<DataCenterId> dataCentersHoldingModel(const LayeredModel &Model,
                                                    const ServiceId &Service, TimePoint Now) const;

private:
  std::vector<StageCandidate> candidates(const LayeredModel &Model, const ServiceId &Service,
                                         const DataCenterId &DataCenter,
                                         const PathConstraints &Limits, TimePoint Now,
                                         Duration &OldestReport) const;
  /// Adds a random part of what the other gateways may have sent to the engine to its memory use,
  /// unless it has memory to spare. If they could all fill it, each of them thus chooses it only
  /// with a probability that leaves it filled, not overfilled.
  void addConcurrentSends(StageCandidate &Engine, std::mt19937 &Random, TimePoint Now) const;
  /// Raises the cost of engines that are warming by Avoided, if it is not null.
  PathChoice chooseAmongAll(const LayeredModel &Model, const ServiceId &Service,
                            const PathDemand &Demand, const PathConstraints &Limits,
                            std::mt19937 &Random, TimePoint Now,
                            const EndpointSlowStart *Avoided) const;
  /// Asks the slow start about each engine of a path. Adds those that it denies to Denied and
  /// returns whether there is one.
  bool denyWarming(const LayerPath &Path, const PathDemand &Demand, double Draw, TimePoint Now,
                   std::set<EndpointId> &Denied) const;
  std::vector<DataCenterId> dataCenters(const ServiceId &Service) const;

  const EndpointRoster &Roster_;
  DataCenterId Home_;
  EndpointSlowStart *SlowStart_ = nullptr;
};

} // namespace rattancart
