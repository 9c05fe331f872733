#include "Router/PoolCapacity.h"

#include <map>
#include <string>

namespace rattancart {

namespace {

constexpr std::string_view ModelPrefix = "model:";

/// Requests admitted for each batch slot. A sequence takes a slot at one stage at a time, so with
/// one request for each slot the stages idle between steps; docs/MEASUREMENTS.md has the runs.
constexpr double RequestsPerSlot = 3;

/// The limit of a model's pool while none of its engines is known.
constexpr double UnknownModelSlots = 32;

PoolId modelPool(const ModelId &Model, const ModelVersion &Version) {
  return PoolId(std::string(ModelPrefix) + Model.str() + "/" + Version.str());
}

} // namespace

PoolId poolOf(const Route &Target) {
  if (Target.Model_)
    return modelPool(*Target.Model_, Target.Version_);
  return PoolId("service:" + Target.Service_->str());
}

std::unique_ptr<ConcurrencyLimit> makePoolLimit(const PoolId &Pool) {
  if (Pool.str().starts_with(ModelPrefix))
    return makeFixedConcurrency(UnknownModelSlots);
  return makeAdaptiveConcurrency({});
}

void updatePoolCapacity(AdmissionController &Admission, const EndpointTable &Endpoints,
                        std::size_t Routers) {
  std::map<PoolId, double> Slots;
  Endpoints.forEach([&](const Endpoint &Known) {
    if (Known.Kind_ == EndpointKind::Engine && !Known.Model_.empty() &&
        Endpoints.mayTakeWork(Known.Id_))
      Slots[modelPool(Known.Model_, Known.Version_)] += Known.Load_.BatchSlots_;
  });
  for (const auto &[Pool, Sum] : Slots)
    Admission.setCapacity(Pool, RequestsPerSlot * Sum / static_cast<double>(Routers));
}

} // namespace rattancart
