#pragma once

#include "Core/Admission/AdmissionController.h"
#include "Core/Membership/EndpointTable.h"
#include "Core/Settings/SettingsView.h"

#include <cstddef>

namespace rattancart {

/// The admission pool of a route: one for each model version and each service. Thread-safe.
PoolId poolOf(const Route &Target);
/// Makes the concurrency limit of a pool. The limit of a model's pool is set from the batch slots
/// that its engines report; the limit of a service adapts to its response times. Thread-safe.
std::unique_ptr<ConcurrencyLimit> makePoolLimit(const PoolId &Pool);
/// Sets the limits of the models' pools to this router's part of the engines' batch slots. Routers:
/// the number of routers that share the engines, at least 1.
void updatePoolCapacity(AdmissionController &Admission, const EndpointTable &Endpoints,
                        std::size_t Routers);

} // namespace rattancart
