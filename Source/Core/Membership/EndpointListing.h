#pragma once

#include "Core/Membership/Endpoint.h"

#include <cstdint>
#include <string>

namespace rattancart {

/// One endpoint's entry in the platform's list.
struct EndpointListing {
  EndpointId Id_;
  ServiceId Service_;
  NetAddress Address_;
  DataCenterId DataCenter_;
  EndpointState State_ = EndpointState::Live;
  /// The start time of this run. A restart keeps the id of the endpoint, but no other state.
  Incarnation Run_{0};
  /// The number of requests that it receives at once; 0 if it is not known.
  std::uint32_t Slots_ = 0;
  /// Engines only: the kind of accelerator, and the layers that the engine holds.
  std::string Kind_;
  LayerRange Layers_;

  bool operator==(const EndpointListing &) const = default;
};

/// A number that is the same in all processes for equal entries, and different for others but for a
/// chance of about 1 in 2^64. Thread-safe.
std::uint64_t digestOf(const EndpointListing &Listing);

} // namespace rattancart
