#include "Core/Membership/RelayPlan.h"

#include <algorithm>
#include <cmath>

namespace rattancart {

std::vector<RelayGroup>
planRelays(const std::map<DataCenterId, std::vector<std::string>> &Receivers,
           std::mt19937 &Random) {
  std::vector<RelayGroup> Groups;
  for (const auto &[Place, Names] : Receivers) {
    std::vector<std::string> Drawn = Names;
    std::shuffle(Drawn.begin(), Drawn.end(), Random);
    const auto Count =
        static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(Drawn.size()))));
    const std::size_t First = Groups.size();
    for (std::size_t I = 0; I < Drawn.size(); ++I) {
      if (I < Count)
        Groups.push_back({std::move(Drawn[I]), {}});
      else
        Groups[First + I % Count].Receivers_.push_back(std::move(Drawn[I]));
    }
  }
  // No data centre is always the last to be sent to.
  std::shuffle(Groups.begin(), Groups.end(), Random);
  return Groups;
}

} // namespace rattancart
