#include "Core/Layers/LoadShare.h"

#include <algorithm>

namespace rattancart {

std::size_t loadsAtOnce(std::size_t Limit, std::size_t DataCenters, const DataCenterId &Home,
                        const std::map<DataCenterId, std::size_t> &Demand) {
  struct Part {
    std::size_t Wanted_ = 0;
    std::size_t Given_ = 0;
  };
  const std::size_t Even = std::max<std::size_t>(1, Limit / std::max<std::size_t>(1, DataCenters));
  std::map<DataCenterId, Part> Parts;
  Parts[Home];
  for (const auto &[Id, Wanted] : Demand)
    Parts[Id].Wanted_ = Id == Home ? Wanted : std::max<std::size_t>(1, Wanted);
  // One load for each data centre of which nothing is known.
  std::size_t Used = DataCenters > Parts.size() ? DataCenters - Parts.size() : 0;
  for (auto &[Id, Each] : Parts) {
    Each.Given_ = std::min(Even, Each.Wanted_);
    Used += Each.Given_;
  }
  for (bool Given = true; Given;) {
    Given = false;
    for (auto &[Id, Each] : Parts) {
      if (Used >= Limit || Each.Given_ >= Each.Wanted_)
        continue;
      ++Each.Given_;
      ++Used;
      Given = true;
    }
  }
  const std::size_t Given = Parts[Home].Given_;
  return Given <= Even ? Even : Even + (Given - Even + 1) / 2;
}

} // namespace rattancart
