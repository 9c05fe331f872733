#pragma once

#include "Core/Common/CallerAnswer.h"
#include "Core/Common/Ids.h"
#include "Core/Settings/SettingsView.h"
#include "Net/Http.h"

#include <cstddef>
#include <optional>
#include <string>

/// The HTTP side of calls to plain services: idempotency keys and headers.
namespace rattancart {

/// A key longer than this, in bytes, is replaced by a digest in claims.
inline constexpr std::size_t MaxVerbatimKeyBytes = 200;

/// Reads the idempotency key from the place that the route names (a header or a JSON pointer into
/// the body); empty if the request has none. A number in the body becomes its text. Thread-safe.
std::optional<IdempotencyKey> findKey(const Route &Matched, const HttpRequest &Request);
/// The key under which a claim is made. It contains the service and the customer, so that equal
/// keys of different customers or services don't collide, and it is short printable ASCII.
/// Thread-safe.
IdempotencyKey claimKey(const ServiceId &Service, const CustomerId &Customer,
                        const IdempotencyKey &Key);
/// The request as it is sent to an endpoint: the hop-by-hop headers and the headers of this system
/// that the caller sent are dropped, and the router's own headers are added. Fence is the fencing
/// number, NoOffset for none. Thread-safe.
HttpRequest makeEndpointRequest(const HttpRequest &Request, const RequestId &Call,
                                const std::optional<IdempotencyKey> &Key, LogOffset Fence);
/// An endpoint's response as it is passed on to the caller. Thread-safe.
HttpResponse makeCallerResponse(const HttpResponse &Response, const RequestId &Call,
                                Outcome CallOutcome);

} // namespace rattancart
