#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <unordered_map>
#include <vector>

namespace rattancart {

/// Endpoints that failed lately. New plans avoid them where other endpoints are available. Not
/// thread-safe.
class SuspectList {
public:
  /// Endpoints are avoided for AvoidFor after each failure.
  explicit SuspectList(Duration AvoidFor) : AvoidFor_(AvoidFor) {}

  void add(const EndpointId &Endpoint, TimePoint Now) { AvoidUntil_[Endpoint] = Now + AvoidFor_; }
  /// Removes an endpoint that has answered.
  void remove(const EndpointId &Endpoint) {
    if (!AvoidUntil_.empty())
      AvoidUntil_.erase(Endpoint);
  }
  /// The endpoints to avoid at Now, in no particular order. Removes those whose time is over.
  std::vector<EndpointId> current(TimePoint Now) {
    std::erase_if(AvoidUntil_, [Now](const auto &Item) { return Item.second <= Now; });
    std::vector<EndpointId> Ids;
    Ids.reserve(AvoidUntil_.size());
    for (const auto &[Id, Until] : AvoidUntil_)
      Ids.push_back(Id);
    return Ids;
  }

private:
  Duration AvoidFor_;
  std::unordered_map<EndpointId, TimePoint> AvoidUntil_;
};

} // namespace rattancart
