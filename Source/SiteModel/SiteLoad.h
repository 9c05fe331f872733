#pragma once

#include "SiteModel/SimulatedSite.h"

#include <memory>
#include <vector>

namespace rattancart {

/// Callers that come at random.
struct SiteLoad {
  /// Streams a second at each gateway, in the order of the site's places.
  std::vector<double> StreamsPerSecond_;
  /// Means of the prompt's tokens and of the answer's events, both spread exponentially up to a
  /// limit.
  double MeanPromptTokens_ = 730;
  double MaxPromptTokens_ = 2280;
  double MeanEvents_ = 87;
  double MaxEvents_ = 220;
};

using CallerViews = std::vector<std::shared_ptr<CallerView>>;

/// Lets callers come for Span. Their answers may end after it. Not thread-safe.
CallerViews runLoad(SimulatedSite &Site, const SiteLoad &Load, Duration Span);

/// Part of the callers that were served in time; 1 if there were none. Thread-safe.
double fractionInTime(const CallerViews &Seen);

/// What became of the callers that came in one second.
struct SecondOutcomes {
  std::size_t Offered_ = 0;
  std::size_t InTime_ = 0;
  std::size_t Late_ = 0;
  std::size_t Refused_ = 0;
  /// Cut off, or without an answer.
  std::size_t Failed_ = 0;
};

/// By seconds since Start. Thread-safe.
std::vector<SecondOutcomes> outcomesBySecond(const CallerViews &Seen, TimePoint Start);

} // namespace rattancart
