#pragma once

#include "SiteModel/SiteLoad.h"
#include "Tests/Core/Layers/Deployments.h"

#include <vector>

namespace rattancart::test {

/// Three data centres with the engines of a known site.
inline const std::vector<SimulatedSite::DataCenterSetup> &peakDataCenters() {
  static const std::vector<SimulatedSite::DataCenterSetup> DataCenters = {
      {"karratha", {{"h100", 1}, {"a100s", 1}, {"l4", 5}, {"t4", 7}}},
      {"port-hedland", {{"a100s", 1}, {"l4", 8}, {"t4", 3}}},
      {"newman", {{"a100s", 2}, {"l4", 4}, {"t4", 7}}}};
  return DataCenters;
}

/// Streams per second in each of these data centres at peak load.
inline SiteLoad peakLoad() { return {{22.7, 19.5, 22.7}}; }

inline LayeredModel peakModel() {
  LayeredModel Model = makeModel(80);
  Model.StepPerSequence_ = std::chrono::nanoseconds(3820);
  return Model;
}

} // namespace rattancart::test
