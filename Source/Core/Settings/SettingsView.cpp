#include "Core/Settings/SettingsView.h"

#include <algorithm>

namespace rattancart {

const ModelSpec *SettingsView::findModel(const ModelId &Model, const ModelVersion &Version) const {
  const auto Found = std::find_if(Models_.begin(), Models_.end(), [&](const ModelSpec &Spec) {
    return Spec.Model_ == Model && Spec.Version_ == Version;
  });
  return Found == Models_.end() ? nullptr : &*Found;
}

const CustomerLimit &SettingsView::limitOf(const CustomerId &Customer) const {
  const auto Found = Limits_.find(Customer);
  return Found == Limits_.end() ? DefaultLimit_ : Found->second;
}

ServiceTraits SettingsView::traitsOf(const ServiceId &Service) const {
  const auto Found = Services_.find(Service);
  if (Found != Services_.end())
    return Found->second;
  ServiceTraits Traits;
  Traits.Service_ = Service;
  return Traits;
}

} // namespace rattancart
