#pragma once

#include "Core/Admission/AdmissionController.h"
#include "Core/Membership/EndpointTable.h"
#include "Core/Settings/SettingsView.h"

#include <cstddef>

namespace rattancart {

/// The admission pool of a route: one for each model version and each service. Thread-safe.
PoolId poolOf(const Route &Target);
/// How a pool's bound follows its endpoints: models by the batch slots that engines report,
/// services by the times of their answers. Thread-safe.
std::unique_ptr<ConcurrencyLimit> makePoolLimit(const PoolId &Pool);
/// Tells the admission this router's part of the engines' batch slots. Routers: how many share
/// the engines, at least 1.
void updatePoolCapacity(AdmissionController &Admission, const EndpointTable &Endpoints,
                        std::size_t Routers);

} // namespace rattancart
