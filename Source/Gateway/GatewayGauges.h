#pragma once

#include "Core/Admission/ClassReserve.h"
#include "Core/Layers/PathChooser.h"
#include "Core/Recovery/EndpointSlowStart.h"
#include "Core/Recovery/RetryShare.h"
#include "Core/Serving/EndpointRoster.h"
#include "Core/Serving/ServingIndex.h"

#include <string>
#include <string_view>
#include <vector>

namespace rattancart {

/// One label of a gauge.
struct GaugeLabel {
  std::string_view Name_;
  std::string Value_;
};

/// Gauges in Prometheus text format. Not thread-safe.
class GaugeText {
public:
  /// Prefix is prepended to each name.
  explicit GaugeText(std::string_view Prefix) : Prefix_(Prefix) {}

  /// Precondition: all gauges of one name are added one after the other.
  void add(std::string_view Name, double Value, const std::vector<GaugeLabel> &Labels = {});
  const std::string &text() const { return Text_; }

private:
  std::string Prefix_;
  std::string Last_;
  std::string Text_;
};

/// Adds the number of endpoints by data centre and state, and by data centre the age of the oldest
/// report that paths are chosen from.
void addEndpointGauges(GaugeText &Gauges, const EndpointRoster &Roster, TimePoint Now);

/// Adds the number of endpoints whose slow start has begun, and the window of each.
void addSlowStartGauges(GaugeText &Gauges, const EndpointSlowStart &SlowStart);

/// Adds revision and age of the configuration in force, the retry budget of each service, and for
/// each layered model which data centres hold all of its layers. Adds nothing while there is no
/// configuration.
void addServingGauges(GaugeText &Gauges, const ConfigHolder &Config, const EndpointRoster &Roster,
                      const PathChooser &Paths, const RetryShare &Retries, TimePoint Now);

/// Adds for each service with several classes the part of the engines' memory that a new request of
/// each class leaves free for more urgent ones.
void addReserveGauges(GaugeText &Gauges, const ConfigHolder &Config, const ClassReserve &Reserve,
                      TimePoint Now);

} // namespace rattancart
