#pragma once

#include "SiteModel/SimulatedSite.h"

#include <memory>
#include <string>
#include <vector>

namespace rattancart {

/// Requests that arrive at random.
struct SiteLoad {
  /// Streams per second at each gateway, in the order of the site's data centres.
  std::vector<double> StreamsPerSecond_;
  /// Prompt tokens and response events are exponentially distributed with these means, truncated at
  /// the maxima.
  double MeanPromptTokens_ = 730;
  double MaxPromptTokens_ = 2280;
  double MeanEvents_ = 87;
  double MaxEvents_ = 220;
  /// Hosts that the requests name, with equal shares.
  std::vector<std::string> Hosts_ = {"site"};
};

using CallerViews = std::vector<std::shared_ptr<CallerView>>;

/// Sends requests for Span. Their responses may end later. Not thread-safe.
CallerViews runLoad(SimulatedSite &Site, const SiteLoad &Load, Duration Span);

/// The fraction of requests that were served in time; 1 if there are none. Thread-safe.
double fractionInTime(const CallerViews &Seen);

/// Outcomes of the requests that were sent within one second.
struct SecondOutcomes {
  std::size_t Offered_ = 0;
  std::size_t InTime_ = 0;
  std::size_t Late_ = 0;
  std::size_t Refused_ = 0;
  /// Aborted, without a response, or with an unexpected status.
  std::size_t Failed_ = 0;
};

/// Outcomes by the second in which the requests were sent, counted from Start. Thread-safe.
std::vector<SecondOutcomes> outcomesBySecond(const CallerViews &Seen, TimePoint Start);

} // namespace rattancart
