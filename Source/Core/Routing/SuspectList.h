#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <unordered_map>
#include <vector>

namespace rattancart {

/// Endpoints that failed lately, which new plans avoid where others can be had. Not thread-safe.
class SuspectList {
public:
  /// An endpoint is avoided for Hold after each failure.
  explicit SuspectList(Duration Hold) : Hold_(Hold) {}

  void add(const EndpointId &Endpoint, TimePoint Now) { Until_[Endpoint] = Now + Hold_; }
  /// The endpoint answered; it is not avoided any more.
  void remove(const EndpointId &Endpoint) {
    if (!Until_.empty())
      Until_.erase(Endpoint);
  }
  /// The endpoints to avoid at Now, in no particular order; forgets the others.
  std::vector<EndpointId> current(TimePoint Now) {
    std::erase_if(Until_, [Now](const auto &Item) { return Item.second <= Now; });
    std::vector<EndpointId> Ids;
    Ids.reserve(Until_.size());
    for (const auto &[Id, Until] : Until_)
      Ids.push_back(Id);
    return Ids;
  }

private:
  Duration Hold_;
  std::unordered_map<EndpointId, TimePoint> Until_;
};

} // namespace rattancart
