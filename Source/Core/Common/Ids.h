#pragma once

#include "Core/Common/StrongId.h"

#include <cstdint>

/// Identifiers and counters shared by all subsystems.
namespace rattancart {

/// A machine that runs rattancart processes.
using InstanceId = StringId<struct InstanceTag>;
/// A data centre; instances and endpoints belong to exactly one.
using DataCenterId = StringId<struct DataCenterTag>;
/// A customer, for whom requests are counted and limited.
using CustomerId = StringId<struct CustomerTag>;
/// A back end: a model engine or a plain service instance.
using EndpointId = StringId<struct EndpointTag>;
/// A plain service that endpoints implement.
using ServiceId = StringId<struct ServiceTag>;
using ModelId = StringId<struct ModelTag>;
using ModelVersion = StringId<struct ModelVersionTag>;
/// The owner of a settings subtree.
using TeamId = StringId<struct TeamTag>;
using RouteId = StringId<struct RouteTag>;
using OperatorId = StringId<struct OperatorTag>;
/// Identifies a settings change; chosen by its author, unique.
using ChangeId = StringId<struct ChangeTag>;
/// An HTTP request of a caller that a router received; unique over all routers.
using RequestId = StringId<struct RequestTag>;
/// A part of a prompt that several requests share, such as the instructions of one kind of request.
using PromptPartId = StringId<struct PromptPartTag>;
/// The caller's deduplication key for an at-most-once call.
using IdempotencyKey = StringId<struct IdempotencyKeyTag>;

/// A record's position in one stream of the platform's log. The first record has offset 0;
/// NoOffset is the position before it.
using LogOffset = StrongNumber<struct LogOffsetTag, std::int64_t>;
inline constexpr LogOffset NoOffset{-1};

/// Distinguishes successive runs of one endpoint or process.
using Incarnation = StrongNumber<struct IncarnationTag>;
/// Counts the attempts of one request, from 1.
using AttemptNumber = StrongNumber<struct AttemptTag, std::uint32_t>;
/// A token's index in a sequence, prompt included, from 0.
using TokenPosition = StrongNumber<struct TokenPositionTag, std::uint32_t>;
/// Orders to endpoints carry a fencing number. An endpoint that checks it refuses orders with a
/// lower number than the highest that it has seen.
using FencingNumber = StrongNumber<struct FencingTag, std::int64_t>;
/// Counts the turns at something that one process of the deployment at a time may do, from 1.
using TurnNumber = StrongNumber<struct TurnTag>;

/// Counts how often the platform's store has returned from a copy of itself that lacks what it had
/// acknowledged last. Positions in its logs and generations of its groups hold in one era only.
using StoreEra = StrongNumber<struct StoreEraTag>;

} // namespace rattancart
