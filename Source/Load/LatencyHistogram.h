#pragma once

#include "Core/Common/Clock.h"

#include <boost/histogram.hpp>

#include <cstddef>
#include <vector>

namespace rattancart {

/// Counts durations in logarithmic bins from 10 us to 1000 s; the bounds of a bin differ by 2.3%.
/// Not thread-safe.
class LatencyHistogram {
public:
  LatencyHistogram();
  void add(Duration Value);
  std::size_t count() const { return Count_; }
  /// The upper bound of the bin that holds this quantile, in seconds; zero if there are no values.
  /// Precondition: Fraction is between 0 and 1.
  double quantile(double Fraction) const;

  struct Bin {
    double UpperSeconds_;
    double Count_;
  };
  /// The bins that are not empty, in ascending order.
  std::vector<Bin> bins() const;

private:
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> Bins_;
  std::size_t Count_ = 0;
};

} // namespace rattancart
