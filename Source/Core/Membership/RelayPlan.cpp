#include "Core/Membership/RelayPlan.h"

#include <algorithm>
#include <cmath>

namespace rattancart {

std::vector<RelayGroup>
planRelays(const std::map<DataCenterId, std::vector<std::string>> &Receivers,
           std::mt19937 &Random) {
  std::vector<RelayGroup> Groups;
  for (const auto &[DataCenter, Names] : Receivers) {
    std::vector<std::string> Shuffled = Names;
    std::shuffle(Shuffled.begin(), Shuffled.end(), Random);
    const auto Count =
        static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(Shuffled.size()))));
    const std::size_t First = Groups.size();
    for (std::size_t I = 0; I < Shuffled.size(); ++I) {
      if (I < Count)
        Groups.push_back({std::move(Shuffled[I]), {}});
      else
        Groups[First + I % Count].Receivers_.push_back(std::move(Shuffled[I]));
    }
  }
  // The order is random, so that no data centre is always the last one.
  std::shuffle(Groups.begin(), Groups.end(), Random);
  return Groups;
}

} // namespace rattancart
