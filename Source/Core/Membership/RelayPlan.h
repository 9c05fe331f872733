#pragma once

#include "Core/Common/Ids.h"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace rattancart {

/// A receiver that forwards a message to other receivers in its data centre.
struct RelayGroup {
  std::string Relay_;
  std::vector<std::string> Receivers_;
};

/// Divides the receivers of a message into groups within one data centre each. A data centre has
/// about as many groups as each group has members, so the sender, whose link may be narrow, sends
/// only about the square root of the number of messages that are received. The relays are chosen at
/// random for each message, so that the loss of a relay does not always affect the same receivers.
std::vector<RelayGroup>
planRelays(const std::map<DataCenterId, std::vector<std::string>> &Receivers, std::mt19937 &Random);

} // namespace rattancart
