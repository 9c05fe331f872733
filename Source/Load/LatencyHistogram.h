#pragma once

#include "Core/Common/Clock.h"

#include <boost/histogram.hpp>

#include <cstddef>
#include <vector>

namespace rattancart {

/// Counts durations in bins of equal ratio from 10 us to 1000 s; a bin spans 2.3%.
/// Not thread-safe.
class LatencyHistogram {
public:
  LatencyHistogram();
  void add(Duration Value);
  std::size_t count() const { return Count_; }
  /// The value that Part of all values do not exceed, in seconds; zero if there is none.
  /// Precondition: Part is within 0 and 1.
  double quantile(double Part) const;

  struct Bin {
    double UpperSeconds_;
    double Count_;
  };
  /// The bins with a count, in rising order.
  std::vector<Bin> bins() const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> Bins_;
  std::size_t Count_ = 0;
};

} // namespace rattancart
