#include "Core/Recovery/StoreEraTracker.h"

namespace rattancart {

EraFinding StoreEraTracker::onAnswer(std::optional<StoreEra> Named, TimePoint CallBegan,
                                     TimePoint Now) {
  if (!Named || Named == Current_)
    return EraFinding::Current;
  if (Current_ && *Named < *Current_ && CallBegan <= KnownSince_)
    return EraFinding::Outdated;
  const bool First = !Current_;
  Current_ = Named;
  KnownSince_ = Now;
  return First ? EraFinding::Current : EraFinding::Returned;
}

} // namespace rattancart
