#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/DecayingRate.h"

#include <deque>

namespace rattancart {

/// Estimates how much of an engine's memory is in use now, from reports that lag.
///
/// Answers the load pattern in which a whole data centre fills a fast engine between two of its
/// reports: the requests of this process since the last report are added to it, the growth between
/// the last two reports is assumed to go on, and an engine that has refused a request is assumed to
/// have no memory for one of that size until a later report. Memory is in tokens times layers. Not
/// thread-safe.
class EngineMemoryEstimate {
public:
  /// A report that the engine made at MeasuredAt or slightly earlier.
  void onReport(double Used, double Total, TimePoint MeasuredAt);
  /// This process sent a request that needs TokenLayers.
  void onSent(double TokenLayers, TimePoint Now);
  /// The engine refused a request that needs TokenLayers.
  void onRefused(double TokenLayers, TimePoint Now);

  /// The memory that is probably in use now; 0 without a report.
  double used(TimePoint Now) const;
  /// The memory that the requests of this process need on average that it sends in the time that
  /// the last report does not show.
  double averageSends(TimePoint Now) const;

private:
  struct Sent {
    TimePoint At_;
    double TokenLayers_;
  };

  /// Age of the state that the last report shows, as far as it is extrapolated.
  Duration stateAge(TimePoint Now) const;
  double sentSince(TimePoint Since) const;

  double Used_ = 0;
  double Total_ = 0;
  TimePoint MeasuredAt_{};
  /// Growth per second between the last two reports; not negative.
  double GrowthPerSecond_ = 0;
  /// Requests that the last report may not show, oldest first.
  std::deque<Sent> Sent_;
  /// Follows a change of the paths, such as the loss of another copy of the layers, within seconds.
  DecayingRate SendRate_{std::chrono::milliseconds(1500)};
  double RefusedTokenLayers_ = 0;
  TimePoint RefusedAt_{};
};

} // namespace rattancart
