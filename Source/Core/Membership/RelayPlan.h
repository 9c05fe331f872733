#pragma once

#include "Core/Common/Ids.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace rattancart {

/// A receiver that passes a message on to others of its data centre.
struct RelayGroup {
  std::string Relay_;
  std::vector<std::string> Receivers_;
};

/// Divides the receivers of a message into groups of one data centre each, about as many as each
/// group has members, so that a sender with a narrow link sends the square root of what all
/// receive. Who relays is drawn anew each time: what a lost relay takes with it is not the same
/// twice.
std::vector<RelayGroup>
planRelays(const std::map<DataCenterId, std::vector<std::string>> &Receivers, std::mt19937 &Random);

} // namespace rattancart
