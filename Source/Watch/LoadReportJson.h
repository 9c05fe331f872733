#pragma once

#include "Core/Common/Result.h"
#include "Core/Membership/Endpoint.h"

#include <string_view>

namespace rattancart {

/// Decodes the response to GET /v1/load (docs/PROTOCOLS.md). Kind, address and data centre, which
/// are not in the report, are taken from Known. Errors: MalformedResponse. Thread-safe.
Result<Endpoint> parseLoadReport(std::string_view Body, const Endpoint &Known);

} // namespace rattancart
