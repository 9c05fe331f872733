#pragma once

#include "Core/Common/Result.h"
#include "Core/Membership/Endpoint.h"

#include <string_view>

namespace rattancart {

/// Decodes the answer to GET /v1/load (docs/PROTOCOLS.md). Known gives what the report lacks:
/// kind, address, data centre. Errors: MalformedResponse. Thread-safe.
Result<Endpoint> parseLoadReport(std::string_view Body, const Endpoint &Known);

} // namespace rattancart
