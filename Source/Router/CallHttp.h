#pragma once

#include "Core/Common/CallerAnswer.h"
#include "Core/Common/Ids.h"
#include "Core/Settings/SettingsView.h"
#include "Net/Http.h"

#include <cstddef>
#include <optional>
#include <string>

/// The HTTP side of plain calls: keys and headers.
namespace rattancart {

/// Keys longer than this are replaced by a digest in claims, in bytes.
inline constexpr std::size_t MaxPlainKeyBytes = 200;

/// The idempotency key where the route says it is found; nothing if the request has none. Numbers
/// in a body count as their text. Thread-safe.
std::optional<IdempotencyKey> findKey(const Route &Matched, const HttpRequest &Request);
/// The key under which a claim is made: a customer's keys for one service are its own, and the
/// text is short and plain. Thread-safe.
IdempotencyKey claimKey(const ServiceId &Service, const CustomerId &Customer,
                        const IdempotencyKey &Key);
/// The request as it goes to an endpoint: headers of the caller's connection and of this system
/// are dropped, its own ones added. Fence: NoOffset for none. Thread-safe.
HttpRequest endpointRequest(const HttpRequest &Request, const RequestId &Call,
                            const std::optional<IdempotencyKey> &Key, LogOffset Fence);
/// An endpoint's answer as it goes to the caller. Thread-safe.
HttpResponse callerResponse(const HttpResponse &Response, const RequestId &Call, Outcome What);

} // namespace rattancart
