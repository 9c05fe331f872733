#pragma once

#include "Core/Admission/EndpointLimiter.h"
#include "Core/Recovery/PromptQuarantine.h"
#include "Core/Serving/EndpointRoster.h"

#include "Gateway_generated.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <vector>

/// Conversion between core types and the datagrams of Schemas/Gateway.fbs. All functions are
/// thread-safe.
namespace rattancart {

using DatagramBytes = std::vector<std::uint8_t>;
using WireSuspects = std::vector<std::unique_ptr<wire::PromptSuspectT>>;

DatagramBytes packDatagram(const wire::GatewayDatagramT &Content);
/// Packs a datagram with this payload.
template <typename Payload> DatagramBytes packPayload(Payload Content) {
  wire::GatewayDatagramT Datagram;
  Datagram.payload.Set(std::move(Content));
  return packDatagram(Datagram);
}
/// Returns nothing if the bytes are not a valid datagram.
std::optional<wire::GatewayDatagramT> unpackDatagram(std::span<const std::uint8_t> Bytes);

/// Encodes what the placement owner knows about an engine.
std::unique_ptr<wire::EngineStateT> toWire(const EndpointId &Id, const EndpointRecord &Record,
                                           TimePoint Now);
EngineReport reportFromWire(const wire::EngineStateT &State);

WireSuspects toWire(const std::vector<PromptSuspect> &Suspects, TimePoint Now);
std::vector<PromptSuspect> fromWire(const WireSuspects &Encoded, TimePoint Now);

std::unique_ptr<wire::EndpointLimitT> toWire(const LimitState &State, TimePoint Now);
EndpointLimit limitFromWire(const wire::EndpointLimitT &Encoded, TimePoint Now);

} // namespace rattancart
