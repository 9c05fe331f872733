#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace rattancart {

/// What the endpoints of a site have run, as they saw it.
struct SiteLedger {
  /// Runs of each request id, by endpoint.
  std::map<std::string, std::vector<std::string>> Runs_;
  /// Requests that were turned away, by the engine at fault.
  std::map<std::string, std::size_t> Refusals_;
  /// Bookings by request id.
  std::set<std::string> Bookings_;
  /// What broke the protocol: a layer left out, a wrong customer, an unknown path.
  std::vector<std::string> Faults_;
};

} // namespace rattancart
