#pragma once

#include "Core/Common/Clock.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace rattancart {

/// Counters and latency histograms of one process, each identified by a name and one label.
/// Not thread-safe.
class MetricSet {
public:
  MetricSet();
  ~MetricSet();
  MetricSet(const MetricSet &) = delete;
  MetricSet &operator=(const MetricSet &) = delete;

  /// Adds Step to a counter. Name follows the Prometheus conventions, for example "requests_total".
  void count(std::string_view Name, std::string_view Label, std::uint64_t Step = 1);
  /// Records one latency.
  void observe(std::string_view Name, std::string_view Label, Duration Latency);

  /// The metrics in Prometheus text format; Prefix is prepended to each name.
  std::string prometheusText(std::string_view Prefix) const;
  /// Counter values, and count, mean and quantiles of the latencies, for the state dump.
  boost::json::object state() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace rattancart
