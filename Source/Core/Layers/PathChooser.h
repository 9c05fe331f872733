#pragma once

#include "Core/Layers/PathFinder.h"
#include "Core/Serving/EndpointRoster.h"

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace rattancart {

/// Why no path was found.
enum class PathShortage : std::uint8_t {
  /// No data centre's engines hold the whole model.
  NoWholeModel,
  /// Layers are all held, but not with room for the request.
  NoRoom,
};

/// The path chosen for a request, or why there is none.
struct PathChoice {
  std::optional<LayerPath> Path_;
  PathShortage Shortage_ = PathShortage::NoWholeModel;
  DataCenterId DataCenter_;
  /// Age of the oldest report that the choice rests on; zero if there was none.
  Duration OldestReport_{};
  /// Where room was short in the first data centre without any.
  BottleneckLayer Bottleneck_;
};

/// What an earlier part of a request leaves open.
struct PathConstraints {
  /// Engines that the request has failed on.
  std::set<EndpointId> ExcludedEngines_;
  /// The only engines that it may still be sent to; empty if there is no such limit.
  std::set<EndpointId> AllowedFirstEngines_;
};

/// Chooses the engines of a request: whole paths within one data centre, the own one first.
///
/// Answers losses: while a data centre lacks a layer, its requests run in another one; only the
/// events of the answer cross over, not the activations between stages. Many requests lose their
/// path at the same moment, so they are spread over the other data centres by their speed.
/// Not thread-safe.
class PathChooser {
public:
  PathChooser(const EndpointRoster &Roster, DataCenterId Home)
      : Roster_(Roster), Home_(std::move(Home)) {}

  /// Random decides between copies of layers that are about as fast, and between other data
  /// centres.
  PathChoice choose(const LayeredModel &Model, const ServiceId &Service, const PathDemand &Demand,
                    const PathConstraints &Limits, std::mt19937 &Random, TimePoint Now) const;
  /// Data centres whose engines hold the whole model.
  std::vector<DataCenterId> dataCentersHoldingModel(const LayeredModel &Model,
                                                    const ServiceId &Service, TimePoint Now) const;

private:
  std::vector<StageCandidate> candidates(const LayeredModel &Model, const ServiceId &Service,
                                         const DataCenterId &Place, const PathConstraints &Limits,
                                         TimePoint Now, Duration &OldestReport) const;
  std::vector<DataCenterId> places(const ServiceId &Service) const;

  const EndpointRoster &Roster_;
  DataCenterId Home_;
};

} // namespace rattancart
