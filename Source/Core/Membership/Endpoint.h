#pragma once

#include "Core/Common/Clock.h"
#include "Core/Common/Ids.h"

#include <cstdint>
#include <string>

namespace rattancart {

/// An IP address and TCP port as text, for example "127.0.0.1:8080".
using NetAddress = StringId<struct NetAddressTag>;

enum class EndpointKind : std::uint8_t { Engine = 0, Service = 1 };

/// Ordered: within one incarnation an endpoint's state only rises.
enum class EndpointState : std::uint8_t {
  /// Takes new work.
  Live = 0,
  /// Finishes its work and takes no new work.
  Leaving = 1,
  /// Missing from the platform's list, or silent for long.
  Gone = 2,
};

/// The layers [Begin_, End_) that an engine holds.
struct LayerRange {
  std::uint32_t Begin_ = 0;
  std::uint32_t End_ = 0;
  bool operator==(const LayerRange &) const = default;
};

/// What an endpoint last said about its own load.
struct LoadReport {
  /// Requests running.
  std::uint32_t Active_ = 0;
  /// Requests waiting.
  std::uint32_t Queued_ = 0;
  /// Time that the engine needs for one decode step of one token through its layers.
  Duration StepTime_{};
  /// Time that the engine needs to prefill one token through its layers.
  Duration PrefillTime_{};
  /// Sequences that a step can batch.
  std::uint32_t BatchSlots_ = 1;
  /// Bytes a second to other engines.
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
  /// Rises with each new load report of one incarnation.
  std::uint64_t LoadSequence_ = 0;
  /// The endpoint did not answer its polls since that report; a newer report clears it.
  bool Silent_ = false;
};

} // namespace rattancart
