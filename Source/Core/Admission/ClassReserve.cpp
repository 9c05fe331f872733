#include "Core/Admission/ClassReserve.h"

#include <algorithm>

namespace rattancart {

void ClassReserve::setCapacity(const ServiceId &Service, double Tokens) {
  Services_[Service].Capacity_ = Tokens;
}

void ClassReserve::onArrival(const ServiceId &Service, std::uint32_t Priority, double Tokens,
                             TimePoint Now) {
  ClassDemand &Demand = Services_[Service].Classes_[Priority];
  Demand.Usual_.add(Tokens, Now);
  Demand.Recent_.add(Tokens, Now);
}

double ClassReserve::keptShare(const ServiceId &Service, std::uint32_t Priority, Duration Waited,
                               TimePoint Now) const {
  const auto Found = Services_.find(Service);
  if (Found == Services_.end() || Found->second.Capacity_ <= 0)
    return 0;
  const auto Raised = static_cast<std::int64_t>(Priority) - Waited / Options_.AgeingStep_;
  double PerSecond = 0;
  for (const auto &[Other, Demand] : Found->second.Classes_)
    if (Other < Raised)
      PerSecond += std::max(Demand.Usual_.perSecond(Now), Demand.Recent_.perSecond(Now));
  const double Expected = PerSecond * Gateways_.value_or(1) *
                          std::chrono::duration<double>(Options_.ReportTime_).count();
  return std::min(Options_.MaxShare_, Expected / Found->second.Capacity_);
}

} // namespace rattancart
