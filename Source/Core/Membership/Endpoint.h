#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstdint>
#include <string>

namespace rattancart {

/// An IP address and TCP port as text, for example "127.0.0.1:8080".
using NetAddress = StringId<struct NetAddressTag>;

enum class EndpointKind : std::uint8_t { Engine = 0, Service = 1 };

/// Ordered: within one incarnation, an endpoint's state never goes back to an earlier value.
enum class EndpointState : std::uint8_t {
  /// Takes new work.
  Live = 0,
  /// Finishes its work and takes no new work.
  Leaving = 1,
  /// No longer in the platform's list, or without an answer for a long time.
  Gone = 2,
};

/// The layers [Begin_, End_) that an engine holds.
struct LayerRange {
  std::uint32_t Begin_ = 0;
  std::uint32_t End_ = 0;
  bool operator==(const LayerRange &) const = default;
};

/// An endpoint's last report of its own load.
struct LoadReport {
  /// The number of running requests.
  std::uint32_t Active_ = 0;
  /// The number of waiting requests.
  std::uint32_t Queued_ = 0;
  /// Time that the engine needs to decode one token through its layers.
  Duration StepTime_{};
  /// Time that the engine needs to prefill one token through its layers.
  Duration PrefillTime_{};
  /// The number of sequences that one step can batch.
  std::uint32_t BatchSlots_ = 1;
  /// Bandwidth to other engines, in bytes per second.
  double LinkBytesPerSecond_ = 0;
  /// One-way delay to other engines.
  Duration LinkDelay_{};
};

/// An endpoint as one process knows it.
struct Endpoint {
  EndpointId Id_;
  EndpointKind Kind_ = EndpointKind::Service;
  Incarnation Incarnation_{0};
  NetAddress Address_;
  DataCenterId DataCenter_;
  EndpointState State_ = EndpointState::Live;
  /// Engines only.
  ModelId Model_;
  ModelVersion Version_;
  LayerRange Layers_;
  /// Services only.
  ServiceId Service_;
  LoadReport Load_;
  /// Increases with each new load report of one incarnation.
  std::uint64_t LoadSequence_ = 0;
  /// Whether the endpoint has not answered polls since that report. A newer report clears it.
  bool Silent_ = false;
};

} // namespace rattancart
